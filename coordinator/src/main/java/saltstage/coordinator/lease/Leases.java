package saltstage.coordinator.lease;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import saltstage.coordinator.lease.LeaseCommands.Acquire;
import saltstage.coordinator.lease.LeaseCommands.Release;
import saltstage.coordinator.lease.LeaseCommands.Renew;
import saltstage.coordinator.lease.LeaseReplies.Granted;
import saltstage.coordinator.lease.LeaseReplies.Held;
import saltstage.coordinator.lease.LeaseReplies.Renewed;
import saltstage.coordinator.model.Rejection;
import saltstage.coordinator.model.Reply;

/**
 * All leases of a group, in group time (milliseconds, monotonic). This class does no I/O and has no
 * threads or clocks: the current time is passed to each call. Every grant has a higher fencing
 * token than all earlier grants of any lease.
 */
public final class Leases {
    /**
     * The time after which a waiter that has not repeated its request is removed from the queue.
     */
    public static final long WAITER_TIMEOUT_MS = 3_000;

    /**
     * How long a lease that became free is reserved for the first waiter before the next waiter
     * gets its turn.
     */
    public static final long CLAIM_TIMEOUT_MS = 1_500;

    /**
     * The minimum duration of a lease. A shorter lease could be lost to a single slow disk write.
     */
    public static final long MIN_TTL_MS = 500;

    /**
     * The maximum duration of a lease, which is how long a crashed holder can block other owners.
     */
    public static final long MAX_TTL_MS = 3_600_000;

    private static final int MAX_LEASES = 200_000;
    private static final int MAX_WAITERS_PER_LEASE = 1_000;

    /** The state of one lease in a snapshot: its holder, fencing token, expiry and waiters. */
    public record Row(
            String name,
            String owner,
            long fence,
            long ttlMs,
            long expires,
            long revision,
            List<Waiter> waiters,
            String claimant,
            long claimUntil) {}

    /** An owner that waits for a lease. */
    public record Waiter(String owner, int priority, long order, long until) {}

    /** The state of all leases in a snapshot. */
    public record Image(long fences, long orders, long revisions, List<Row> rows) {}

    private final TreeMap<String, LeaseEntry> leases = new TreeMap<>();
    private final LeaseDeadlines deadlines = new LeaseDeadlines();
    private long lastFencingToken;
    private long lastOrder;
    private long lastRevision;

    /** Creates a state without leases. */
    public Leases() {}

    /** Restores the state from a snapshot. */
    public Leases(Image image) {
        lastFencingToken = image.fences();
        lastOrder = image.orders();
        lastRevision = image.revisions();
        for (Row row : image.rows()) {
            LeaseEntry lease = new LeaseEntry(row);
            leases.put(row.name(), lease);
            scheduleOrRemove(lease);
        }
    }

    /** Returns the state for a snapshot. Equal states give equal images. */
    public Image image() {
        List<Row> rows = leases.values().stream().map(LeaseEntry::row).toList();
        return new Image(lastFencingToken, lastOrder, lastRevision, rows);
    }

    /**
     * Ensures that no fencing token up to this one is issued again. It is needed after a restore
     * from a backup, which does not know the grants made after it was taken.
     */
    public void skipFencingTokens(long upTo) {
        lastFencingToken = Math.max(lastFencingToken, upTo);
    }

    /** Returns the last fencing token that was issued. */
    public long lastFencingToken() {
        return lastFencingToken;
    }

    /** Returns the number of leases that are held or waited for. */
    public int size() {
        return leases.size();
    }

    /**
     * Returns the next time at which something changes without a command, or {@link Long#MAX_VALUE}
     * if there is none.
     */
    public long nextDeadline() {
        return deadlines.next();
    }

    /** Returns the state of a lease, or null if it has neither a holder nor waiters. */
    public Row find(String name) {
        LeaseEntry lease = leases.get(name);
        return lease == null ? null : lease.row();
    }

    /**
     * Returns the leases whose names start with the prefix, in the order of their names, up to the
     * given number.
     */
    public List<Row> list(String prefix, int maxCount) {
        return leases.tailMap(prefix).values().stream()
                .takeWhile(lease -> lease.name().startsWith(prefix))
                .limit(maxCount)
                .map(LeaseEntry::row)
                .toList();
    }

    /** Returns whether this owner holds the lease under this fencing token at the given time. */
    public boolean isHeldBy(String name, String owner, long fencingToken, long now) {
        LeaseEntry lease = leases.get(name);
        return lease != null
                && lease.isHeldBy(owner)
                && lease.fencingToken() == fencingToken
                && now < lease.expires();
    }

    /** Applies every expiry that is due by now. */
    public void advance(long now) {
        for (String dueName = deadlines.pollDue(now);
                dueName != null;
                dueName = deadlines.pollDue(now)) {
            LeaseEntry lease = leases.get(dueName);
            if (lease.isHeld() && lease.expires() <= now) {
                lease.release(++lastRevision);
            }
            lease.removeExpiredWaiters(now);
            offer(lease, now);
            scheduleOrRemove(lease);
        }
    }

    /** Reserves a free lease for its first waiter, if it has one. */
    private void offer(LeaseEntry lease, long now) {
        if (lease.canBeOffered()) {
            lease.offer(now + CLAIM_TIMEOUT_MS, ++lastRevision);
        }
    }

    /** Updates a lease's deadline, or removes the lease if it has neither a holder nor waiters. */
    private void scheduleOrRemove(LeaseEntry lease) {
        if (lease.isUnused()) {
            deadlines.remove(lease.name());
            leases.remove(lease.name());
        } else {
            deadlines.set(lease.name(), lease.nextDeadline());
        }
    }

    /** Grants a lease, or returns its holder and the number of waiters ahead. */
    public Reply acquire(Acquire request, long now) {
        advance(now);
        Rejection malformed = LeaseRequestValidator.rejection(request);
        if (malformed != null) {
            return malformed;
        }
        LeaseEntry lease = leases.computeIfAbsent(request.name(), LeaseEntry::new);
        if (lease.isHeldBy(request.owner())) {
            return grant(request, lease, now, lease.fencingToken());
        }
        if (lease.isAvailableTo(request.owner())) {
            return grant(request, lease, now, ++lastFencingToken);
        }
        Waiter previous = lease.findWaiter(request.owner());
        if (request.queue() && previous == null && lease.queueLength() >= MAX_WAITERS_PER_LEASE) {
            scheduleOrRemove(lease);
            return new Rejection(
                    "queue-full",
                    "so many wait for " + request.name() + " already: " + MAX_WAITERS_PER_LEASE,
                    Math.max(1, lease.expires() - now));
        }
        requeue(request, lease, previous, now);
        offer(lease, now);
        scheduleOrRemove(lease);
        // The lease was free and this owner is the first in the queue.
        if (lease.isClaimedBy(request.owner())) {
            return grant(request, lease, now, ++lastFencingToken);
        }
        return heldReply(request, lease, now);
    }

    /**
     * Renews the owner's entry in the queue. The entry keeps its order as long as its priority is
     * unchanged.
     */
    private void requeue(Acquire request, LeaseEntry lease, Waiter previous, long now) {
        lease.removeWaiter(request.owner());
        if (request.queue()) {
            boolean keepsOrder = previous != null && previous.priority() == request.priority();
            long order = keepsOrder ? previous.order() : ++lastOrder;
            lease.addWaiter(
                    new Waiter(
                            request.owner(), request.priority(), order, now + WAITER_TIMEOUT_MS));
        }
    }

    private Reply grant(Acquire request, LeaseEntry lease, long now, long fencingToken) {
        if (!lease.isHeld() && leases.size() > MAX_LEASES) {
            scheduleOrRemove(lease);
            return new Rejection(
                    "too-many", "the group holds " + MAX_LEASES + " leases already", 0);
        }
        lease.grant(request, fencingToken, now, ++lastRevision);
        scheduleOrRemove(lease);
        return new Granted(request.name(), fencingToken, request.ttlMs());
    }

    private static Held heldReply(Acquire request, LeaseEntry lease, long now) {
        Waiter ownEntry = lease.findWaiter(request.owner());
        return new Held(
                request.name(),
                lease.ownerOrClaimant(),
                lease.fencingToken(),
                Math.max(0, lease.heldOrClaimedUntil() - now),
                ownEntry != null,
                lease.waitersAhead(ownEntry));
    }

    /** Extends leases by their full duration. */
    public Renewed renew(Renew request, long now) {
        advance(now);
        Map<String, Long> renewed = new LinkedHashMap<>();
        List<String> lost = new ArrayList<>();
        new TreeMap<>(request.fences())
                .forEach(
                        (name, fencingToken) -> {
                            if (isHeldBy(name, request.owner(), fencingToken, now)) {
                                LeaseEntry lease = leases.get(name);
                                lease.renew(now);
                                renewed.put(name, lease.ttlMs());
                                scheduleOrRemove(lease);
                            } else {
                                lost.add(name);
                            }
                        });
        return new Renewed(renewed, lost);
    }

    /**
     * Releases a lease or leaves its queue. Returns whether the owner held the lease or waited for
     * it.
     */
    public boolean release(Release request, long now) {
        advance(now);
        LeaseEntry lease = leases.get(request.name());
        if (lease == null) {
            return false;
        }
        boolean found = lease.removeWaiter(request.owner());
        if (lease.isClaimedBy(request.owner())) {
            lease.endClaim();
            found = true;
        }
        if (lease.isHeldBy(request.owner()) && lease.fencingToken() == request.fence()) {
            lease.release(++lastRevision);
            found = true;
        }
        offer(lease, now);
        scheduleOrRemove(lease);
        return found;
    }
}
