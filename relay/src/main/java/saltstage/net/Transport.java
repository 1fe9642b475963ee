package saltstage.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;

/** Listeners, outgoing connections and loops. */
public interface Transport extends AutoCloseable {
    /** Decides about who has connected. */
    interface Acceptor {
        /** The handler of an accepted connection; null: it is reset. */
        ConnectionHandler accept(Connection connection);
    }

    /** Is told what became of a connect, on a loop, one of the two and once. */
    interface ConnectListener {
        /** It is up; the handler of it. */
        ConnectionHandler connected(Connection connection);

        /** It never came up. */
        void failed(IOException why);
    }

    /** Something that listens. */
    interface Listener {
        /** Where it listens. */
        InetSocketAddress address();

        /**
         * Whether newcomers are accepted; while they are not, they wait in the system's backlog.
         */
        void setAccepting(boolean wanted);

        /** Listens no more. */
        void close();
    }

    /** Listens; accepted connections are dealt out over the loops. */
    Listener listen(
            InetSocketAddress at, int backlog, Connection.WriteLimits bounds, Acceptor acceptor)
            throws IOException;

    /** Connects on this loop within the limit. */
    void connect(
            Loop on,
            InetSocketAddress to,
            Duration limit,
            Connection.WriteLimits bounds,
            ConnectListener connecting);

    /** The loops, at least one. */
    java.util.List<Loop> loops();

    /** Ends all loops and connections. */
    @Override
    void close();
}
