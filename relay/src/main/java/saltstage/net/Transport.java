package saltstage.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;

/** Provides listeners, outgoing connections and event loops. */
public interface Transport extends AutoCloseable {
    /** Decides whether to accept an incoming connection. */
    interface Acceptor {
        /** Returns the handler of the connection, or null to reset it. */
        ConnectionHandler accept(Connection connection);
    }

    /**
     * Receives the result of a connect on the loop: exactly one of the two methods is called, once.
     */
    interface ConnectListener {
        /** Called when the connection is established; returns its handler, or null to reset it. */
        ConnectionHandler connected(Connection connection);

        /** Called when the connect failed. */
        void failed(IOException cause);
    }

    /** A listening socket. */
    interface Listener {
        /** The address of the listening socket. */
        InetSocketAddress address();

        /**
         * Starts or stops accepting. Meanwhile new connections wait in the operating system's
         * backlog.
         */
        void setAccepting(boolean accepting);

        /** Closes the listening socket. */
        void close();
    }

    /**
     * Opens a listening socket; accepted connections are distributed over the loops.
     *
     * @throws AddressInUseException if another socket listens on the address
     */
    Listener listen(
            InetSocketAddress address,
            int backlog,
            Connection.WriteLimits limits,
            Acceptor acceptor)
            throws IOException;

    /** Connects on this loop within the timeout. */
    void connect(
            Loop loop,
            InetSocketAddress address,
            Duration timeout,
            Connection.WriteLimits limits,
            ConnectListener listener);

    /** The event loops, at least one. */
    java.util.List<Loop> loops();

    /** Stops all loops and closes all connections. */
    @Override
    void close();
}
