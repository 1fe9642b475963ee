package saltstage.coordinator.lease;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import saltstage.coordinator.lease.LeaseCommands.Acquire;

/** One lease: its holder, its queue, and for whom it is kept when it has just come free. */
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

    /** A lease that nobody holds. */
    LeaseEntry(String name) {
        this.name = name;
    }

    /** As a snapshot has it. */
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

    /** What a snapshot keeps. */
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

    /** Whether anybody holds it. */
    boolean isHeld() {
        return owner != null;
    }

    boolean isHeldBy(String who) {
        return owner != null && owner.equals(who);
    }

    /** Whether it is kept for this one, which was the first to wait when it came free. */
    boolean isClaimedBy(String who) {
        return claimant != null && claimant.equals(who);
    }

    /** Whether nobody holds it or waits for it, so that nothing of it need be kept. */
    boolean isUnused() {
        return owner == null && waiters.isEmpty();
    }

    /** Whether it may be granted to this one at once: free, and nobody else goes first. */
    boolean isAvailableTo(String who) {
        if (owner != null) {
            return false;
        }
        return claimant == null ? waiters.isEmpty() : claimant.equals(who);
    }

    /** When time next changes it by itself. */
    long nextDeadline() {
        long at = owner != null ? expires : Long.MAX_VALUE;
        at = claimant != null ? Math.min(at, claimUntil) : at;
        for (Leases.Waiter waiter : waiters) {
            at = Math.min(at, waiter.until());
        }
        return at;
    }

    /** Until when it is held, or kept for its claimant. */
    long heldOrClaimedUntil() {
        return owner != null ? expires : claimUntil;
    }

    /** Who holds it, or for whom it is kept. */
    String ownerOrClaimant() {
        return owner != null ? owner : claimant;
    }

    /** Grants it; asking again never shortens the time, as the holder may act on either reply. */
    void grant(Acquire request, long newFence, long now, long newRevision) {
        if (isClaimedBy(request.owner())) {
            claimant = null;
        }
        removeWaiter(request.owner());
        owner = request.owner();
        fencingToken = newFence;
        ttlMs = request.ttlMs();
        expires = Math.max(expires, now + request.ttlMs());
        revision = newRevision;
    }

    /** Holds it for its whole span again. */
    void renew(long now) {
        expires = Math.max(expires, now + ttlMs);
    }

    /** Takes it from its holder. */
    void release(long newRevision) {
        owner = null;
        fencingToken = 0;
        expires = 0;
        revision = newRevision;
    }

    /** Whether it is free, kept for nobody, and waited for. */
    boolean canBeOffered() {
        return owner == null && claimant == null && !waiters.isEmpty();
    }

    /** Keeps it for the first that waits. */
    void offer(long until, long newRevision) {
        claimant = waiters.first().owner();
        claimUntil = until;
        revision = newRevision;
    }

    /** Keeps it for nobody any more. */
    void endClaim() {
        claimant = null;
    }

    /** Removes those that have stopped asking, and a claimant that did not come. */
    void removeExpiredWaiters(long now) {
        waiters.removeIf(w -> w.until() <= now);
        if (claimant != null && claimUntil <= now) {
            removeWaiter(claimant);
            claimant = null;
        }
    }

    /** The place of this one in the queue, or null. */
    Leases.Waiter findWaiter(String who) {
        return waiters.stream().filter(w -> w.owner().equals(who)).findFirst().orElse(null);
    }

    int queueLength() {
        return waiters.size();
    }

    /** How many go before this waiter; all of them where it is null. */
    int waitersAhead(Leases.Waiter waiter) {
        return waiter == null ? waiters.size() : waiters.headSet(waiter).size();
    }

    void addWaiter(Leases.Waiter waiter) {
        waiters.add(waiter);
    }

    /** Removes this one from the queue; true where it was there. */
    boolean removeWaiter(String who) {
        return waiters.removeIf(w -> w.owner().equals(who));
    }
}
