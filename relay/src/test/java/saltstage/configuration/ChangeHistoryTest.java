package saltstage.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against a history that leaves out a change: a follower must get all later changes, or the
 * reason why it gets none (truncated, diverged, behind).
 */
class ChangeHistoryTest {
    private static final int MAX_CHANGES = 4;

    private final ConfigurationView view = new ConfigurationView();
    private final Map<Long, Long> digests = new HashMap<>(Map.of(0L, EntryDigest.EMPTY));

    private void appendChanges(ChangeHistory history, int changes) {
        for (int i = 0; i < changes; i++) {
            EntryKey key = new EntryKey(EntryKind.SHARD, "t/" + view.revision() % 3);
            EntryValue value = new EntryValue.Shard("gw-" + view.revision());
            history.append(view.accept(List.of(new Mutation(key, value))));
            digests.put(view.revision(), view.digest());
        }
    }

    @Test
    void followerGetsAllLaterChangesOrTruncated() {
        ChangeHistory history = new ChangeHistory(0, EntryDigest.EMPTY, MAX_CHANGES, 1 << 20);
        appendChanges(history, 10);
        for (long revision = 0; revision <= 10; revision++) {
            ChangeHistory.Result result =
                    history.changesAfter(revision, digests.get(revision), 100);
            if (revision < 10 - MAX_CHANGES) {
                assertEquals(ChangeHistory.Failure.TRUNCATED, result, "after " + revision);
                continue;
            }
            List<Change> changes = assertInstanceOf(ChangeHistory.Changes.class, result).changes();
            assertEquals(10 - revision, changes.size(), "after " + revision);
            for (int i = 0; i < changes.size(); i++) {
                assertEquals(revision + 1 + i, changes.get(i).revision(), "gap in the changes");
            }
        }
    }

    @Test
    void differentDigestIsDivergedAndNewerRevisionIsBehind() {
        ChangeHistory history = new ChangeHistory(0, EntryDigest.EMPTY, MAX_CHANGES, 1 << 20);
        appendChanges(history, 10);
        for (long revision = 10 - MAX_CHANGES; revision <= 10; revision++) {
            ChangeHistory.Result result =
                    history.changesAfter(revision, digests.get(revision) + 1, 100);
            assertEquals(ChangeHistory.Failure.DIVERGED, result, "at " + revision);
        }
        assertEquals(ChangeHistory.Failure.BEHIND, history.changesAfter(11, view.digest(), 100));
    }

    @Test
    void historyIsBoundedByCountAndByBytes() {
        ChangeHistory boundedByCount =
                new ChangeHistory(0, EntryDigest.EMPTY, MAX_CHANGES, 1 << 20);
        appendChanges(boundedByCount, 50);
        assertEquals(MAX_CHANGES, boundedByCount.size());
        assertEquals(50 - MAX_CHANGES, boundedByCount.baseRevision());
        ChangeHistory boundedByBytes = new ChangeHistory(50, view.digest(), 1_000, 500);
        appendChanges(boundedByBytes, 100);
        assertTrue(
                boundedByBytes.estimatedBytes() <= 500 && boundedByBytes.size() > 1,
                boundedByBytes.size() + " changes stored");
        ChangeHistory tooSmall = new ChangeHistory(150, view.digest(), 1_000, 1);
        appendChanges(tooSmall, 1);
        assertEquals(0, tooSmall.size());
        assertEquals(151, tooSmall.newestRevision());
        assertInstanceOf(ChangeHistory.Changes.class, tooSmall.changesAfter(151, view.digest(), 1));
    }

    @Test
    void resultIsLimitedButNeverEmptyWhenMoreChangesExist() {
        ChangeHistory history = new ChangeHistory(0, EntryDigest.EMPTY);
        appendChanges(history, 5);
        for (int limit : new int[] {-1, 0, 1}) {
            ChangeHistory.Result result = history.changesAfter(2, digests.get(2L), limit);
            List<Change> changes = ((ChangeHistory.Changes) result).changes();
            assertEquals(1, changes.size());
            assertEquals(3, changes.get(0).revision());
        }
    }

    @Test
    void nonConsecutiveChangeIsRejected() {
        ChangeHistory history = new ChangeHistory(5, 77);
        Change late = new Change(7, 1, List.of());
        assertThrows(IllegalArgumentException.class, () -> history.append(late));
        assertEquals(5, history.newestRevision());
        history.reset(9, 4);
        assertEquals(new ChangeHistory.Changes(List.of()), history.changesAfter(9, 4, 10));
        assertEquals(ChangeHistory.Failure.TRUNCATED, history.changesAfter(5, 77, 10));
    }
}
