package saltstage.coordinator.client;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import saltstage.coordinator.client.GroupClient.TimedReply;
import saltstage.coordinator.client.GroupClient.Unreachable;
import saltstage.coordinator.lease.LeaseCommands.Acquire;
import saltstage.coordinator.lease.LeaseCommands.Release;
import saltstage.coordinator.lease.LeaseCommands.Renew;
import saltstage.coordinator.lease.LeaseReplies.Granted;
import saltstage.coordinator.lease.LeaseReplies.Held;
import saltstage.coordinator.lease.LeaseReplies.Renewed;
import saltstage.coordinator.model.Rejection;
import saltstage.log.Log;

/**
 * Holds leases. What it holds it counts on its own monotonic clock from the moment at which the
 * question was first sent, less what two clocks may drift apart; it stops before the group may give
 * the lease on. A thread renews what is held. No lease can stop a write that is already under way
 * when its holder is paused: whoever is written to must refuse a fence lower than one that it has
 * seen.
 */
public final class LeaseClient implements AutoCloseable {
    /**
     * Two monotonic clocks may differ in rate by so much, by what is promised: machines keep a
     * hundredth of it.
     */
    public static final double DRIFT = 0.02;

    private static final int RENEWALS_A_TTL = 4;
    private static final Duration QUEUE = Duration.ofMillis(900);

    /** The lease is not this process's any more. */
    public static final class Lost extends Exception {
        private static final long serialVersionUID = 1L;

        Lost(String name, long fence) {
            super("lease " + name + " (fence " + fence + ") is lost");
        }
    }

    /** It was not had: who has it, or why not. */
    public static final class NotGranted extends Exception {
        private static final long serialVersionUID = 1L;

        NotGranted(String why) {
            super(why);
        }
    }

    private final GroupClient group;
    private final GroupClient renewing;
    private final Ticker ticker;
    private final String owner;
    private final Map<String, Lease> held = new ConcurrentHashMap<>();
    private final Thread renewer;
    private volatile boolean closed;

    /**
     * Holds leases of a group under a name that people know; each process is an owner of its own.
     */
    public LeaseClient(GroupClient group, GroupClient renewing, Ticker ticker, String name) {
        this.group = group;
        this.renewing = renewing;
        this.ticker = ticker;
        owner = name + "/" + UUID.randomUUID();
        renewer = new Thread(this::renew, "renewer");
        renewer.setDaemon(true);
        renewer.start();
    }

    /** A lease that was granted. */
    public final class Lease implements AutoCloseable {
        private final String name;
        private final long fence;
        private final long ttlMs;
        private final Runnable onLoss;
        private volatile long until;
        private volatile boolean over;

        private Lease(String name, long fence, long ttlMs, long sent, Runnable onLoss) {
            this.name = name;
            this.fence = fence;
            this.ttlMs = ttlMs;
            this.onLoss = onLoss;
            until = sent + span(ttlMs);
        }

        /** Its name. */
        public String name() {
            return name;
        }

        /** Its fence: to be sent along with whatever is done under it. */
        public long fence() {
            return fence;
        }

        /** How long it holds at least, by this process's clock. */
        public Duration remaining() {
            return over ? Duration.ZERO : Duration.ofNanos(Math.max(0, until - ticker.nanos()));
        }

        /** Throws where it is lost, or may be: to be called before each act. */
        public void checkStillHeld() throws Lost {
            if (over || ticker.nanos() - until >= 0) {
                lose();
                throw new Lost(name, fence);
            }
        }

        private void lose() {
            boolean told;
            synchronized (this) {
                told = over;
                over = true;
            }
            held.remove(name, this);
            if (!told) {
                onLoss.run();
            }
        }

        private void renewed(long sent) {
            until = Math.max(until, sent + span(ttlMs));
        }

        /** Gives it back. */
        @Override
        public void close() {
            boolean mine;
            synchronized (this) {
                mine = !over;
                over = true;
            }
            held.remove(name, this);
            if (mine) {
                try {
                    group.send(
                            new Release(name, owner, fence),
                            Duration.ofMillis(Math.min(ttlMs, 3_000)));
                } catch (Unreachable itExpires) {
                    return;
                } catch (InterruptedException ended) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    private static long span(long ttlMs) {
        return (long) (ttlMs * 1_000_000 * (1 - DRIFT));
    }

    /**
     * Gets a lease, waiting for it for so long at the most.
     *
     * @param onLoss run once, on any thread, if it is lost before it is closed
     */
    public Lease acquire(String name, Duration ttl, Duration wait, int priority, Runnable onLoss)
            throws NotGranted, Unreachable, InterruptedException {
        long until = ticker.nanos() + wait.toNanos();
        while (true) {
            long left = until - ticker.nanos();
            boolean queue = left > 0;
            Duration hold =
                    queue ? QUEUE.toNanos() < left ? QUEUE : Duration.ofNanos(left) : Duration.ZERO;
            TimedReply said =
                    group.send(
                            new Acquire(name, owner, ttl.toMillis(), priority, queue),
                            Duration.ofNanos(Math.max(left, 3_000_000_000L)),
                            hold);
            if (said.reply() instanceof Granted granted) {
                Lease lease =
                        new Lease(name, granted.fence(), granted.ttlMs(), said.sentNanos(), onLoss);
                if (lease.remaining().isZero()) {
                    continue; // the answer came so late that it is worth nothing
                }
                held.put(name, lease);
                return lease;
            }
            if (said.reply() instanceof Rejection no && !no.code().equals("session-lost")) {
                throw new NotGranted(no.why());
            }
            if (!queue) {
                throw new NotGranted(
                        said.reply() instanceof Held by
                                ? name
                                        + " is held by "
                                        + by.holder()
                                        + " for "
                                        + by.remainingMs()
                                        + " ms more"
                                : "the session was lost");
            }
        }
    }

    private void renew() {
        while (!closed) {
            try {
                long least = held.values().stream().mapToLong(l -> l.ttlMs).min().orElse(400);
                Thread.sleep(Math.max(50, least / RENEWALS_A_TTL));
                renewOnce();
            } catch (InterruptedException ended) {
                return;
            } catch (
                    RuntimeException
                            fault) { // of one round: the leases held need the rounds after it
                Log.error("lease.renewal-failed", fault);
            }
        }
    }

    private void renewOnce() throws InterruptedException {
        Map<String, Long> fences = new TreeMap<>();
        Map<String, Lease> asked = new TreeMap<>();
        long now = ticker.nanos();
        long soonest = Long.MAX_VALUE;
        for (Lease lease : Map.copyOf(held).values()) {
            if (now - lease.until >= 0) {
                lease.lose();
            } else {
                fences.put(lease.name, lease.fence);
                asked.put(lease.name, lease);
                soonest = Math.min(soonest, lease.until - now);
            }
        }
        if (fences.isEmpty()) {
            return;
        }
        try {
            TimedReply said = renewing.send(new Renew(owner, fences), Duration.ofNanos(soonest));
            if (said.reply() instanceof Renewed renewed) {
                renewed.ttlMs().keySet().forEach(name -> asked.get(name).renewed(said.sentNanos()));
                renewed.lost().forEach(name -> asked.get(name).lose());
            }
        } catch (Unreachable notNow) { // what is not renewed in time is lost by the clock above
            return;
        }
    }

    /** Under which name the group knows this owner. */
    public String owner() {
        return owner;
    }

    /** Gives back all that is held. */
    @Override
    public void close() {
        closed = true;
        renewer.interrupt();
        Map.copyOf(held).values().forEach(Lease::close);
    }
}
