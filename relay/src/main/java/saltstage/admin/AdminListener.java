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
 * Listens for operators. One thread, without blocking: a caller that says nothing, says it byte by
 * byte or reads nothing is a few hundred bytes and an entry here, and in no other caller's way.
 */
public final class AdminListener {
    /** Descriptors that it may take: the listener, the selector's three, and its callers. */
    public static final int DESCRIPTORS = 28;

    private static final int MOST_CALLERS = 24;
    private static final int BACKLOG = 256;

    /** Who came so lately may have its line on the way: it is not sent off for another newcomer. */
    private static final Duration YOUNG = Duration.ofMillis(100);

    private static final Duration SWEEP = Duration.ofMillis(50);

    private final Selector selector;
    private final ServerSocketChannel listener;
    private final SelectionKey accepting;
    private final Desk desk;
    private final Set<Caller> callers = new LinkedHashSet<>(); // by age
    private final Queue<Runnable> answers = new ConcurrentLinkedQueue<>();

    /** Binds the address; callers wait in its backlog until the first round. */
    public AdminListener(InetSocketAddress at, Desk desk) throws IOException {
        this.desk = desk;
        selector = Selector.open();
        listener = ServerSocketChannel.open();
        try {
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.bind(at, BACKLOG);
            listener.configureBlocking(false);
            accepting = listener.register(selector, SelectionKey.OP_ACCEPT);
        } catch (IOException e) {
            listener.close();
            selector.close();
            throw new IOException("operators' address " + at + ": " + e.getMessage(), e);
        }
    }

    /** Where it listens. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) listener.getLocalAddress();
    }

    /** Waits for what comes and does it; called over and over, by one thread. */
    public void round() throws IOException {
        selector.select(SWEEP.toMillis());
        for (Runnable answer = answers.poll(); answer != null; answer = answers.poll()) {
            answer.run();
        }
        Iterator<SelectionKey> ready = selector.selectedKeys().iterator();
        while (ready.hasNext()) {
            SelectionKey key = ready.next();
            ready.remove();
            if (key.isValid() && key != accepting) {
                ((Caller) key.attachment()).ready();
            }
        }
        long now = System.nanoTime();
        callers.removeIf(caller -> caller.overBy(now));
        accept();
    }

    /**
     * Takes who waits, as far as there is room: for a newcomer, who has long said nothing whole
     * must go.
     */
    private void accept() throws IOException {
        while (callers.size() < MOST_CALLERS || sendOneOff()) {
            SocketChannel channel = listener.accept();
            if (channel == null) {
                accepting.interestOps(SelectionKey.OP_ACCEPT);
                return;
            }
            take(channel);
        }
        accepting.interestOps(0); // else the selector would not sleep until there is room
    }

    private boolean sendOneOff() {
        long now = System.nanoTime();
        for (Caller caller : callers) {
            if (caller.olderThan(YOUNG, now) && caller.mayGo()) {
                caller.close();
                callers.remove(caller);
                return true;
            }
        }
        return false;
    }

    private void take(SocketChannel channel) throws IOException {
        try {
            channel.configureBlocking(false);
            SelectionKey key = channel.register(selector, SelectionKey.OP_READ);
            Caller caller = new Caller(channel, key, this::answer);
            callers.add(caller);
            caller.ready(); // most lines are there already
            if (caller.closed()) {
                callers.remove(caller);
            }
        } catch (IOException gone) {
            channel.close();
        }
    }

    private void answer(Caller caller, String line) {
        try {
            Call.parse(line)
                    .answer(desk)
                    .whenComplete(
                            (answer, fault) -> {
                                String told =
                                        answer != null ? answer : Call.error("failed, see the log");
                                if (fault != null) {
                                    Log.error("admin.fault", fault);
                                }
                                answers.add(() -> caller.say(told));
                                selector.wakeup();
                            });
        } catch (Call.BadCallException bad) {
            Log.warn("admin.refused", "from", caller.remote(), "why", bad.getMessage());
            caller.say(Call.error(bad.getMessage()));
        }
    }
}
