package saltstage.coordinator.distribution;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import saltstage.coordinator.configuration.FollowerReport;

/**
 * What each follower of this distributor has confirmed, and when it was last heard. A request costs
 * O(log revisions), a report O(revisions + followers named). Times are milliseconds of any
 * monotonic clock. Not thread safe.
 */
public final class FollowerRegistry {
    /** So many followers are kept; requests of others are served, but not counted. */
    static final int MOST_FOLLOWERS = 20_000;

    /** After so long a silent follower is not named any more. */
    static final long FORGOTTEN_MS = 3_600_000;

    private static final int MOST_REVISION_TIMES = 4_096;

    private static final class Follower {
        private final String name;
        private final String zone;
        private final long firstHeardMs;
        private long confirmed;
        private long lastHeardMs;

        Follower(String name, String zone, long nowMs) {
            this.name = name;
            this.zone = zone;
            firstHeardMs = nowMs;
        }
    }

    /** The followers of one zone. */
    private static final class Zone {
        private final TreeMap<Long, Set<Follower>> byRevision = new TreeMap<>();
        private final Map<String, Follower> silent = new LinkedHashMap<>();
        private int followers;

        void add(Follower follower) {
            byRevision
                    .computeIfAbsent(follower.confirmed, any -> new LinkedHashSet<>())
                    .add(follower);
            followers++;
        }

        void remove(Follower follower) {
            Set<Follower> same = byRevision.get(follower.confirmed);
            same.remove(follower);
            if (same.isEmpty()) {
                byRevision.remove(follower.confirmed);
            }
            followers--;
        }

        void addSilent(Follower follower) {
            silent.put(follower.name, follower);
            if (silent.size() > FollowerReport.NAMED) {
                silent.remove(silent.keySet().iterator().next());
            }
        }

        void forget(long nowMs) {
            silent.values().removeIf(one -> nowMs - one.lastHeardMs > FORGOTTEN_MS);
        }

        boolean isEmpty() {
            return followers == 0 && silent.isEmpty();
        }
    }

    private final long silentAfterMs;
    private final RevisionTimes revisionTimes = new RevisionTimes(MOST_REVISION_TIMES);

    /** By name; whoever was heard last comes last. */
    private final Map<String, Follower> followers = new LinkedHashMap<>();

    private final Map<String, Zone> zones = new TreeMap<>();
    private long newest;

    /** A registry that drops followers which are silent for over so many milliseconds. */
    public FollowerRegistry(long silentAfterMs) {
        this.silentAfterMs = silentAfterMs;
    }

    /** Notes that this distributor serves a revision from now on. */
    public void advance(long revision, long nowMs) {
        if (revision > newest) {
            newest = revision;
            revisionTimes.add(revision, nowMs);
        }
    }

    /**
     * Notes a request by which a follower says that it has this revision, durable and in force.
     * Nothing but such a request may be noted here: what was sent to a follower is not yet there.
     */
    public void confirm(String name, String zone, long revision, long nowMs) {
        Follower follower = heard(name, zone, nowMs);
        if (follower != null) {
            Zone in = zones.get(zone);
            in.remove(follower);
            follower.confirmed = revision;
            in.add(follower);
        }
    }

    /** Notes a request of a follower whose revision could not be verified: it counts as before. */
    public void hear(String name, String zone, long nowMs) {
        heard(name, zone, nowMs);
    }

    private Follower heard(String name, String zone, long nowMs) {
        Follower follower = followers.remove(name);
        if (follower != null && !follower.zone.equals(zone)) {
            leave(follower);
            follower = null;
        }
        if (follower == null) {
            if (followers.size() >= MOST_FOLLOWERS) {
                return null;
            }
            follower = new Follower(name, zone, nowMs);
            Zone in = zones.computeIfAbsent(zone, any -> new Zone());
            in.silent.remove(name);
            in.add(follower);
        }
        follower.lastHeardMs = nowMs;
        followers.put(name, follower);
        return follower;
    }

    private void leave(Follower follower) {
        Zone zone = zones.get(follower.zone);
        zone.remove(follower);
        if (zone.isEmpty()) {
            zones.remove(follower.zone);
        }
    }

    /** Drops whoever has been silent for too long; to be called now and then. */
    public void sweep(long nowMs) {
        while (!followers.isEmpty() && isSilent(followers.values().iterator().next(), nowMs)) {
            Follower eldest = followers.values().iterator().next();
            followers.remove(eldest.name);
            Zone zone = zones.get(eldest.zone);
            zone.remove(eldest);
            zone.addSilent(eldest);
        }
        zones.values().forEach(zone -> zone.forget(nowMs));
        zones.values().removeIf(Zone::isEmpty);
    }

    private boolean isSilent(Follower follower, long nowMs) {
        return nowMs - follower.lastHeardMs > silentAfterMs;
    }

    /** How things stand with the newest revision, by zone in alphabetical order. */
    public List<ZoneConfirmations> reports(long nowMs) {
        return reports(newest, nowMs);
    }

    /** How things stand with a revision, by zone in alphabetical order. */
    public List<ZoneConfirmations> reports(long revision, long nowMs) {
        List<ZoneConfirmations> reports = new ArrayList<>();
        zones.forEach((name, zone) -> reports.add(report(name, zone, revision, nowMs)));
        return reports;
    }

    private static List<ZoneConfirmations.Silent> silent(Zone zone, long nowMs) {
        List<ZoneConfirmations.Silent> silent = new ArrayList<>();
        for (Follower one : zone.silent.values()) {
            silent.add(
                    new ZoneConfirmations.Silent(one.name, one.confirmed, nowMs - one.lastHeardMs));
        }
        return silent;
    }

    private ZoneConfirmations report(String name, Zone zone, long revision, long nowMs) {
        SortedMap<Long, Integer> counts = new TreeMap<>();
        zone.byRevision.forEach((having, those) -> counts.put(having, those.size()));
        return new ZoneConfirmations(
                name,
                revision,
                counts,
                zone.followers,
                behind(zone, revision, nowMs),
                silent(zone, nowMs));
    }

    /** Whoever has the oldest revision has been behind for longest. */
    private List<FollowerReport.Behind> behind(Zone zone, long revision, long nowMs) {
        List<FollowerReport.Behind> behind = new ArrayList<>();
        for (Map.Entry<Long, Set<Follower>> lagging :
                zone.byRevision.headMap(revision, false).entrySet()) {
            long newerSinceMs = revisionTimes.newerKnownSinceMs(lagging.getKey(), nowMs);
            for (Follower follower : lagging.getValue()) {
                if (behind.size() == FollowerReport.NAMED) {
                    return behind;
                }
                long sinceMs = nowMs - Math.max(newerSinceMs, follower.firstHeardMs);
                behind.add(new FollowerReport.Behind(follower.name, lagging.getKey(), sinceMs));
            }
        }
        return behind;
    }

    /** How many followers are counted. */
    public int size() {
        return followers.size();
    }
}
