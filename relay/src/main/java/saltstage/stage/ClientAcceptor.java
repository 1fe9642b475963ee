package saltstage.stage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import saltstage.log.Log;

/**
 * Accepts connections, reads first lines and waits for answered clients to close, all on one thread
 * that never blocks on a client. A connection costs no other thread before its request has arrived.
 * Connections without a request have a limit of their own. When it is reached, the oldest is
 * evicted, as clients send their request as soon as they connect.
 */
public final class ClientAcceptor {
    /**
     * A client that has not sent a complete first line by then is answered. Clients are entitled to
     * an answer within 3 s.
     */
    private static final Duration FIRST_LINE_TIMEOUT = Duration.ofSeconds(2);

    /** How long a client may take to close its connection after the answer. */
    private static final Duration LINGER = Duration.ofMillis(800);

    /**
     * Limits how much is read from a client after its answer: reading endless input would cost more
     * than any honest client needs.
     */
    private static final int MAX_IGNORED_BYTES = 64 << 10;

    /**
     * A client is not evicted earlier than this after it connected. It is short because clients
     * send their request as soon as they connect.
     */
    private static final Duration EVICTION_GRACE = Duration.ofMillis(100);

    private static final int READ_BUFFER_BYTES = 8 << 10;

    /** A lasting fault, such as a lack of descriptors, must not use up the only core. */
    private static final Duration ACCEPT_RETRY_PAUSE = Duration.ofMillis(50);

    private static final Duration FULL_PAUSE = Duration.ofMillis(5);
    private static final int MAX_UNRELEASED_CHANNELS = 8;
    private static final Duration STOP_TIMEOUT = Duration.ofMillis(300);

    private final FirstLineListener firstLineListener;
    private final Selector selector;
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Set<PendingClient> awaitingFirstLine = new LinkedHashSet<>();
    private final Set<PendingClient> lingering = new LinkedHashSet<>();
    private final List<PendingClient> handingOver = new ArrayList<>();
    private final AtomicLong acceptedCount = new AtomicLong();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private ServerSocketChannel listener;
    private SelectionKey acceptKey;
    private long resumeAcceptingAtNanos;
    private int unreleasedChannels;
    private volatile int capacity;
    private volatile int publishedClientCount;

    /** Clients that were handed back to this thread and are not lingering yet. */
    private final AtomicInteger returningCount = new AtomicInteger();

    private volatile boolean stopping;

    /** Handles first lines. Its methods are called on the acceptor's thread and must not block. */
    interface FirstLineListener {
        /**
         * Receives a first line, or a piece of input that is not a complete line. If this returns
         * true, the listener takes the client over by {@link #requestReceived}; otherwise the
         * client has been answered or may send another line.
         */
        boolean firstLineReceived(PendingClient client, byte[] piece);

        /**
         * Takes over a client whose request has arrived. From now on its channel is in blocking
         * mode and belongs to the listener.
         */
        void requestReceived(PendingClient client);

        /** Answers a client that sent no complete first line in time. */
        void firstLineTimedOut(PendingClient client);

        /** Called before a client is closed for lack of room; the listener may answer it first. */
        void clientEvicted(PendingClient client);

        /** Answers a client because the relay is about to end. */
        void relayShuttingDown(PendingClient client);
    }

    ClientAcceptor(int capacity, FirstLineListener firstLineListener) {
        this.capacity = capacity;
        this.firstLineListener = firstLineListener;
        try {
            selector = Selector.open();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException("no selector for clients", e);
        }
    }

    /** Starts accepting connections from this socket, which must be in non-blocking mode. */
    public void start(ServerSocketChannel serverSocket) throws IOException {
        listener = serverSocket;
        acceptKey = serverSocket.register(selector, SelectionKey.OP_ACCEPT);
        Threads.startLoop("acceptor", this::runCycle);
    }

    /**
     * Stops accepting connections. When this returns, every connection that was queued has been
     * accepted, unless the acceptor exceeded {@code STOP_TIMEOUT}.
     */
    public void stop() throws InterruptedException {
        stopping = true;
        selector.wakeup();
        if (!stopped.await(STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
            Log.warn("listener.late");
        }
    }

    /**
     * Sets the maximum number of clients without a request. Clients beyond a lower maximum stay
     * connected.
     */
    void setCapacity(int newCapacity) {
        capacity = newCapacity;
    }

    /** Returns the number of clients without a request. */
    int pendingClientCount() {
        return publishedClientCount + returningCount.get();
    }

    /** Returns the number of connections accepted since the start. */
    long acceptedCount() {
        return acceptedCount.get();
    }

    /** Answers all clients that have not sent a request yet; never blocks. */
    void rejectPendingClients() {
        execute(() -> List.copyOf(awaitingFirstLine).forEach(firstLineListener::relayShuttingDown));
    }

    /**
     * Takes back a client that was answered after its request. The client may close the connection
     * first; then, or after the linger time, the channel is closed.
     */
    void lingerAndClose(SocketChannel channel) {
        returningCount.incrementAndGet();
        execute(
                () -> {
                    returningCount.decrementAndGet();
                    try {
                        channel.configureBlocking(false);
                        PendingClient client = new PendingClient(channel);
                        channel.register(selector, SelectionKey.OP_READ, client);
                        linger(client);
                    } catch (IOException e) {
                        close(channel);
                    }
                });
    }

    /**
     * Answers a client that has no request, and lets it close the connection; may be called on the
     * acceptor's thread only.
     */
    void answer(PendingClient client, String line) {
        try {
            client.send(line);
            client.endSending();
            awaitingFirstLine.remove(client);
            linger(client);
        } catch (IOException e) {
            Log.info("client.broken", "why", e.getMessage());
            closeClient(client);
        }
    }

    private void linger(PendingClient client) {
        client.markAnswered();
        client.setDeadlineNanos(System.nanoTime() + LINGER.toNanos());
        lingering.add(client);
    }

    private void execute(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    private void runCycle() throws IOException {
        if (tasks.isEmpty()) { // handing over requests may have consumed a task's wake-up
            selector.select(selectTimeoutMillis());
        }
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
        if (stopping && acceptKey.isValid()) {
            acceptAll();
            acceptKey.cancel();
            stopped.countDown();
        }
        List<SelectionKey> ready = List.copyOf(selector.selectedKeys());
        selector.selectedKeys().clear();
        for (SelectionKey key : ready) {
            handleKey(key);
        }
        handleExpired();
        handOverRequests();
        publishedClientCount = registeredClientCount();
    }

    private int registeredClientCount() {
        return awaitingFirstLine.size() + lingering.size();
    }

    private void handleKey(SelectionKey key) {
        try {
            if (key.attachment() instanceof PendingClient client) {
                read(client);
            } else if (key.isAcceptable()) {
                acceptAll();
            }
        } catch (CancelledKeyException ended) {
            closeClient((PendingClient) key.attachment());
        }
    }

    private void acceptAll() {
        try {
            while (makeRoom()) {
                SocketChannel channel = listener.accept();
                if (channel == null) {
                    return;
                }
                acceptedCount.incrementAndGet();
                register(channel);
                releaseClosedDescriptors();
            }
            pauseAccepting(System.nanoTime() + FULL_PAUSE.toNanos());
        } catch (IOException fault) {
            // The fault is the platform's: no descriptors or memory, or a reset while queued.
            Log.warn(
                    "accept.failed", "why", fault.getMessage(), "pending", registeredClientCount());
            if (!lingering.isEmpty()) {
                // This frees the descriptor that may be missing.
                closeClient(lingering.iterator().next());
            }
            pauseAccepting(System.nanoTime() + ACCEPT_RETRY_PAUSE.toNanos());
        }
    }

    /**
     * Releases the descriptors of closed channels, which happens only when the selector next
     * selects.
     */
    private void releaseClosedDescriptors() throws IOException {
        if (unreleasedChannels >= MAX_UNRELEASED_CHANNELS) {
            unreleasedChannels = 0;
            selector.selectNow();
        }
    }

    private void pauseAccepting(long resumeAtNanos) {
        acceptKey.interestOps(0);
        resumeAcceptingAtNanos = resumeAtNanos;
    }

    /**
     * Makes room for a connection if needed: first closes an answered client, then the client that
     * has been silent for the longest time.
     */
    private boolean makeRoom() {
        if (registeredClientCount() < capacity) {
            return true;
        }
        if (!lingering.isEmpty()) {
            closeClient(lingering.iterator().next());
            return true;
        }
        PendingClient first = awaitingFirstLine.iterator().next();
        read(first); // its unread input may be a request
        if (!awaitingFirstLine.contains(first)) {
            return true;
        }
        // Many clients connected at once, and this one has had no time to send its line. The new
        // ones wait in the listen queue.
        if (first.deadlineNanos() - System.nanoTime()
                > FIRST_LINE_TIMEOUT.minus(EVICTION_GRACE).toNanos()) {
            return false;
        }
        firstLineListener.clientEvicted(first);
        closeClient(first);
        return true;
    }

    private void register(SocketChannel channel) {
        try {
            channel.configureBlocking(false);
            channel.socket().setTcpNoDelay(true);
            PendingClient client = new PendingClient(channel);
            channel.register(selector, SelectionKey.OP_READ, client);
            awaitFirstLine(client);
        } catch (IOException e) { // the client left while it waited to be accepted
            close(channel);
        }
    }

    private void awaitFirstLine(PendingClient client) {
        client.setDeadlineNanos(System.nanoTime() + FIRST_LINE_TIMEOUT.toNanos());
        awaitingFirstLine.remove(client); // moves it to the end of the order
        awaitingFirstLine.add(client);
    }

    private void read(PendingClient client) {
        try {
            boolean open = client.read(readBuffer);
            if (client.isAnswered()) {
                if (!open || client.ignoredBytes() > MAX_IGNORED_BYTES) {
                    closeClient(client);
                }
                return;
            }
            byte[] line = client.takeLine();
            if (line != null) {
                handleFirstLine(client, line);
            } else if (!open) {
                closeClient(client);
            }
        } catch (IOException e) {
            Log.info("client.broken", "why", e.getMessage());
            closeClient(client);
        }
    }

    private void handleFirstLine(PendingClient client, byte[] line) {
        if (firstLineListener.firstLineReceived(client, line)) {
            awaitingFirstLine.remove(client);
            handingOver.add(client);
        } else if (!client.isAnswered() && awaitingFirstLine.contains(client)) {
            awaitFirstLine(client);
        }
    }

    /**
     * Hands over clients whose requests have arrived. A channel can be set to blocking mode only
     * after the selector has dropped its key, so all keys are dropped together.
     */
    private void handOverRequests() throws IOException {
        if (handingOver.isEmpty()) {
            return;
        }
        for (PendingClient client : handingOver) {
            SelectionKey key = client.channel().keyFor(selector);
            if (key != null) {
                key.cancel();
            }
        }
        selector.selectNow();
        for (PendingClient client : handingOver) {
            try {
                client.channel().configureBlocking(true);
            } catch (ClosedChannelException e) {
                Log.info("client.broken", "why", "closed");
            }
            firstLineListener.requestReceived(client);
        }
        handingOver.clear();
    }

    private long selectTimeoutMillis() {
        long next =
                Math.min(
                        nanosUntilFirstDeadline(awaitingFirstLine),
                        nanosUntilFirstDeadline(lingering));
        if (acceptKey.isValid() && acceptKey.interestOps() == 0) {
            next = Math.min(next, resumeAcceptingAtNanos - System.nanoTime());
        }
        return next == Long.MAX_VALUE ? 0 : Math.max(1, next / 1_000_000 + 1);
    }

    /**
     * Returns the time until the first deadline; the clients of a set are in the order of their
     * deadlines.
     */
    private static long nanosUntilFirstDeadline(Set<PendingClient> clients) {
        Iterator<PendingClient> first = clients.iterator();
        return first.hasNext()
                ? Math.max(0, first.next().deadlineNanos() - System.nanoTime())
                : Long.MAX_VALUE;
    }

    private void handleExpired() {
        if (acceptKey.isValid()
                && acceptKey.interestOps() == 0
                && System.nanoTime() - resumeAcceptingAtNanos >= 0) {
            acceptKey.interestOps(SelectionKey.OP_ACCEPT);
        }
        while (!awaitingFirstLine.isEmpty() && nanosUntilFirstDeadline(awaitingFirstLine) == 0) {
            PendingClient client = awaitingFirstLine.iterator().next();
            firstLineListener.firstLineTimedOut(client);
            awaitingFirstLine.remove(client);
        }
        while (!lingering.isEmpty() && nanosUntilFirstDeadline(lingering) == 0) {
            closeClient(lingering.iterator().next());
        }
    }

    private void closeClient(PendingClient client) {
        awaitingFirstLine.remove(client);
        lingering.remove(client);
        client.close();
        unreleasedChannels++;
    }

    private static void close(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException ended) { // the client closed it first
            return;
        }
    }
}
