package saltstage.configuration.follower;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltstage.configuration.Change;
import saltstage.configuration.ChangesResponse;
import saltstage.configuration.EntryKey;
import saltstage.configuration.SnapshotPage;

/**
 * Guards against an order of events that breaks the follower's invariants. The test explores all
 * orders up to a fixed depth, with healthy, old and faulty sources; the harness checks the
 * invariants after each event.
 */
class FollowerExplorationTest {
    private static final int DEPTH = 7;
    private static final Duration ELAPSED = Duration.ofSeconds(25);
    private static final long WRONG_DIGEST = 0x5eed;

    private final ScriptedHistory history = new ScriptedHistory(6, "a");
    private final ScriptedHistory fork = new ScriptedHistory(6, "b");
    private long pathCount;
    private long newestRevision;

    @Test
    void allEventOrdersPreserveTheInvariants() {
        explore(new ArrayList<>());
        assertTrue(pathCount > 60_000, "paths explored: " + pathCount);
        assertTrue(newestRevision >= 5, "newest revision reached by a path: " + newestRevision);
    }

    private void explore(List<Integer> path) {
        FollowerHarness follower = replay(path);
        pathCount++;
        newestRevision = Math.max(newestRevision, follower.appliedView().revision());
        if (path.size() == DEPTH) {
            follower.stop();
            return;
        }
        int choices = events(follower).size();
        for (int choice = 0; choice < choices; choice++) {
            path.add(choice);
            explore(path);
            path.remove(path.size() - 1);
        }
    }

    private FollowerHarness replay(List<Integer> path) {
        FollowerHarness follower = new FollowerHarness(2, 3);
        for (int choice : path) {
            FollowerEvent event = events(follower).get(choice);
            if (event instanceof FollowerEvent.PreferredSourceRetryDue) {
                follower.handleUnawaited(event);
            } else {
                follower.handle(event);
                follower.handleUnawaited(event); // each event is delivered twice
            }
        }
        return follower;
    }

    private List<FollowerEvent> events(FollowerHarness follower) {
        List<FollowerEvent> events = new ArrayList<>();
        long operationId = follower.pendingOperationId();
        if (follower.pendingEffect instanceof FollowerEffect.RequestChanges request) {
            responses(request.after())
                    .forEach(response -> events.add(changesReceived(operationId, response)));
            addFailures(operationId, events);
        } else if (follower.pendingEffect instanceof FollowerEffect.RequestSnapshotPage request) {
            pages(follower.state.view().revision(), request.from())
                    .forEach(
                            page ->
                                    events.add(
                                            new FollowerEvent.SnapshotPageReceived(
                                                    operationId, page)));
            addFailures(operationId, events);
        } else if (follower.pendingEffect instanceof FollowerEffect.ScheduleRetry) {
            events.add(new FollowerEvent.RetryDue(operationId));
        } else {
            events.add(new FollowerEvent.WriteCompleted(operationId));
            events.add(new FollowerEvent.WriteFailed(operationId, "full"));
        }
        if (follower.preferredRetry != null) {
            events.add(new FollowerEvent.PreferredSourceRetryDue(follower.preferredRetry.timer()));
        }
        return events;
    }

    private static FollowerEvent changesReceived(long operationId, ChangesResponse response) {
        return new FollowerEvent.ChangesReceived(operationId, response, ELAPSED);
    }

    private static void addFailures(long operationId, List<FollowerEvent> events) {
        events.add(new FollowerEvent.Diverged(operationId));
        events.add(new FollowerEvent.Truncated(operationId));
        events.add(new FollowerEvent.Behind(operationId, 1));
        events.add(new FollowerEvent.Busy(operationId, Duration.ofDays(1)));
        events.add(new FollowerEvent.RequestFailed(operationId, "reset"));
    }

    /** Valid responses, a gap, a duplicate, an older response, and one with a wrong digest. */
    private List<ChangesResponse> responses(long after) {
        List<ChangesResponse> responses = new ArrayList<>();
        responses.add(history.emptyResponse(after));
        if (after + 2 <= history.newestRevision()) {
            Change next = history.change(after + 1);
            responses.add(history.changesResponse(after + 1, after + 2));
            responses.add(history.changesResponse(after + 2, after + 2));
            responses.add(
                    new ChangesResponse(
                            after + 1,
                            WRONG_DIGEST,
                            List.of(new Change(next.revision(), WRONG_DIGEST, next.mutations()))));
        }
        if (after > 0) {
            responses.add(history.changesResponse(after, after));
            responses.add(history.emptyResponse(after - 1));
        }
        return responses;
    }

    /** Pages of a valid snapshot, of an older one, of a forked history, and with a wrong digest. */
    private List<SnapshotPage> pages(long revision, EntryKey from) {
        SnapshotPage valid =
                history.page(Math.min(revision + 1, history.newestRevision()), from, 2);
        List<SnapshotPage> pages =
                new ArrayList<>(List.of(valid, fork.page(revision + 1, from, 9)));
        if (revision > 1) {
            pages.add(history.page(revision - 1, from, 9));
        }
        pages.add(new SnapshotPage(revision + 1, WRONG_DIGEST, valid.entries(), null));
        return pages;
    }
}
