package saltstage.configuration.follower;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import saltstage.configuration.ChangeHistory;
import saltstage.configuration.ChangesResponse;

/**
 * Guards against a follower that stays behind after a disturbance. Its three sources are old,
 * truncated, unreachable or faulty at random, and the network drops, duplicates and reorders
 * events; once the sources are healthy again, the follower must reach the newest revision.
 */
class FollowerInterleavingTest {
    private static final int SOURCES = 3;
    private static final int NEWEST = 40;
    private static final int STEPS_TO_CONVERGE = 80;

    private final ScriptedHistory history = new ScriptedHistory(NEWEST, "a");

    @Property(tries = 3_000)
    void convergesOnceTheSourcesAreHealthy(
            @ForAll @Size(min = 1, max = 60) List<@IntRange(min = 0, max = 999) Integer> script) {
        FollowerHarness follower = new FollowerHarness(SOURCES, 100);
        UnreliableNetwork network = new UnreliableNetwork();
        for (int choice : script) {
            network.step(follower, choice);
        }
        for (int i = 0; i < STEPS_TO_CONVERGE; i++) {
            follower.handle(successEvent(follower, NEWEST, NEWEST));
        }
        assertEquals(NEWEST, follower.appliedView().revision());
        assertEquals(history.viewAt(NEWEST).digest(), follower.appliedView().digest());
    }

    /** Injects the faults of one step, which are derived from one number. */
    private final class UnreliableNetwork {
        private final int[] sourceRevisions = {0, 0, 0};
        private final List<FollowerEvent> delivered = new ArrayList<>();

        void step(FollowerHarness follower, int choice) {
            Random random = new Random(choice);
            int source = follower.state.source();
            sourceRevisions[source] = Math.min(NEWEST, sourceRevisions[source] + random.nextInt(6));
            if (random.nextInt(4) == 0 && !delivered.isEmpty()) {
                // The event is delivered late, out of order or twice.
                follower.handleUnawaited(delivered.get(random.nextInt(delivered.size())));
            }
            if (random.nextInt(3) == 0 && follower.preferredRetry != null) {
                follower.handleUnawaited(
                        new FollowerEvent.PreferredSourceRetryDue(follower.preferredRetry.timer()));
            }
            FollowerEvent event = randomEvent(follower, random, sourceRevisions[source]);
            delivered.add(event);
            follower.handle(event);
        }
    }

    private FollowerEvent randomEvent(FollowerHarness follower, Random random, int revision) {
        long operationId = follower.pendingOperationId();
        boolean requesting =
                follower.pendingEffect instanceof FollowerEffect.RequestChanges
                        || follower.pendingEffect instanceof FollowerEffect.RequestSnapshotPage;
        if (requesting && random.nextInt(5) == 0) {
            return new FollowerEvent.RequestFailed(operationId, "dropped");
        }
        if (requesting && random.nextInt(9) == 0) {
            return new FollowerEvent.Busy(operationId, Duration.ofMillis(random.nextInt(5_000)));
        }
        if (requesting && random.nextInt(9) == 0) {
            return new FollowerEvent.Truncated(operationId);
        }
        boolean writing =
                !requesting && !(follower.pendingEffect instanceof FollowerEffect.ScheduleRetry);
        if (writing && random.nextInt(4) == 0) {
            return new FollowerEvent.WriteFailed(operationId, "no room");
        }
        if (follower.pendingEffect instanceof FollowerEffect.RequestChanges
                && random.nextInt(6) == 0) {
            int from = 1 + random.nextInt(NEWEST); // any revision: a gap, duplicates, older changes
            int to = Math.min(NEWEST, from + random.nextInt(5));
            return new FollowerEvent.ChangesReceived(
                    operationId, history.changesResponse(from, to), Duration.ZERO);
        }
        return successEvent(follower, revision, 1 + random.nextInt(4));
    }

    /** The response of a healthy source at this revision, or the success of a write or delay. */
    private FollowerEvent successEvent(FollowerHarness follower, int revision, int limit) {
        long operationId = follower.pendingOperationId();
        if (follower.pendingEffect instanceof FollowerEffect.RequestSnapshotPage request) {
            long snapshotRevision = request.revision() == 0 ? revision : request.revision();
            return new FollowerEvent.SnapshotPageReceived(
                    operationId, history.page(snapshotRevision, request.from(), 3));
        }
        if (follower.pendingEffect instanceof FollowerEffect.ScheduleRetry) {
            return new FollowerEvent.RetryDue(operationId);
        }
        if (follower.pendingEffect instanceof FollowerEffect.RequestChanges request) {
            return responseTo(request, revision, limit);
        }
        return new FollowerEvent.WriteCompleted(operationId);
    }

    private FollowerEvent responseTo(
            FollowerEffect.RequestChanges request, int revision, int limit) {
        ChangeHistory sourceHistory = new ChangeHistory(0, 0);
        for (int i = 1; i <= revision; i++) {
            sourceHistory.append(history.change(i));
        }
        ChangeHistory.Result result =
                sourceHistory.changesAfter(request.after(), request.digest(), limit);
        if (result instanceof ChangeHistory.Changes changes) {
            return new FollowerEvent.ChangesReceived(
                    request.request(),
                    new ChangesResponse(
                            revision, history.viewAt(revision).digest(), changes.changes()),
                    Duration.ofSeconds(25));
        }
        return switch ((ChangeHistory.Failure) result) {
            case DIVERGED -> new FollowerEvent.Diverged(request.request());
            case TRUNCATED -> new FollowerEvent.Truncated(request.request());
            case BEHIND -> new FollowerEvent.Behind(request.request(), revision);
        };
    }
}
