package saltstage.coordinator.client;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import saltstage.coordinator.client.GroupClient.GroupUnreachableException;
import saltstage.coordinator.client.GroupClient.TimedReply;
import saltstage.coordinator.lease.LeaseCommands.Acquire;
import saltstage.coordinator.lease.LeaseCommands.Release;
import saltstage.coordinator.lease.LeaseCommands.Renew;
import saltstage.coordinator.lease.LeaseReplies.Granted;
import saltstage.coordinator.lease.LeaseReplies.Held;
import saltstage.coordinator.lease.LeaseReplies.Renewed;
import saltstage.coordinator.model.Rejection;
import saltstage.log.Log;

/**
 * Acquires and holds leases. The validity of a lease is measured on this process's monotonic clock
 * from the time at which the command was first sent, reduced by the permitted drift between two
 * clocks, so that it ends before the group may grant the lease to another owner. A thread renews
 * the leases held. No lease can stop a write that is already under way when its holder is paused:
 * the target of a write must reject a fencing token lower than one that it has seen.
 */
public final class LeaseClient implements AutoCloseable {
    /**
     * The largest permitted difference in rate between two monotonic clocks; the clocks of machines
     * stay within a hundredth of it.
     */
    public static final double MAX_CLOCK_DRIFT = 0.02;

    private static final int RENEWALS_PER_TTL = 4;
    private static final Duration MAX_QUEUE_WAIT = Duration.ofMillis(900);

    /** This process does not hold the lease any more. */
    public static final class LeaseLostException extends Exception {
        private static final long serialVersionUID = 1L;

        LeaseLostException(String name, long fencingToken) {
            super("lease " + name + " (fence " + fencingToken + ") is lost");
        }
    }

    /** The lease was not granted; the message names its holder or the reason. */
    public static final class LeaseNotGrantedException extends Exception {
        private static final long serialVersionUID = 1L;

        LeaseNotGrantedException(String message) {
            super(message);
        }
    }

    private final GroupClient groupClient;
    private final GroupClient renewalClient;
    private final Ticker ticker;
    private final String owner;
    private final Map<String, Lease> heldLeases = new ConcurrentHashMap<>();
    private final Thread renewalThread;
    private volatile boolean closed;

    /**
     * Creates a client for the leases of a group. The name is for people; each process is a
     * separate owner. Renewals use a group client of their own.
     */
    public LeaseClient(
            GroupClient groupClient, GroupClient renewalClient, Ticker ticker, String name) {
        this.groupClient = groupClient;
        this.renewalClient = renewalClient;
        this.ticker = ticker;
        owner = name + "/" + UUID.randomUUID();
        renewalThread = new Thread(this::renewalLoop, "renewer");
        renewalThread.setDaemon(true);
        renewalThread.start();
    }

    /** A lease that was granted. */
    public final class Lease implements AutoCloseable {
        private final String name;
        private final long fencingToken;
        private final long ttlMs;
        private final Runnable onLoss;
        private volatile long validUntilNanos;
        private volatile boolean closedOrLost;

        private Lease(String name, long fencingToken, long ttlMs, long sentNanos, Runnable onLoss) {
            this.name = name;
            this.fencingToken = fencingToken;
            this.ttlMs = ttlMs;
            this.onLoss = onLoss;
            validUntilNanos = sentNanos + validityNanos(ttlMs);
        }

        /** The name of the lease. */
        public String name() {
            return name;
        }

        /** The fencing token, which must accompany every action done under the lease. */
        public long fencingToken() {
            return fencingToken;
        }

        /** The time for which the lease is valid at least, by this process's clock. */
        public Duration remaining() {
            return closedOrLost
                    ? Duration.ZERO
                    : Duration.ofNanos(Math.max(0, validUntilNanos - ticker.nanos()));
        }

        /** Throws if the lease is or may be lost; to be called before each action done under it. */
        public void checkStillHeld() throws LeaseLostException {
            if (closedOrLost || ticker.nanos() - validUntilNanos >= 0) {
                markLost();
                throw new LeaseLostException(name, fencingToken);
            }
        }

        private void markLost() {
            boolean alreadyEnded;
            synchronized (this) {
                alreadyEnded = closedOrLost;
                closedOrLost = true;
            }
            heldLeases.remove(name, this);
            if (!alreadyEnded) {
                onLoss.run();
            }
        }

        private void extend(long sentNanos) {
            validUntilNanos = Math.max(validUntilNanos, sentNanos + validityNanos(ttlMs));
        }

        /** Releases the lease. */
        @Override
        public void close() {
            boolean wasHeld;
            synchronized (this) {
                wasHeld = !closedOrLost;
                closedOrLost = true;
            }
            heldLeases.remove(name, this);
            if (wasHeld) {
                try {
                    groupClient.send(
                            new Release(name, owner, fencingToken),
                            Duration.ofMillis(Math.min(ttlMs, 3_000)));
                } catch (GroupUnreachableException unreachable) {
                    return; // the lease expires by itself
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    private static long validityNanos(long ttlMs) {
        return (long) (ttlMs * 1_000_000 * (1 - MAX_CLOCK_DRIFT));
    }

    /**
     * Acquires a lease, waiting for it for at most {@code wait}.
     *
     * @param onLoss run once, on any thread, if the lease is lost before it is closed
     */
    public Lease acquire(String name, Duration ttl, Duration wait, int priority, Runnable onLoss)
            throws LeaseNotGrantedException, GroupUnreachableException, InterruptedException {
        long deadlineNanos = ticker.nanos() + wait.toNanos();
        while (true) {
            long leftNanos = deadlineNanos - ticker.nanos();
            boolean queue = leftNanos > 0;
            Duration queueWait =
                    queue
                            ? MAX_QUEUE_WAIT.toNanos() < leftNanos
                                    ? MAX_QUEUE_WAIT
                                    : Duration.ofNanos(leftNanos)
                            : Duration.ZERO;
            TimedReply answer =
                    groupClient.send(
                            new Acquire(name, owner, ttl.toMillis(), priority, queue),
                            Duration.ofNanos(Math.max(leftNanos, 3_000_000_000L)),
                            queueWait);
            if (answer.reply() instanceof Granted granted) {
                Lease lease =
                        new Lease(
                                name, granted.fence(), granted.ttlMs(), answer.sentNanos(), onLoss);
                if (lease.remaining().isZero()) {
                    continue; // the reply came after the end of the lease's validity
                }
                heldLeases.put(name, lease);
                return lease;
            }
            if (answer.reply() instanceof Rejection rejection
                    && !rejection.code().equals("session-lost")) {
                throw new LeaseNotGrantedException(rejection.why());
            }
            if (!queue) {
                throw new LeaseNotGrantedException(
                        answer.reply() instanceof Held held
                                ? name
                                        + " is held by "
                                        + held.holder()
                                        + " for "
                                        + held.remainingMs()
                                        + " ms more"
                                : "the session was lost");
            }
        }
    }

    private void renewalLoop() {
        while (!closed) {
            try {
                long shortestTtlMs =
                        heldLeases.values().stream().mapToLong(l -> l.ttlMs).min().orElse(400);
                Thread.sleep(Math.max(50, shortestTtlMs / RENEWALS_PER_TTL));
                renewHeldLeases();
            } catch (InterruptedException interrupted) {
                return;
            } catch (RuntimeException fault) { // the leases held need the next renewal round
                Log.error("lease.renewal-failed", fault);
            }
        }
    }

    private void renewHeldLeases() throws InterruptedException {
        Map<String, Long> fencingTokens = new TreeMap<>();
        Map<String, Lease> renewing = new TreeMap<>();
        long nowNanos = ticker.nanos();
        long leftNanos = Long.MAX_VALUE;
        for (Lease lease : Map.copyOf(heldLeases).values()) {
            if (nowNanos - lease.validUntilNanos >= 0) {
                lease.markLost();
            } else {
                fencingTokens.put(lease.name, lease.fencingToken);
                renewing.put(lease.name, lease);
                leftNanos = Math.min(leftNanos, lease.validUntilNanos - nowNanos);
            }
        }
        if (fencingTokens.isEmpty()) {
            return;
        }
        try {
            TimedReply answer =
                    renewalClient.send(
                            new Renew(owner, fencingTokens), Duration.ofNanos(leftNanos));
            if (answer.reply() instanceof Renewed renewed) {
                renewed.ttlMs()
                        .keySet()
                        .forEach(name -> renewing.get(name).extend(answer.sentNanos()));
                renewed.lost().forEach(name -> renewing.get(name).markLost());
            }
        } catch (
                GroupUnreachableException
                        unreachable) { // a lease not renewed in time is lost above
            return;
        }
    }

    /** The name under which the group knows this owner. */
    public String owner() {
        return owner;
    }

    /** Releases all leases held. */
    @Override
    public void close() {
        closed = true;
        renewalThread.interrupt();
        Map.copyOf(heldLeases).values().forEach(Lease::close);
    }
}
