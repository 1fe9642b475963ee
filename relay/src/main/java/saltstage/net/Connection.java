package saltstage.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/** A connection. All methods must be called on its loop. It may be closed more than once. */
public interface Connection {
    /** Why a connection was closed. */
    enum Cause {
        /** This side closed or reset it. */
        OURS,
        /** Both sides ended their output. */
        ENDED,
        /** The other side or the network reset it. */
        RESET,
        /** The other side did not read, and the unsent bytes reached the limit. */
        OVERFLOW,
        /** The handler threw an exception. */
        FAULT
    }

    /**
     * Limits of the unsent bytes. Above {@code softBytes} the connection is not writable until they
     * fall to half of that; a write that would exceed {@code maxBytes} closes the connection.
     */
    record WriteLimits(int softBytes, int maxBytes) {
        /** Validates the limits. */
        public WriteLimits {
            if (softBytes < 2 || maxBytes < softBytes) {
                throw new IllegalArgumentException(
                        "invalid write limits: " + softBytes + ", " + maxBytes);
            }
        }
    }

    /** The loop that the connection belongs to. */
    Loop loop();

    /** The address of the other end. */
    InetSocketAddress remoteAddress();

    /**
     * Copies and writes the bytes. A write that exceeds the limit of unsent bytes closes the
     * connection.
     */
    void write(ByteBuffer bytes);

    /** The number of bytes that were written but not yet accepted by the operating system. */
    long unsentBytes();

    /**
     * Starts or stops receiving. While receiving is off, the other side's bytes wait in the network
     * buffers.
     */
    void setReading(boolean reading);

    /** Ends the output after the bytes written so far. */
    void shutdownOutput();

    /** Closes both directions after the bytes written so far. */
    void close();

    /** Closes immediately. Unsent bytes are lost, and the other side sees a reset. */
    void reset();
}
