package saltstage.coordinator.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import saltstage.coordinator.lease.LeaseCommands.Acquire;
import saltstage.coordinator.lease.LeaseCommands.Release;
import saltstage.coordinator.lease.LeaseCommands.Renew;
import saltstage.coordinator.lease.LeaseReplies.Granted;
import saltstage.coordinator.lease.LeaseReplies.Held;
import saltstage.coordinator.lease.LeaseReplies.Renewed;
import saltstage.coordinator.model.Refused;
import saltstage.coordinator.model.Reply;

/**
 * All leases of a group, in group time (milliseconds that only grow). Free of I/O, threads and
 * clocks: each call says what time it is. Every grant has a fence higher than any before it,
 * whatever lease it is of.
 */
public final class Leases {
    /** A waiter that has not asked again for so long has left. */
    public static final long WAITER_MS = 3_000;

    /**
     * A lease that came free is kept for the first that waits for so long; then it is the next
     * one's turn.
     */
    public static final long CLAIM_MS = 1_500;

    /** The shortest span of a lease: below it, one slow disk write costs it. */
    public static final long LEAST_TTL_MS = 500;

    /** The longest span of a lease: a dead holder keeps the others out for so long. */
    public static final long MOST_TTL_MS = 3_600_000;

    static final int MOST_LEASES = 200_000;
    static final int MOST_WAITERS = 1_000;
    static final int MOST_NAME = 200;

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

    private record Due(long at, String name) {}

    private static final class Lease {
        private String owner;
        private long fence;
        private long ttl;
        private long expires;
        private long revision;
        private String claimant;
        private long claimUntil;
        private final TreeSet<Waiter> waiters =
                new TreeSet<>(
                        Comparator.comparingInt((Waiter w) -> -w.priority())
                                .thenComparingLong(Waiter::order));
        private Due due;

        private Waiter waiter(String who) {
            return waiters.stream().filter(w -> w.owner().equals(who)).findFirst().orElse(null);
        }

        private boolean idle() {
            return owner == null && waiters.isEmpty();
        }
    }

    private final Map<String, Lease> leases = new TreeMap<>();
    private final TreeSet<Due> dues =
            new TreeSet<>(Comparator.comparingLong(Due::at).thenComparing(Due::name));
    private long fences;
    private long orders;
    private long revisions;

    /** Nobody holds anything. */
    public Leases() {}

    /** As a snapshot has it. */
    public Leases(Image image) {
        fences = image.fences();
        orders = image.orders();
        revisions = image.revisions();
        for (Row row : image.rows()) {
            Lease lease = new Lease();
            lease.owner = row.owner();
            lease.fence = row.fence();
            lease.ttl = row.ttlMs();
            lease.expires = row.expires();
            lease.revision = row.revision();
            lease.claimant = row.claimant();
            lease.claimUntil = row.claimUntil();
            lease.waiters.addAll(row.waiters());
            leases.put(row.name(), lease);
            plan(row.name(), lease);
        }
    }

    /** What a snapshot keeps; equal states give equal images. */
    public Image image() {
        List<Row> rows = new ArrayList<>();
        leases.forEach((name, lease) -> rows.add(row(name, lease)));
        return new Image(fences, orders, revisions, rows);
    }

    private static Row row(String name, Lease lease) {
        return new Row(
                name,
                lease.owner,
                lease.fence,
                lease.ttl,
                lease.expires,
                lease.revision,
                List.copyOf(lease.waiters),
                lease.claimant,
                lease.claimUntil);
    }

    /**
     * No fence up to this one is given out again: after a restore, grants that the copy knows
     * nothing of.
     */
    public void skipFences(long upTo) {
        fences = Math.max(fences, upTo);
    }

    /** The last fence that was given out. */
    public long fences() {
        return fences;
    }

    /** How many are held or waited for. */
    public int size() {
        return leases.size();
    }

    /** When time next changes something by itself; {@link Long#MAX_VALUE}: never. */
    public long nextDue() {
        return dues.isEmpty() ? Long.MAX_VALUE : dues.first().at();
    }

    /** A lease as it stands, or null where nobody holds it or waits for it. */
    public Row find(String name) {
        Lease lease = leases.get(name);
        return lease == null ? null : row(name, lease);
    }

    /** Those whose names begin so, in order of their names, so many at most. */
    public List<Row> list(String prefix, int most) {
        List<Row> rows = new ArrayList<>();
        for (Map.Entry<String, Lease> entry :
                ((TreeMap<String, Lease>) leases).tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix) || rows.size() == most) {
                break;
            }
            rows.add(row(entry.getKey(), entry.getValue()));
        }
        return rows;
    }

    /** Whether this owner holds this lease under this fence now. */
    public boolean holds(String name, String owner, long fence, long now) {
        Lease lease = leases.get(name);
        return lease != null
                && owner.equals(lease.owner)
                && lease.fence == fence
                && now < lease.expires;
    }

    // ---- time

    /** Lets everything happen that is due by now. */
    public void advance(long now) {
        while (!dues.isEmpty() && dues.first().at() <= now) {
            Due due = dues.pollFirst();
            Lease lease = leases.get(due.name());
            lease.due = null;
            if (lease.owner != null && lease.expires <= now) {
                free(lease);
            }
            lease.waiters.removeIf(w -> w.until() <= now);
            if (lease.claimant != null
                    && lease.claimUntil <= now) { // it had its turn and did not come
                lease.waiters.removeIf(w -> w.owner().equals(lease.claimant));
                lease.claimant = null;
            }
            offer(lease, now);
            plan(due.name(), lease);
        }
    }

    private void free(Lease lease) {
        lease.owner = null;
        lease.fence = 0;
        lease.expires = 0;
        lease.revision = ++revisions;
    }

    /** A free lease is kept for the first that waits. */
    private void offer(Lease lease, long now) {
        if (lease.owner == null && lease.claimant == null && !lease.waiters.isEmpty()) {
            lease.claimant = lease.waiters.first().owner();
            lease.claimUntil = now + CLAIM_MS;
            lease.revision = ++revisions;
        }
    }

    /**
     * Plans the next moment at which time changes this lease, and forgets one that is nothing any
     * more.
     */
    private void plan(String name, Lease lease) {
        if (lease.due != null) {
            dues.remove(lease.due);
            lease.due = null;
        }
        if (lease.idle()) {
            leases.remove(name);
            return;
        }
        long at = lease.owner != null ? lease.expires : Long.MAX_VALUE;
        at = lease.claimant != null ? Math.min(at, lease.claimUntil) : at;
        for (Waiter waiter : lease.waiters) {
            at = Math.min(at, waiter.until());
        }
        lease.due = new Due(at, name);
        dues.add(lease.due);
    }

    // ---- commands

    /** Wants one. */
    public Reply acquire(Acquire ask, long now) {
        advance(now);
        Refused bad = checked(ask);
        if (bad != null) {
            return bad;
        }
        Lease lease = leases.computeIfAbsent(ask.name(), any -> new Lease());
        if (lease.owner != null && lease.owner.equals(ask.owner())) {
            return grant(ask, lease, now, lease.fence);
        }
        boolean first =
                lease.owner == null
                        && (lease.claimant == null
                                ? lease.waiters.isEmpty()
                                : lease.claimant.equals(ask.owner()));
        if (first) {
            return grant(ask, lease, now, ++fences);
        }
        Waiter before = lease.waiter(ask.owner());
        if (ask.queue() && before == null && lease.waiters.size() >= MOST_WAITERS) {
            plan(ask.name(), lease);
            return new Refused(
                    "queue-full",
                    "so many wait for " + ask.name() + " already: " + MOST_WAITERS,
                    Math.max(1, lease.expires - now));
        }
        requeue(ask, lease, before, now);
        offer(lease, now);
        plan(ask.name(), lease);
        if (ask.owner().equals(lease.claimant)) { // it was kept for nobody, and this one is first
            return grant(ask, lease, now, ++fences);
        }
        return held(ask, lease, now);
    }

    /** Replaces the owner's place in the queue; its order stays while its priority does. */
    private void requeue(Acquire ask, Lease lease, Waiter before, long now) {
        if (before != null) {
            lease.waiters.remove(before);
        }
        if (ask.queue()) {
            boolean kept = before != null && before.priority() == ask.priority();
            lease.waiters.add(
                    new Waiter(
                            ask.owner(),
                            ask.priority(),
                            kept ? before.order() : ++orders,
                            now + WAITER_MS));
        }
    }

    private static Refused checked(Acquire ask) {
        if (ask.name() == null
                || ask.name().isEmpty()
                || ask.name().length() > MOST_NAME
                || ask.name().chars().anyMatch(c -> c <= ' ' || c > '~')) {
            return new Refused(
                    "bad-name",
                    "a lease's name has 1 to " + MOST_NAME + " visible ASCII characters",
                    0);
        }
        if (ask.owner() == null || ask.owner().isEmpty() || ask.owner().length() > MOST_NAME) {
            return new Refused(
                    "bad-owner", "an owner's name has 1 to " + MOST_NAME + " characters", 0);
        }
        if (ask.ttlMs() < LEAST_TTL_MS || ask.ttlMs() > MOST_TTL_MS) {
            return new Refused(
                    "bad-ttl", "a lease lasts " + LEAST_TTL_MS + " to " + MOST_TTL_MS + " ms", 0);
        }
        return null;
    }

    private Reply grant(Acquire ask, Lease lease, long now, long fence) {
        if (lease.owner == null && leases.size() > MOST_LEASES) {
            plan(ask.name(), lease);
            return new Refused("too-many", "the group holds " + MOST_LEASES + " leases already", 0);
        }
        if (lease.claimant != null && lease.claimant.equals(ask.owner())) {
            lease.claimant = null;
        }
        lease.waiters.removeIf(w -> w.owner().equals(ask.owner()));
        lease.owner = ask.owner();
        lease.fence = fence;
        lease.ttl = ask.ttlMs();
        // Asking again never shortens what was promised: the holder may act on either answer.
        lease.expires = Math.max(lease.expires, now + ask.ttlMs());
        lease.revision = ++revisions;
        plan(ask.name(), lease);
        return new Granted(ask.name(), fence, ask.ttlMs());
    }

    private Held held(Acquire ask, Lease lease, long now) {
        Waiter mine = lease.waiter(ask.owner());
        int ahead = mine == null ? lease.waiters.size() : lease.waiters.headSet(mine).size();
        String holder = lease.owner != null ? lease.owner : lease.claimant;
        long until = lease.owner != null ? lease.expires : lease.claimUntil;
        return new Held(
                ask.name(), holder, lease.fence, Math.max(0, until - now), mine != null, ahead);
    }

    /** Holds some for their span again. */
    public Renewed renew(Renew ask, long now) {
        advance(now);
        Map<String, Long> held = new LinkedHashMap<>();
        List<String> lost = new ArrayList<>();
        for (Map.Entry<String, Long> each : new TreeMap<>(ask.fences()).entrySet()) {
            if (!holds(each.getKey(), ask.owner(), each.getValue(), now)) {
                lost.add(each.getKey());
                continue;
            }
            Lease lease = leases.get(each.getKey());
            lease.expires = Math.max(lease.expires, now + lease.ttl);
            held.put(each.getKey(), lease.ttl);
            plan(each.getKey(), lease);
        }
        return new Renewed(held, lost);
    }

    /** Gives one back; true where it was held or waited for. */
    public boolean release(Release ask, long now) {
        advance(now);
        Lease lease = leases.get(ask.name());
        if (lease == null) {
            return false;
        }
        boolean was = lease.waiters.removeIf(w -> w.owner().equals(ask.owner()));
        if (ask.owner().equals(lease.claimant)) {
            lease.claimant = null;
            was = true;
        }
        if (ask.owner().equals(lease.owner) && lease.fence == ask.fence()) {
            free(lease);
            was = true;
        }
        offer(lease, now);
        plan(ask.name(), lease);
        return was;
    }
}
