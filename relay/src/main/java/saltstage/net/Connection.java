package saltstage.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/** A connection; all of it is used on its loop only. Ending it twice does no harm. */
public interface Connection {
    /** Why a connection is over. */
    enum Cause {
        /** This side closed or reset it. */
        OURS,
        /** The other side ended its sending, and this side its own. */
        ENDED,
        /** The other side reset it, or the network did. */
        RESET,
        /** The other side did not take what was written to it, up to the bound. */
        OVERFLOW,
        /** The handler threw. */
        FAULT
    }

    /**
     * How much may be unsent: from the first figure of bytes on the connection is not writable, and
     * writable again at half of it; what would exceed the second ends the connection.
     */
    record WriteLimits(int softBytes, int maxBytes) {
        /** Checks. */
        public WriteLimits {
            if (softBytes < 2 || maxBytes < softBytes) {
                throw new IllegalArgumentException("bounds " + softBytes + ", " + maxBytes);
            }
        }
    }

    /** The loop that it belongs to. */
    Loop loop();

    /** Who is at the other end. */
    InetSocketAddress remoteAddress();

    /** Writes the bytes, which are copied; what does not fit the bound ends the connection. */
    void write(ByteBuffer bytes);

    /** How many bytes were written and not yet taken by the system. */
    long unsentBytes();

    /**
     * Whether bytes shall be received from now on; what the other side sends meanwhile waits there.
     */
    void setReading(boolean wanted);

    /** Ends the sending, after what was written. */
    void shutdownOutput();

    /** Closes both directions, after what was written. */
    void close();

    /** Closes at once; what is unsent is lost, and the other side sees a reset. */
    void reset();
}
