package saltstage.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import saltstage.log.Log;

/**
 * Accepts operator connections and serves them with one non-blocking thread. An operator that sends
 * nothing, sends byte by byte or reads nothing costs a few hundred bytes and one entry here, and
 * does not delay other operators.
 */
public final class AdminListener {
    /**
     * Descriptors that this class may use: the listener, three for the selector, and the
     * connections.
     */
    public static final int MAX_DESCRIPTORS = 28;

    private static final int MAX_CONNECTIONS = 24;
    private static final int BACKLOG = 256;

    /**
     * Minimum age of a connection that may be closed to make room: the line of a younger one may
     * still be on its way.
     */
    private static final Duration MIN_EVICTION_AGE = Duration.ofMillis(100);

    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(50);

    private final Selector selector;
    private final ServerSocketChannel listener;
    private final SelectionKey acceptKey;
    private final OperatorService service;
    private final Set<OperatorConnection> connections = new LinkedHashSet<>(); // oldest first
    private final Queue<Runnable> answers = new ConcurrentLinkedQueue<>();

    /** Binds the address; connections wait in the backlog until the first {@link #runOnce}. */
    public AdminListener(InetSocketAddress address, OperatorService service) throws IOException {
        this.service = service;
        selector = Selector.open();
        listener = ServerSocketChannel.open();
        try {
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.bind(address, BACKLOG);
            listener.configureBlocking(false);
            acceptKey = listener.register(selector, SelectionKey.OP_ACCEPT);
        } catch (IOException e) {
            listener.close();
            selector.close();
            throw new IOException("operators' address " + address + ": " + e.getMessage(), e);
        }
    }

    /** Returns the bound address. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) listener.getLocalAddress();
    }

    /** Waits for events and handles them; one thread calls this method in a loop. */
    public void runOnce() throws IOException {
        selector.select(SWEEP_INTERVAL.toMillis());
        for (Runnable answer = answers.poll(); answer != null; answer = answers.poll()) {
            answer.run();
        }
        Iterator<SelectionKey> ready = selector.selectedKeys().iterator();
        while (ready.hasNext()) {
            SelectionKey key = ready.next();
            ready.remove();
            if (key.isValid() && key != acceptKey) {
                ((OperatorConnection) key.attachment()).ready();
            }
        }
        long now = System.nanoTime();
        connections.removeIf(connection -> connection.closeIfExpired(now));
        accept();
    }

    /**
     * Accepts waiting connections while there is room. If there is none, the oldest connection that
     * has not sent a complete line or not read its answer is closed for a new one.
     */
    private void accept() throws IOException {
        while (connections.size() < MAX_CONNECTIONS || evictOne()) {
            SocketChannel channel = listener.accept();
            if (channel == null) {
                acceptKey.interestOps(SelectionKey.OP_ACCEPT);
                return;
            }
            register(channel);
        }
        acceptKey.interestOps(0); // otherwise select() returns at once until there is room
    }

    private boolean evictOne() {
        long now = System.nanoTime();
        for (OperatorConnection connection : connections) {
            if (connection.isOlderThan(MIN_EVICTION_AGE, now) && connection.isEvictable()) {
                connection.close();
                connections.remove(connection);
                return true;
            }
        }
        return false;
    }

    private void register(SocketChannel channel) throws IOException {
        try {
            channel.configureBlocking(false);
            SelectionKey key = channel.register(selector, SelectionKey.OP_READ);
            OperatorConnection connection = new OperatorConnection(channel, key, this::answer);
            connections.add(connection);
            connection.ready(); // the line has usually arrived already
            if (connection.isClosed()) {
                connections.remove(connection);
            }
        } catch (IOException e) {
            channel.close();
        }
    }

    private void answer(OperatorConnection connection, String line) {
        try {
            OperatorCall.parse(line)
                    .execute(service)
                    .whenComplete(
                            (answer, fault) -> {
                                String response =
                                        answer != null
                                                ? answer
                                                : OperatorCall.errorLine("failed, see the log");
                                if (fault != null) {
                                    Log.error("admin.fault", fault);
                                }
                                answers.add(() -> connection.sendAnswer(response));
                                selector.wakeup();
                            });
        } catch (OperatorCall.BadCallException e) {
            Log.warn("admin.refused", "from", connection.remoteAddress(), "why", e.getMessage());
            connection.sendAnswer(OperatorCall.errorLine(e.getMessage()));
        }
    }
}
