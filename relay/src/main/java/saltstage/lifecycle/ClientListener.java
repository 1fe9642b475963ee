package saltstage.lifecycle;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import saltstage.log.Log;

/**
 * Opens the socket that accepts clients: a socket of the process's own, or one that the platform
 * holds and that every process of the relay inherits. An inherited socket is neither shut down nor
 * closed here, for two reasons: the other process uses it too, and when the JVM closes an inherited
 * channel, it closes standard error with it.
 */
final class ClientListener {
    /**
     * Maximum of connections that wait to be accepted: after a restart, all former clients may
     * reconnect at once.
     */
    private static final int BACKLOG = 4096;

    private static final int MAX_BIND_ATTEMPTS = 10;
    private static final Duration BIND_RETRY_PAUSE = Duration.ofMillis(100);

    private ClientListener() {}

    /**
     * Listens at an address. A lack of descriptors may be temporary and is retried; an address that
     * is in use is not.
     */
    static ServerSocketChannel bind(InetSocketAddress address) throws IOException {
        for (int attempt = 1; ; attempt++) {
            try {
                return open(address);
            } catch (BindException addressInUse) {
                throw addressInUse;
            } catch (IOException failure) {
                if (attempt == MAX_BIND_ATTEMPTS) {
                    throw failure;
                }
                Log.warn("listen.failed", "why", failure.getMessage());
                pauseBeforeRetry();
            }
        }
    }

    private static void pauseBeforeRetry() throws IOException {
        try {
            Thread.sleep(BIND_RETRY_PAUSE.toMillis());
        } catch (InterruptedException e) {
            throw new IOException("interrupted while starting", e);
        }
    }

    private static ServerSocketChannel open(InetSocketAddress address) throws IOException {
        ServerSocketChannel listener = ServerSocketChannel.open();
        try {
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.bind(address, BACKLOG);
            listener.configureBlocking(false);
        } catch (IOException | RuntimeException failure) {
            listener.close();
            throw failure;
        }
        return listener;
    }

    /** Returns the listening socket that this process inherited as descriptor 0. */
    static ServerSocketChannel inherited() throws IOException {
        Channel channel;
        try {
            channel = System.inheritedChannel();
        } catch (IOException | RuntimeException failure) {
            throw new IOException(
                    "descriptor 0 cannot be taken over: " + failure.getMessage(), failure);
        }
        if (!(channel instanceof ServerSocketChannel)) {
            throw new IOException("descriptor 0 is no listening socket");
        }
        ServerSocketChannel listener = (ServerSocketChannel) channel;
        // Accepting must not block: the other process may take the connection that woke this one.
        // The mode belongs to the shared socket; a JVM that accepts in blocking mode copes with it.
        listener.configureBlocking(false);
        return listener;
    }
}
