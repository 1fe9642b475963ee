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
 * The revision that each follower of this distributor has confirmed, and the time of its last
 * request. A request costs O(log revisions), a report O(revisions + followers named). Times are
 * milliseconds of any monotonic clock. Not thread safe.
 */
public final class FollowerRegistry {
    /** The maximum number of followers; requests of others are served, but not counted. */
    static final int MAX_FOLLOWERS = 20_000;

    /** The time after which a silent follower is no longer named in reports. */
    static final long SILENT_RETENTION_MS = 3_600_000;

    private static final int MAX_REVISION_TIMES = 4_096;

    private static final class Follower {
        private final String name;
        private final String zone;
        private final long firstRequestMs;
        private long confirmedRevision;
        private long lastRequestMs;

        Follower(String name, String zone, long nowMs) {
            this.name = name;
            this.zone = zone;
            firstRequestMs = nowMs;
        }
    }

    /** The followers of one zone. */
    private static final class Zone {
        private final TreeMap<Long, Set<Follower>> followersByRevision = new TreeMap<>();
        private final Map<String, Follower> silentFollowers = new LinkedHashMap<>();
        private int followerCount;

        void add(Follower follower) {
            followersByRevision
                    .computeIfAbsent(follower.confirmedRevision, key -> new LinkedHashSet<>())
                    .add(follower);
            followerCount++;
        }

        void remove(Follower follower) {
            Set<Follower> followersAtRevision = followersByRevision.get(follower.confirmedRevision);
            followersAtRevision.remove(follower);
            if (followersAtRevision.isEmpty()) {
                followersByRevision.remove(follower.confirmedRevision);
            }
            followerCount--;
        }

        void addSilent(Follower follower) {
            silentFollowers.put(follower.name, follower);
            if (silentFollowers.size() > FollowerReport.MAX_NAMED_FOLLOWERS) {
                silentFollowers.remove(silentFollowers.keySet().iterator().next());
            }
        }

        void removeExpiredSilent(long nowMs) {
            silentFollowers
                    .values()
                    .removeIf(follower -> nowMs - follower.lastRequestMs > SILENT_RETENTION_MS);
        }

        boolean isEmpty() {
            return followerCount == 0 && silentFollowers.isEmpty();
        }
    }

    private final long silentAfterMs;
    private final RevisionTimes revisionTimes = new RevisionTimes(MAX_REVISION_TIMES);

    /** The followers by name, in the order of their last requests. */
    private final Map<String, Follower> followers = new LinkedHashMap<>();

    private final Map<String, Zone> zones = new TreeMap<>();
    private long newestRevision;

    /** Creates a registry that drops followers which send no request for over this time. */
    public FollowerRegistry(long silentAfterMs) {
        this.silentAfterMs = silentAfterMs;
    }

    /** Records that this distributor serves a revision from now on. */
    public void advance(long revision, long nowMs) {
        if (revision > newestRevision) {
            newestRevision = revision;
            revisionTimes.add(revision, nowMs);
        }
    }

    /**
     * Records a request in which a follower states that it has persisted and applied this revision.
     * Only such a request confirms a revision: a follower that was sent a revision may not have it
     * yet.
     */
    public void confirm(String name, String zone, long revision, long nowMs) {
        Follower follower = recordRequest(name, zone, nowMs);
        if (follower != null) {
            Zone zoneFollowers = zones.get(zone);
            zoneFollowers.remove(follower);
            follower.confirmedRevision = revision;
            zoneFollowers.add(follower);
        }
    }

    /** Records a request with an unverified revision: the confirmed revision remains the same. */
    public void recordUnverifiedRequest(String name, String zone, long nowMs) {
        recordRequest(name, zone, nowMs);
    }

    private Follower recordRequest(String name, String zone, long nowMs) {
        Follower follower = followers.remove(name);
        if (follower != null && !follower.zone.equals(zone)) {
            removeFromZone(follower);
            follower = null;
        }
        if (follower == null) {
            if (followers.size() >= MAX_FOLLOWERS) {
                return null;
            }
            follower = new Follower(name, zone, nowMs);
            Zone zoneFollowers = zones.computeIfAbsent(zone, key -> new Zone());
            zoneFollowers.silentFollowers.remove(name);
            zoneFollowers.add(follower);
        }
        follower.lastRequestMs = nowMs;
        followers.put(name, follower);
        return follower;
    }

    private void removeFromZone(Follower follower) {
        Zone zone = zones.get(follower.zone);
        zone.remove(follower);
        if (zone.isEmpty()) {
            zones.remove(follower.zone);
        }
    }

    /** Drops followers that have been silent for too long; call periodically. */
    public void sweep(long nowMs) {
        while (!followers.isEmpty() && isSilent(followers.values().iterator().next(), nowMs)) {
            Follower eldest = followers.values().iterator().next();
            followers.remove(eldest.name);
            Zone zone = zones.get(eldest.zone);
            zone.remove(eldest);
            zone.addSilent(eldest);
        }
        zones.values().forEach(zone -> zone.removeExpiredSilent(nowMs));
        zones.values().removeIf(Zone::isEmpty);
    }

    private boolean isSilent(Follower follower, long nowMs) {
        return nowMs - follower.lastRequestMs > silentAfterMs;
    }

    /** Returns the confirmations of the newest revision, by zone in alphabetical order. */
    public List<ZoneConfirmations> reports(long nowMs) {
        return reports(newestRevision, nowMs);
    }

    /** Returns the confirmations of a revision, by zone in alphabetical order. */
    public List<ZoneConfirmations> reports(long revision, long nowMs) {
        List<ZoneConfirmations> reports = new ArrayList<>();
        zones.forEach((name, zone) -> reports.add(report(name, zone, revision, nowMs)));
        return reports;
    }

    private static List<ZoneConfirmations.Silent> silentFollowers(Zone zone, long nowMs) {
        List<ZoneConfirmations.Silent> silent = new ArrayList<>();
        for (Follower follower : zone.silentFollowers.values()) {
            silent.add(
                    new ZoneConfirmations.Silent(
                            follower.name,
                            follower.confirmedRevision,
                            nowMs - follower.lastRequestMs));
        }
        return silent;
    }

    private ZoneConfirmations report(String name, Zone zone, long revision, long nowMs) {
        SortedMap<Long, Integer> counts = new TreeMap<>();
        zone.followersByRevision.forEach(
                (confirmedRevision, followersAtRevision) ->
                        counts.put(confirmedRevision, followersAtRevision.size()));
        return new ZoneConfirmations(
                name,
                revision,
                counts,
                zone.followerCount,
                followersBehind(zone, revision, nowMs),
                silentFollowers(zone, nowMs));
    }

    /** Names the followers with the oldest revisions first: they have been behind for longest. */
    private List<FollowerReport.Behind> followersBehind(Zone zone, long revision, long nowMs) {
        List<FollowerReport.Behind> behind = new ArrayList<>();
        for (Map.Entry<Long, Set<Follower>> lagging :
                zone.followersByRevision.headMap(revision, false).entrySet()) {
            long newerSinceMs = revisionTimes.newerKnownSinceMs(lagging.getKey(), nowMs);
            for (Follower follower : lagging.getValue()) {
                if (behind.size() == FollowerReport.MAX_NAMED_FOLLOWERS) {
                    return behind;
                }
                long sinceMs = nowMs - Math.max(newerSinceMs, follower.firstRequestMs);
                behind.add(new FollowerReport.Behind(follower.name, lagging.getKey(), sinceMs));
            }
        }
        return behind;
    }

    /** Returns the number of followers that are counted. */
    public int size() {
        return followers.size();
    }
}
