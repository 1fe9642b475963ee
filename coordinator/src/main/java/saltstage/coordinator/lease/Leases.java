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
 * All leases of a group, in group time (milliseconds that only grow). Free of I/O, threads and
 * clocks: each call says what time it is. Every grant has a fence higher than any before it,
 * whatever lease it is of.
 */
public final class Leases {
    /** A waiter that has not asked again for so long has left. */
    public static final long WAITER_TIMEOUT_MS = 3_000;

    /**
     * A lease that came free is kept for the first that waits for so long; then it is the next
     * one's turn.
     */
    public static final long CLAIM_TIMEOUT_MS = 1_500;

    /** The shortest span of a lease: below it, one slow disk write costs it. */
    public static final long MIN_TTL_MS = 500;

    /** The longest span of a lease: a dead holder keeps the others out for so long. */
    public static final long MAX_TTL_MS = 3_600_000;

    private static final int MAX_LEASES = 200_000;
    private static final int MAX_WAITERS_PER_LEASE = 1_000;

    /**
     * Who holds a lease, under which fence, until when, and who waits; what a snapshot keeps of it.
     */
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

    /** One that waits. */
    public record Waiter(String owner, int priority, long order, long until) {}

    /** What a snapshot keeps. */
    public record Image(long fences, long orders, long revisions, List<Row> rows) {}

    private final TreeMap<String, LeaseEntry> leases = new TreeMap<>();
    private final LeaseDeadlines deadlines = new LeaseDeadlines();
    private long lastFencingToken;
    private long lastOrder;
    private long lastRevision;

    /** Nobody holds anything. */
    public Leases() {}

    /** As a snapshot has it. */
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

    /** What a snapshot keeps; equal states give equal images. */
    public Image image() {
        List<Row> rows = leases.values().stream().map(LeaseEntry::row).toList();
        return new Image(lastFencingToken, lastOrder, lastRevision, rows);
    }

    /**
     * No fence up to this one is given out again: after a restore, grants that the copy knows
     * nothing of.
     */
    public void skipFencingTokens(long upTo) {
        lastFencingToken = Math.max(lastFencingToken, upTo);
    }

    /** The last fence that was given out. */
    public long lastFencingToken() {
        return lastFencingToken;
    }

    /** How many are held or waited for. */
    public int size() {
        return leases.size();
    }

    /** When time next changes something by itself; {@link Long#MAX_VALUE}: never. */
    public long nextDeadline() {
        return deadlines.next();
    }

    /** A lease as it stands, or null where nobody holds it or waits for it. */
    public Row find(String name) {
        LeaseEntry lease = leases.get(name);
        return lease == null ? null : lease.row();
    }

    /** Those whose names begin so, in order of their names, so many at most. */
    public List<Row> list(String prefix, int most) {
        return leases.tailMap(prefix).values().stream()
                .takeWhile(lease -> lease.name().startsWith(prefix))
                .limit(most)
                .map(LeaseEntry::row)
                .toList();
    }

    /** Whether this owner holds this lease under this fence now. */
    public boolean isHeldBy(String name, String owner, long fence, long now) {
        LeaseEntry lease = leases.get(name);
        return lease != null
                && lease.isHeldBy(owner)
                && lease.fencingToken() == fence
                && now < lease.expires();
    }

    /** Lets everything happen that is due by now. */
    public void advance(long now) {
        for (String due = deadlines.pollDue(now); due != null; due = deadlines.pollDue(now)) {
            LeaseEntry lease = leases.get(due);
            if (lease.isHeld() && lease.expires() <= now) {
                lease.release(++lastRevision);
            }
            lease.removeExpiredWaiters(now);
            offer(lease, now);
            scheduleOrRemove(lease);
        }
    }

    /** A free lease is kept for the first that waits. */
    private void offer(LeaseEntry lease, long now) {
        if (lease.canBeOffered()) {
            lease.offer(now + CLAIM_TIMEOUT_MS, ++lastRevision);
        }
    }

    /** Plans a lease's next deadline, or forgets it where nobody holds it or waits any more. */
    private void scheduleOrRemove(LeaseEntry lease) {
        if (lease.isUnused()) {
            deadlines.remove(lease.name());
            leases.remove(lease.name());
        } else {
            deadlines.set(lease.name(), lease.nextDeadline());
        }
    }

    /** Grants a lease, or says who holds it and how many wait. */
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
        Waiter before = lease.findWaiter(request.owner());
        if (request.queue() && before == null && lease.queueLength() >= MAX_WAITERS_PER_LEASE) {
            scheduleOrRemove(lease);
            return new Rejection(
                    "queue-full",
                    "so many wait for " + request.name() + " already: " + MAX_WAITERS_PER_LEASE,
                    Math.max(1, lease.expires() - now));
        }
        requeue(request, lease, before, now);
        offer(lease, now);
        scheduleOrRemove(lease);
        if (lease.isClaimedBy(request.owner())) { // it was kept for nobody, and this one is first
            return grant(request, lease, now, ++lastFencingToken);
        }
        return heldReply(request, lease, now);
    }

    /** Replaces the owner's place in the queue; its order stays while its priority does. */
    private void requeue(Acquire request, LeaseEntry lease, Waiter before, long now) {
        lease.removeWaiter(request.owner());
        if (request.queue()) {
            boolean kept = before != null && before.priority() == request.priority();
            long order = kept ? before.order() : ++lastOrder;
            lease.addWaiter(
                    new Waiter(
                            request.owner(), request.priority(), order, now + WAITER_TIMEOUT_MS));
        }
    }

    private Reply grant(Acquire request, LeaseEntry lease, long now, long fence) {
        if (!lease.isHeld() && leases.size() > MAX_LEASES) {
            scheduleOrRemove(lease);
            return new Rejection(
                    "too-many", "the group holds " + MAX_LEASES + " leases already", 0);
        }
        lease.grant(request, fence, now, ++lastRevision);
        scheduleOrRemove(lease);
        return new Granted(request.name(), fence, request.ttlMs());
    }

    private static Held heldReply(Acquire request, LeaseEntry lease, long now) {
        Waiter own = lease.findWaiter(request.owner());
        return new Held(
                request.name(),
                lease.ownerOrClaimant(),
                lease.fencingToken(),
                Math.max(0, lease.heldOrClaimedUntil() - now),
                own != null,
                lease.waitersAhead(own));
    }

    /** Holds some for their span again. */
    public Renewed renew(Renew request, long now) {
        advance(now);
        Map<String, Long> held = new LinkedHashMap<>();
        List<String> lost = new ArrayList<>();
        new TreeMap<>(request.fences())
                .forEach(
                        (name, fence) -> {
                            if (isHeldBy(name, request.owner(), fence, now)) {
                                LeaseEntry lease = leases.get(name);
                                lease.renew(now);
                                held.put(name, lease.ttlMs());
                                scheduleOrRemove(lease);
                            } else {
                                lost.add(name);
                            }
                        });
        return new Renewed(held, lost);
    }

    /** Gives one back; true where it was held or waited for. */
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
