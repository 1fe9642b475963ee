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
 * The socket where clients come in: at an address of the relay's own, or one that the platform
 * holds and that every process of the relay inherits. The latter is neither shut down nor closed
 * here: it is the other process's too, and the JVM, when it closes an inherited channel, takes
 * standard error away with it.
 */
final class ClientListener {
    /**
     * Connections that may wait to be accepted: all that were open before a start may come at once.
     */
    private static final int BACKLOG = 4096;

    private static final int MAX_BIND_ATTEMPTS = 10;
    private static final Duration BIND_RETRY_PAUSE = Duration.ofMillis(100);

    private ClientListener() {}

    /**
     * Listens at this address; a want of descriptors may pass, an address that is taken does not.
     */
    static ServerSocketChannel bind(InetSocketAddress address) throws IOException {
        for (int attempt = 1; ; attempt++) {
            try {
                return open(address);
            } catch (BindException refused) {
                throw refused;
            } catch (IOException wanting) {
                if (attempt == MAX_BIND_ATTEMPTS) {
                    throw wanting;
                }
                Log.warn("listen.failed", "why", wanting.getMessage());
                pause();
            }
        }
    }

    private static void pause() throws IOException {
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
        } catch (IOException | RuntimeException taken) {
            listener.close();
            throw taken;
        }
        return listener;
    }

    /** Takes over descriptor 0. */
    static ServerSocketChannel inherited() throws IOException {
        Channel channel;
        try {
            channel = System.inheritedChannel();
        } catch (IOException | RuntimeException bad) {
            throw new IOException("descriptor 0 cannot be taken over: " + bad.getMessage(), bad);
        }
        if (!(channel instanceof ServerSocketChannel)) {
            throw new IOException("descriptor 0 is no listening socket");
        }
        ServerSocketChannel listener = (ServerSocketChannel) channel;
        // The other process may take what woke this one: accepting must not block. The mode is the
        // shared
        // socket's own; a JVM copes that accepts in the other.
        listener.configureBlocking(false);
        return listener;
    }
}
