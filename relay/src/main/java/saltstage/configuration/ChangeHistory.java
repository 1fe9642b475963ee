package saltstage.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The newest changes, without holes, bounded in number and estimated bytes. It begins after a base
 * revision whose digest it knows too, so that each follower from the base on can be answered. Not
 * thread safe.
 */
public final class ChangeHistory {
    /** What a follower is answered that has some revision. */
    public sealed interface Result {}

    /** What comes after it, oldest first; empty where it has the newest. */
    public record Changes(List<Change> changes) implements Result {}

    /** Why a follower gets no changes. */
    public enum Failure implements Result {
        /** Changes after its revision are no longer kept: it needs a snapshot. */
        TRUNCATED,
        /** Its revision is newer than the newest here. */
        BEHIND,
        /** Its revision has another digest here: it needs a snapshot. */
        DIVERGED
    }

    private final TreeMap<Long, Change> changes = new TreeMap<>();
    private final int maxChanges;
    private final long maxBytes;
    private long baseRevision;
    private long baseDigest;
    private long estimatedBytes;

    /** Empty, after this revision, with the usual bounds. */
    public ChangeHistory(long baseRevision, long baseDigest) {
        this(
                baseRevision,
                baseDigest,
                ConfigurationLimits.MAX_HISTORY_CHANGES,
                ConfigurationLimits.MAX_HISTORY_BYTES);
    }

    /** Empty, after this revision, with bounds of its own. */
    public ChangeHistory(long baseRevision, long baseDigest, int mostChanges, long mostBytes) {
        this.baseRevision = baseRevision;
        this.baseDigest = baseDigest;
        this.maxChanges = mostChanges;
        this.maxBytes = mostBytes;
    }

    /** Keeps the next change; throws IllegalArgumentException for one that is not the next. */
    public void append(Change change) {
        if (change.revision() != newestRevision() + 1) {
            throw new IllegalArgumentException(
                    "change " + change.revision() + " does not follow " + newestRevision());
        }
        changes.put(change.revision(), change);
        estimatedBytes += ConfigurationLimits.estimatedBytes(change);
        while (changes.size() > maxChanges || estimatedBytes > maxBytes) {
            dropOldest();
        }
    }

    private void dropOldest() {
        Change oldest = changes.pollFirstEntry().getValue();
        estimatedBytes -= ConfigurationLimits.estimatedBytes(oldest);
        baseRevision = oldest.revision();
        baseDigest = oldest.digest();
    }

    /** Forgets all and begins anew after this revision, as when a snapshot was taken over. */
    public void reset(long revision, long digest) {
        changes.clear();
        estimatedBytes = 0;
        baseRevision = revision;
        baseDigest = digest;
    }

    /**
     * What a follower is answered that has this revision with this digest.
     *
     * @param limit most changes; at least one is given where there is one, and no more are added
     *     from {@link ConfigurationLimits#RESPONSE_BYTES_THRESHOLD} on
     */
    public Result changesAfter(long revision, long digest, int limit) {
        if (revision > newestRevision()) {
            return Failure.BEHIND;
        }
        if (revision < baseRevision) {
            return Failure.TRUNCATED;
        }
        if (digestAt(revision) != digest) {
            return Failure.DIVERGED;
        }
        int most = Math.min(limit, ConfigurationLimits.MAX_CHANGES_PER_RESPONSE);
        return new Changes(limitedChangesAfter(revision, Math.max(1, most)));
    }

    private List<Change> limitedChangesAfter(long after, int limit) {
        List<Change> some = new ArrayList<>();
        long taken = 0;
        for (Change change : changes.tailMap(after, false).values()) {
            if (some.size() >= limit || taken >= ConfigurationLimits.RESPONSE_BYTES_THRESHOLD) {
                break;
            }
            some.add(change);
            taken += ConfigurationLimits.estimatedBytes(change);
        }
        return some;
    }

    private long digestAt(long revision) {
        return revision == baseRevision ? baseDigest : changes.get(revision).digest();
    }

    /** The oldest revision after which the changes are kept. */
    public long baseRevision() {
        return baseRevision;
    }

    /** The digest at the oldest revision after which the changes are kept. */
    public long baseDigest() {
        return baseDigest;
    }

    /** The newest revision. */
    public long newestRevision() {
        return changes.isEmpty() ? baseRevision : changes.lastKey();
    }

    /** How many changes are kept. */
    public int size() {
        return changes.size();
    }

    /** Estimated bytes of what is kept. */
    public long estimatedBytes() {
        return estimatedBytes;
    }
}
