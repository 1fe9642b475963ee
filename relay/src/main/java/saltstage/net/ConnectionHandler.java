package saltstage.net;

import java.nio.ByteBuffer;

/** What happens on a connection, told on its loop; must not block. */
public interface ConnectionHandler {
    /** Bytes have come; the buffer is the transport's and holds only during the call. */
    void received(Connection on, ByteBuffer bytes);

    /** The other side has ended its sending; it may still receive. Told once at the most. */
    void inputEnded(Connection on);

    /** What is unsent has passed the soft bound, or has come down again. */
    default void writabilityChanged(Connection on, boolean now) {}

    /** It is over; the last that is told, exactly once. */
    void closed(Connection on, Connection.Cause why);
}
