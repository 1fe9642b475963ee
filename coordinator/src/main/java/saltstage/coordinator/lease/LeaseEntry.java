package saltstage.coordinator.lease;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import saltstage.coordinator.lease.LeaseCommands.Acquire;

/**
 * A single lease: its holder, its queue, and the claimant, which is the waiter that a lease is
 * reserved for after it has become free.
 */
final class LeaseEntry {
    private static final Comparator<Leases.Waiter> BY_PRIORITY_THEN_ORDER =
            Comparator.comparingInt((Leases.Waiter w) -> -w.priority())
                    .thenComparingLong(Leases.Waiter::order);

    private final String name;
    private final TreeSet<Leases.Waiter> waiters = new TreeSet<>(BY_PRIORITY_THEN_ORDER);
    private String owner;
    private long fencingToken;
    private long ttlMs;
    private long expires;
    private long revision;
    private String claimant;
    private long claimUntil;

    /** Creates a lease without a holder. */
    LeaseEntry(String name) {
        this.name = name;
    }

    /** Restores a lease from a snapshot. */
    LeaseEntry(Leases.Row row) {
        name = row.name();
        owner = row.owner();
        fencingToken = row.fence();
        ttlMs = row.ttlMs();
        expires = row.expires();
        revision = row.revision();
        claimant = row.claimant();
        claimUntil = row.claimUntil();
        waiters.addAll(row.waiters());
    }

    /** Returns the lease's state for a snapshot. */
    Leases.Row row() {
        return new Leases.Row(
                name,
                owner,
                fencingToken,
                ttlMs,
                expires,
                revision,
                List.copyOf(waiters),
                claimant,
                claimUntil);
    }

    String name() {
        return name;
    }

    long fencingToken() {
        return fencingToken;
    }

    long ttlMs() {
        return ttlMs;
    }

    long expires() {
        return expires;
    }

    /** Returns whether the lease has a holder. */
    boolean isHeld() {
        return owner != null;
    }

    /** Returns whether this owner holds the lease. */
    boolean isHeldBy(String requester) {
        return owner != null && owner.equals(requester);
    }

    /**
     * Returns whether the lease is reserved for this owner, which was the first waiter when the
     * lease became free.
     */
    boolean isClaimedBy(String requester) {
        return claimant != null && claimant.equals(requester);
    }

    /** Returns whether the lease has neither a holder nor waiters, so that it can be removed. */
    boolean isUnused() {
        return owner == null && waiters.isEmpty();
    }

    /**
     * Returns whether the lease can be granted to this owner at once: it is free and nobody else
     * comes first.
     */
    boolean isAvailableTo(String requester) {
        if (owner != null) {
            return false;
        }
        return claimant == null ? waiters.isEmpty() : claimant.equals(requester);
    }

    /** Returns the next time at which the lease changes without a command. */
    long nextDeadline() {
        long deadline = owner != null ? expires : Long.MAX_VALUE;
        deadline = claimant != null ? Math.min(deadline, claimUntil) : deadline;
        for (Leases.Waiter waiter : waiters) {
            deadline = Math.min(deadline, waiter.until());
        }
        return deadline;
    }

    /** Returns the time until which the lease is held, or reserved for its claimant. */
    long heldOrClaimedUntil() {
        return owner != null ? expires : claimUntil;
    }

    /** Returns the holder, or the claimant if the lease is not held. */
    String ownerOrClaimant() {
        return owner != null ? owner : claimant;
    }

    /**
     * Grants the lease. A repeated request never shortens the remaining time, because the holder
     * may act on either reply.
     */
    void grant(Acquire request, long newFencingToken, long now, long newRevision) {
        if (isClaimedBy(request.owner())) {
            claimant = null;
        }
        removeWaiter(request.owner());
        owner = request.owner();
        fencingToken = newFencingToken;
        ttlMs = request.ttlMs();
        expires = Math.max(expires, now + request.ttlMs());
        revision = newRevision;
    }

    /** Extends the lease by its full duration. */
    void renew(long now) {
        expires = Math.max(expires, now + ttlMs);
    }

    /** Ends the holder's possession of the lease. */
    void release(long newRevision) {
        owner = null;
        fencingToken = 0;
        expires = 0;
        revision = newRevision;
    }

    /** Returns whether the lease is free, not reserved, and has waiters. */
    boolean canBeOffered() {
        return owner == null && claimant == null && !waiters.isEmpty();
    }

    /** Reserves the lease for the first waiter. */
    void offer(long until, long newRevision) {
        claimant = waiters.first().owner();
        claimUntil = until;
        revision = newRevision;
    }

    /** Ends the reservation for the claimant. */
    void endClaim() {
        claimant = null;
    }

    /**
     * Removes waiters that have stopped repeating their request, and a claimant that did not
     * request the lease in time.
     */
    void removeExpiredWaiters(long now) {
        waiters.removeIf(w -> w.until() <= now);
        if (claimant != null && claimUntil <= now) {
            removeWaiter(claimant);
            claimant = null;
        }
    }

    /** Returns this owner's entry in the queue, or null if it does not wait. */
    Leases.Waiter findWaiter(String requester) {
        return waiters.stream().filter(w -> w.owner().equals(requester)).findFirst().orElse(null);
    }

    int queueLength() {
        return waiters.size();
    }

    /**
     * Returns the number of waiters ahead of this one, or the length of the queue if it is null.
     */
    int waitersAhead(Leases.Waiter waiter) {
        return waiter == null ? waiters.size() : waiters.headSet(waiter).size();
    }

    void addWaiter(Leases.Waiter waiter) {
        waiters.add(waiter);
    }

    /** Removes this owner from the queue and returns whether it was there. */
    boolean removeWaiter(String requester) {
        return waiters.removeIf(w -> w.owner().equals(requester));
    }
}
