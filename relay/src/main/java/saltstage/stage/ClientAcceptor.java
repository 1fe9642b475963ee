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
 * Accepts connections, hears first lines and waits for those that were answered to hang up, all on
 * one thread that waits for nobody. A connection costs no other thread before it has asked. Those
 * without a request have room of their own; where it is full, who came first must go, as clients
 * ask as soon as they come.
 */
public final class ClientAcceptor {
    /**
     * A client that has sent no whole first line by then has nothing to say; 3 s is what it is
     * owed.
     */
    private static final Duration FIRST_LINE_TIMEOUT = Duration.ofSeconds(2);

    /** How long a client that was answered may take to hang up. */
    private static final Duration LINGER = Duration.ofMillis(800);

    /**
     * To read all that somebody sends on and on would cost more than an honest client ever does.
     */
    private static final int MAX_IGNORED_BYTES = 64 << 10;

    /** Nobody has to go sooner after coming: clients ask as soon as they come. */
    private static final Duration EVICTION_GRACE = Duration.ofMillis(100);

    private static final int READ_BUFFER_BYTES = 8 << 10;

    /** A fault that stays, as a want of descriptors, must not eat the one core. */
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

    /** Those that were handed back and are not lingering yet. */
    private final AtomicInteger returningCount = new AtomicInteger();

    private volatile boolean stopping;

    /** What is done with first lines, on the acceptor's thread; must not block. */
    interface FirstLineListener {
        /**
         * A first line, or a piece that is none. Whoever returns true takes the client over, by
         * {@link #requestReceived}; else it has been answered or may say another line.
         */
        boolean firstLineReceived(PendingClient client, byte[] line);

        /** The client has asked: its channel blocks from now on and is the callee's. */
        void requestReceived(PendingClient client);

        /** No whole first line came in time: the client is to be answered. */
        void firstLineTimedOut(PendingClient client);

        /** There is no room for this one any more: it may be told so, and is closed. */
        void clientEvicted(PendingClient client);

        /** The relay is about to end: the client is to be answered. */
        void relayShuttingDown(PendingClient client);
    }

    ClientAcceptor(int room, FirstLineListener firstLines) {
        this.capacity = room;
        this.firstLineListener = firstLines;
        try {
            selector = Selector.open();
        } catch (IOException none) {
            throw new java.io.UncheckedIOException("no selector for clients", none);
        }
    }

    /** Accepts from this socket, which must not block, from now on. */
    public void start(ServerSocketChannel from) throws IOException {
        listener = from;
        acceptKey = from.register(selector, SelectionKey.OP_ACCEPT);
        Threads.startLoop("acceptor", this::runCycle);
    }

    /** Accepts no more; when this returns, all that was accepted has been taken. */
    public void stop() throws InterruptedException {
        stopping = true;
        selector.wakeup();
        if (!stopped.await(STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
            Log.warn("listener.late");
        }
    }

    /** There is room for so many without a request from now on; who is there stays. */
    void setCapacity(int now) {
        capacity = now;
    }

    /** How many have no request. */
    int pendingClientCount() {
        return publishedClientCount + returningCount.get();
    }

    /** How many connections were accepted since the start. */
    long acceptedCount() {
        return acceptedCount.get();
    }

    /** Has all that have not asked yet answered; never blocks. */
    void rejectPendingClients() {
        execute(() -> List.copyOf(awaitingFirstLine).forEach(firstLineListener::relayShuttingDown));
    }

    /** Takes a client that was answered after it had asked: it may hang up, and is then closed. */
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
                    } catch (IOException gone) {
                        close(channel);
                    }
                });
    }

    /** Answers a client that has no request, and lets it hang up; on the acceptor's thread only. */
    void answer(PendingClient client, String line) {
        try {
            client.send(line);
            client.endSending();
            awaitingFirstLine.remove(client);
            linger(client);
        } catch (IOException gone) {
            Log.info("client.broken", "why", gone.getMessage());
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
        if (tasks.isEmpty()) { // handing over may have taken the wake-up of a task
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

    // ---- accepting

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
        } catch (IOException fault) { // the platform's: descriptors, memory, a reset while queued
            Log.warn(
                    "accept.failed", "why", fault.getMessage(), "pending", registeredClientCount());
            if (!lingering.isEmpty()) {
                closeClient(lingering.iterator().next()); // its descriptor may be what is wanted
            }
            pauseAccepting(System.nanoTime() + ACCEPT_RETRY_PAUSE.toNanos());
        }
    }

    /** The descriptor of a closed channel is free only once the selector has let go of it. */
    private void releaseClosedDescriptors() throws IOException {
        if (unreleasedChannels >= MAX_UNRELEASED_CHANNELS) {
            unreleasedChannels = 0;
            selector.selectNow();
        }
    }

    private void pauseAccepting(long until) {
        acceptKey.interestOps(0);
        resumeAcceptingAtNanos = until;
    }

    /**
     * Makes room if need be: who has its answer goes first, then who has been silent the longest.
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
        read(first); // what it has said meanwhile may be a request
        if (!awaitingFirstLine.contains(first)) {
            return true;
        }
        if (first.deadlineNanos() - System.nanoTime()
                > FIRST_LINE_TIMEOUT.minus(EVICTION_GRACE).toNanos()) {
            return false; // many came at once, and it had no time yet: the others wait in the queue
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
        } catch (IOException reset) { // it left while it waited to be accepted
            close(channel);
        }
    }

    private void awaitFirstLine(PendingClient client) {
        client.setDeadlineNanos(System.nanoTime() + FIRST_LINE_TIMEOUT.toNanos());
        awaitingFirstLine.remove(client); // to the end of the order
        awaitingFirstLine.add(client);
    }

    // ---- first lines

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
        } catch (IOException broken) {
            Log.info("client.broken", "why", broken.getMessage());
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
     * A channel blocks again only once the selector has let go of it, so all are let go of
     * together.
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
            } catch (ClosedChannelException gone) {
                Log.info("client.broken", "why", "closed");
            }
            firstLineListener.requestReceived(client);
        }
        handingOver.clear();
    }

    // ---- time

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

    /** Deadlines of a set are in the order in which its members came. */
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
        } catch (IOException ended) { // the other side was first
            return;
        }
    }
}
