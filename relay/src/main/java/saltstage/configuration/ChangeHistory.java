package saltstage.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The newest changes without gaps, bounded in number and in estimated bytes. The history starts
 * after a base revision and also stores the digest of that revision, so that it can serve each
 * follower that is at the base revision or later. Not thread safe.
 */
public final class ChangeHistory {
    /** The result of a follower's query for the changes after its revision. */
    public sealed interface Result {}

    /** The changes after the follower's revision, oldest first; empty if that is the newest one. */
    public record Changes(List<Change> changes) implements Result {}

    /** The reason why a follower gets no changes. */
    public enum Failure implements Result {
        /** Changes after the follower's revision are no longer stored: it needs a snapshot. */
        TRUNCATED,
        /** The follower's revision is newer than the newest revision of this history. */
        BEHIND,
        /** The follower's revision has a different digest in this history: it needs a snapshot. */
        DIVERGED
    }

    private final TreeMap<Long, Change> changes = new TreeMap<>();
    private final int maxChanges;
    private final long maxBytes;
    private long baseRevision;
    private long baseDigest;
    private long estimatedBytes;

    /** Creates an empty history that starts after the base revision, with the default bounds. */
    public ChangeHistory(long baseRevision, long baseDigest) {
        this(
                baseRevision,
                baseDigest,
                ConfigurationLimits.MAX_HISTORY_CHANGES,
                ConfigurationLimits.MAX_HISTORY_BYTES);
    }

    /** Creates an empty history that starts after the base revision, with the given bounds. */
    public ChangeHistory(long baseRevision, long baseDigest, int maxChanges, long maxBytes) {
        this.baseRevision = baseRevision;
        this.baseDigest = baseDigest;
        this.maxChanges = maxChanges;
        this.maxBytes = maxBytes;
    }

    /** Appends the next change; throws IllegalArgumentException if its revision is not the next. */
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

    /** Drops all changes and restarts after this revision, for example after a snapshot. */
    public void reset(long revision, long digest) {
        changes.clear();
        estimatedBytes = 0;
        baseRevision = revision;
        baseDigest = digest;
    }

    /**
     * Returns the changes for a follower that has this revision with this digest.
     *
     * @param limit the maximum number of changes; at least one is returned if there is one, and no
     *     further changes are added once {@link ConfigurationLimits#RESPONSE_BYTES_THRESHOLD} is
     *     reached
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
        int cappedLimit = Math.min(limit, ConfigurationLimits.MAX_CHANGES_PER_RESPONSE);
        return new Changes(limitedChangesAfter(revision, Math.max(1, cappedLimit)));
    }

    private List<Change> limitedChangesAfter(long revision, int limit) {
        List<Change> selected = new ArrayList<>();
        long selectedBytes = 0;
        for (Change change : changes.tailMap(revision, false).values()) {
            if (selected.size() >= limit
                    || selectedBytes >= ConfigurationLimits.RESPONSE_BYTES_THRESHOLD) {
                break;
            }
            selected.add(change);
            selectedBytes += ConfigurationLimits.estimatedBytes(change);
        }
        return selected;
    }

    private long digestAt(long revision) {
        return revision == baseRevision ? baseDigest : changes.get(revision).digest();
    }

    /** The oldest revision after which all changes are stored. */
    public long baseRevision() {
        return baseRevision;
    }

    /** The digest at {@link #baseRevision()}. */
    public long baseDigest() {
        return baseDigest;
    }

    /** The newest revision. */
    public long newestRevision() {
        return changes.isEmpty() ? baseRevision : changes.lastKey();
    }

    /** The number of stored changes. */
    public int size() {
        return changes.size();
    }

    /** The estimated size of the stored changes, in bytes. */
    public long estimatedBytes() {
        return estimatedBytes;
    }
}
