package saltstage.net;

import java.nio.ByteBuffer;

/** Receives the events of a connection on its loop. The methods must not block. */
public interface ConnectionHandler {
    /**
     * Called when bytes arrive. The buffer belongs to the transport and is valid only during the
     * call.
     */
    void received(Connection connection, ByteBuffer bytes);

    /** Called at most once, when the other side has ended its output; it may still receive. */
    void inputEnded(Connection connection);

    /**
     * Called when the unsent bytes exceed the soft limit, and when they have fallen below half of
     * it.
     */
    default void writabilityChanged(Connection connection, boolean writable) {}

    /** Called exactly once, as the last event, when the connection is closed. */
    void closed(Connection connection, Connection.Cause cause);
}
