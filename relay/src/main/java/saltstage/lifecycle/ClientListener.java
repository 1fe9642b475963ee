package saltstage.lifecycle;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.channels.Channel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import saltstage.log.Log;
import saltstage.stage.Threads;

/**
 * Where clients come in: an address of the relay's own, or a listening socket that the platform holds and
 * that every process of the relay inherits. The latter is neither shut down nor closed here: it is the other
 * process's too, and the JVM, when it closes an inherited channel, takes standard error away with it.
 */
final class ClientListener {
    private static final int BACKLOG = 1024;
    private static final Duration PAUSE = Duration.ofMillis(50);
    private static final Duration LAST_ACCEPT = Duration.ofMillis(300);

    private final SocketAddress address;
    private final Round round;
    private final Runnable wake;
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile boolean stopped;

    private interface Round {
        void run(Taking taking) throws IOException;
    }

    private ClientListener(SocketAddress address, Round round, Runnable wake) {
        this.address = address;
        this.round = round;
        this.wake = wake;
    }

    /** Takes an accepted socket. */
    interface Taking {
        /** Must not block. */
        void accept(Socket socket) throws IOException;
    }

    /** Listens at this address. */
    static ClientListener at(InetSocketAddress address) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(address, BACKLOG);
        return new ClientListener(socket.getLocalSocketAddress(),
            taking -> taking.accept(socket.accept()), () -> { });
    }

    /** Takes over descriptor 0. */
    static ClientListener inherited() throws IOException {
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
        // The other process may take what woke this one: accepting must not block, or stopping would wait
        // for the next client. The mode is the shared socket's own; a JVM copes that accepts in the other.
        listener.configureBlocking(false);
        Selector selector = Selector.open();
        listener.register(selector, SelectionKey.OP_ACCEPT);
        return new ClientListener(listener.getLocalAddress(), taking -> {
            selector.select();
            selector.selectedKeys().clear();
            SocketChannel accepted = listener.accept();
            if (accepted != null) {
                taking.accept(accepted.socket());
            }
        }, selector::wakeup);
    }

    SocketAddress address() {
        return address;
    }

    /** Accepts from now on, on a thread of its own. */
    void start(Taking taking) {
        if (!Threads.start("listener", () -> run(taking))) {
            throw new IllegalStateException("no thread for the listener");
        }
    }

    private void run(Taking taking) throws InterruptedException {
        while (!stopped) {
            try {
                round.run(taking);
            } catch (IOException | RuntimeException | OutOfMemoryError fault) {
                Log.error("thread.fault.listener", fault);
                Thread.sleep(PAUSE.toMillis()); // a fault that stays must not eat the one core
            }
        }
        ended.countDown();
    }

    /** Accepts no more on an inherited socket; when this returns, all that was accepted has been taken. */
    void stop() throws InterruptedException {
        stopped = true;
        wake.run();
        if (!ended.await(LAST_ACCEPT.toMillis(), TimeUnit.MILLISECONDS)) {
            Log.warn("listener.late");
        }
    }
}
