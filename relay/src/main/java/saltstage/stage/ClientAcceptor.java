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
    private static final Duration FIRST_LINE = Duration.ofSeconds(2);

    /** How long a client that was answered may take to hang up. */
    private static final Duration LINGER = Duration.ofMillis(800);

    /**
     * To read all that somebody sends on and on would cost more than an honest client ever does.
     */
    private static final int MOST_IGNORED_BYTES = 64 << 10;

    /** Nobody has to go sooner after coming: clients ask as soon as they come. */
    private static final Duration GRACE = Duration.ofMillis(100);

    private static final int SCRATCH_BYTES = 8 << 10;

    /** A fault that stays, as a want of descriptors, must not eat the one core. */
    private static final Duration ACCEPT_PAUSE = Duration.ofMillis(50);

    private static final Duration ROOM_PAUSE = Duration.ofMillis(5);
    private static final int MOST_CLOSED = 8;
    private static final Duration LAST_ACCEPT = Duration.ofMillis(300);

    private final FirstLines firstLines;
    private final Selector selector;
    private final ByteBuffer scratch = ByteBuffer.allocate(SCRATCH_BYTES);
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Set<PendingClient> silent = new LinkedHashSet<>();
    private final Set<PendingClient> lingering = new LinkedHashSet<>();
    private final List<PendingClient> asking = new ArrayList<>();
    private final AtomicLong accepted = new AtomicLong();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private ServerSocketChannel listener;
    private SelectionKey accepting;
    private long acceptAgainAt;
    private int closed;
    private volatile int room;
    private volatile int size;

    /** Those that were handed back and are not lingering yet. */
    private final AtomicInteger returning = new AtomicInteger();

    private volatile boolean stopping;

    /** What is done with first lines, on the acceptor's thread; must not block. */
    interface FirstLines {
        /**
         * A first line, or a piece that is none. Whoever returns true takes the client over, by
         * {@link #asked}; else it has been answered or may say another line.
         */
        boolean heard(PendingClient client, byte[] line);

        /** The client has asked: its channel blocks from now on and is the callee's. */
        void asked(PendingClient client);

        /** No whole first line came in time: the client is to be answered. */
        void late(PendingClient client);

        /** There is no room for this one any more: it may be told so, and is closed. */
        void evicted(PendingClient client);

        /** The relay is about to end: the client is to be answered. */
        void turnedAway(PendingClient client);
    }

    ClientAcceptor(int room, FirstLines firstLines) {
        this.room = room;
        this.firstLines = firstLines;
        try {
            selector = Selector.open();
        } catch (IOException none) {
            throw new java.io.UncheckedIOException("no selector for clients", none);
        }
    }

    /** Accepts from this socket, which must not block, from now on. */
    public void start(ServerSocketChannel from) throws IOException {
        listener = from;
        accepting = from.register(selector, SelectionKey.OP_ACCEPT);
        Threads.loop("acceptor", this::round);
    }

    /** Accepts no more; when this returns, all that was accepted has been taken. */
    public void stop() throws InterruptedException {
        stopping = true;
        selector.wakeup();
        if (!stopped.await(LAST_ACCEPT.toMillis(), TimeUnit.MILLISECONDS)) {
            Log.warn("listener.late");
        }
    }

    /** There is room for so many without a request from now on; who is there stays. */
    void room(int now) {
        room = now;
    }

    /** How many have no request. */
    int size() {
        return size + returning.get();
    }

    /** How many connections were accepted since the start. */
    long accepted() {
        return accepted.get();
    }

    /** Has all that have not asked yet answered; never blocks. */
    void turnAway() {
        run(() -> List.copyOf(silent).forEach(firstLines::turnedAway));
    }

    /** Takes a client that was answered after it had asked: it may hang up, and is then closed. */
    void seeOff(SocketChannel channel) {
        returning.incrementAndGet();
        run(
                () -> {
                    returning.decrementAndGet();
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
            silent.remove(client);
            linger(client);
        } catch (IOException gone) {
            Log.info("client.broken", "why", gone.getMessage());
            leave(client);
        }
    }

    private void linger(PendingClient client) {
        client.answered();
        client.deadline(System.nanoTime() + LINGER.toNanos());
        lingering.add(client);
    }

    private void run(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    private void round() throws IOException {
        if (tasks.isEmpty()) { // handing over may have taken the wake-up of a task
            selector.select(millisToWait());
        }
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
        if (stopping && accepting.isValid()) {
            accept();
            accepting.cancel();
            stopped.countDown();
        }
        List<SelectionKey> ready = List.copyOf(selector.selectedKeys());
        selector.selectedKeys().clear();
        for (SelectionKey key : ready) {
            handle(key);
        }
        expire();
        handOver();
        size = pending();
    }

    private int pending() {
        return silent.size() + lingering.size();
    }

    private void handle(SelectionKey key) {
        try {
            if (key.attachment() instanceof PendingClient client) {
                read(client);
            } else if (key.isAcceptable()) {
                accept();
            }
        } catch (CancelledKeyException ended) {
            leave((PendingClient) key.attachment());
        }
    }

    // ---- accepting

    private void accept() {
        try {
            while (hasRoom()) {
                SocketChannel channel = listener.accept();
                if (channel == null) {
                    return;
                }
                accepted.incrementAndGet();
                take(channel);
                freeDescriptors();
            }
            pauseAccepting(System.nanoTime() + ROOM_PAUSE.toNanos());
        } catch (IOException fault) { // the platform's: descriptors, memory, a reset while queued
            Log.warn("accept.failed", "why", fault.getMessage(), "pending", pending());
            if (!lingering.isEmpty()) {
                leave(lingering.iterator().next()); // its descriptor may be what is wanted
            }
            pauseAccepting(System.nanoTime() + ACCEPT_PAUSE.toNanos());
        }
    }

    /** The descriptor of a closed channel is free only once the selector has let go of it. */
    private void freeDescriptors() throws IOException {
        if (closed >= MOST_CLOSED) {
            closed = 0;
            selector.selectNow();
        }
    }

    private void pauseAccepting(long until) {
        accepting.interestOps(0);
        acceptAgainAt = until;
    }

    /**
     * Makes room if need be: who has its answer goes first, then who has been silent the longest.
     */
    private boolean hasRoom() {
        if (pending() < room) {
            return true;
        }
        if (!lingering.isEmpty()) {
            leave(lingering.iterator().next());
            return true;
        }
        PendingClient first = silent.iterator().next();
        read(first); // what it has said meanwhile may be a request
        if (!silent.contains(first)) {
            return true;
        }
        if (first.deadline() - System.nanoTime() > FIRST_LINE.minus(GRACE).toNanos()) {
            return false; // many came at once, and it had no time yet: the others wait in the queue
        }
        firstLines.evicted(first);
        leave(first);
        return true;
    }

    private void take(SocketChannel channel) {
        try {
            channel.configureBlocking(false);
            channel.socket().setTcpNoDelay(true);
            PendingClient client = new PendingClient(channel);
            channel.register(selector, SelectionKey.OP_READ, client);
            await(client);
        } catch (IOException reset) { // it left while it waited to be accepted
            close(channel);
        }
    }

    private void await(PendingClient client) {
        client.deadline(System.nanoTime() + FIRST_LINE.toNanos());
        silent.remove(client); // to the end of the order
        silent.add(client);
    }

    // ---- first lines

    private void read(PendingClient client) {
        try {
            boolean open = client.read(scratch);
            if (client.isAnswered()) {
                if (!open || client.ignored() > MOST_IGNORED_BYTES) {
                    leave(client);
                }
                return;
            }
            byte[] line = client.takeLine();
            if (line != null) {
                heard(client, line);
            } else if (!open) {
                leave(client);
            }
        } catch (IOException broken) {
            Log.info("client.broken", "why", broken.getMessage());
            leave(client);
        }
    }

    private void heard(PendingClient client, byte[] line) {
        if (firstLines.heard(client, line)) {
            silent.remove(client);
            asking.add(client);
        } else if (!client.isAnswered() && silent.contains(client)) {
            await(client);
        }
    }

    /**
     * A channel blocks again only once the selector has let go of it, so all are let go of
     * together.
     */
    private void handOver() throws IOException {
        if (asking.isEmpty()) {
            return;
        }
        for (PendingClient client : asking) {
            SelectionKey key = client.channel().keyFor(selector);
            if (key != null) {
                key.cancel();
            }
        }
        selector.selectNow();
        for (PendingClient client : asking) {
            try {
                client.channel().configureBlocking(true);
            } catch (ClosedChannelException gone) {
                Log.info("client.broken", "why", "closed");
            }
            firstLines.asked(client);
        }
        asking.clear();
    }

    // ---- time

    private long millisToWait() {
        long next = Math.min(soonest(silent), soonest(lingering));
        if (accepting.isValid() && accepting.interestOps() == 0) {
            next = Math.min(next, acceptAgainAt - System.nanoTime());
        }
        return next == Long.MAX_VALUE ? 0 : Math.max(1, next / 1_000_000 + 1);
    }

    /** Deadlines of a set are in the order in which its members came. */
    private static long soonest(Set<PendingClient> clients) {
        Iterator<PendingClient> first = clients.iterator();
        return first.hasNext()
                ? Math.max(0, first.next().deadline() - System.nanoTime())
                : Long.MAX_VALUE;
    }

    private void expire() {
        if (accepting.isValid()
                && accepting.interestOps() == 0
                && System.nanoTime() - acceptAgainAt >= 0) {
            accepting.interestOps(SelectionKey.OP_ACCEPT);
        }
        while (!silent.isEmpty() && soonest(silent) == 0) {
            PendingClient client = silent.iterator().next();
            firstLines.late(client);
            silent.remove(client);
        }
        while (!lingering.isEmpty() && soonest(lingering) == 0) {
            leave(lingering.iterator().next());
        }
    }

    private void leave(PendingClient client) {
        silent.remove(client);
        lingering.remove(client);
        client.close();
        closed++;
    }

    private static void close(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException ended) { // the other side was first
            return;
        }
    }
}
