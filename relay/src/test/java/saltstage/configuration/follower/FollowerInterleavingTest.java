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
 * A follower of three sources that are old, truncated, unreachable or faulty at random, over a line
 * that drops, doubles and reorders; once they are sound again, it comes to the newest revision.
 */
class FollowerInterleavingTest {
    private static final int SOURCES = 3;
    private static final int NEWEST = 40;
    private static final int STEPS_TO_CONVERGE = 80;

    private final ScriptedHistory history = new ScriptedHistory(NEWEST, "a");

    @Property(tries = 3_000)
    void convergesOnceTheSourcesAreSound(
            @ForAll @Size(min = 1, max = 60) List<@IntRange(min = 0, max = 999) Integer> script) {
        FollowerHarness follower = new FollowerHarness(SOURCES, 100);
        Line line = new Line();
        for (int choice : script) {
            line.step(follower, choice);
        }
        for (int i = 0; i < STEPS_TO_CONVERGE; i++) {
            follower.on(sound(follower, NEWEST, NEWEST));
        }
        assertEquals(NEWEST, follower.inForce().revision());
        assertEquals(history.at(NEWEST).digest(), follower.inForce().digest());
    }

    /** What goes wrong, by one number a step. */
    private final class Line {
        private final int[] revisions = {0, 0, 0};
        private final List<FollowerEvent> delivered = new ArrayList<>();

        void step(FollowerHarness follower, int choice) {
            Random random = new Random(choice);
            int source = follower.state.source();
            revisions[source] = Math.min(NEWEST, revisions[source] + random.nextInt(6));
            if (random.nextInt(4) == 0 && !delivered.isEmpty()) { // late, out of order, doubled
                follower.onUnawaited(delivered.get(random.nextInt(delivered.size())));
            }
            if (random.nextInt(3) == 0 && follower.preferred != null) {
                follower.onUnawaited(
                        new FollowerEvent.PreferredSourceDue(follower.preferred.timer()));
            }
            FollowerEvent event = event(follower, random, revisions[source]);
            delivered.add(event);
            follower.on(event);
        }
    }

    private FollowerEvent event(FollowerHarness follower, Random random, int revision) {
        long number = follower.pendingNumber();
        boolean asks =
                follower.pending instanceof FollowerEffect.RequestChanges
                        || follower.pending instanceof FollowerEffect.RequestSnapshotPage;
        if (asks && random.nextInt(5) == 0) {
            return new FollowerEvent.RequestFailed(number, "dropped");
        }
        if (asks && random.nextInt(9) == 0) {
            return new FollowerEvent.Busy(number, Duration.ofMillis(random.nextInt(5_000)));
        }
        if (asks && random.nextInt(9) == 0) {
            return new FollowerEvent.Truncated(number);
        }
        boolean writes = !asks && !(follower.pending instanceof FollowerEffect.ScheduleRetry);
        if (writes && random.nextInt(4) == 0) {
            return new FollowerEvent.WriteFailed(number, "no room");
        }
        if (follower.pending instanceof FollowerEffect.RequestChanges && random.nextInt(6) == 0) {
            int from = 1 + random.nextInt(NEWEST); // from anywhere: a gap, doubles, older ones
            int to = Math.min(NEWEST, from + random.nextInt(5));
            return new FollowerEvent.ChangesReceived(
                    number, history.changes(from, to), Duration.ZERO);
        }
        return sound(follower, revision, 1 + random.nextInt(4));
    }

    /** What a sound source of this revision answers, or how a write or a pause ends well. */
    private FollowerEvent sound(FollowerHarness follower, int revision, int limit) {
        long number = follower.pendingNumber();
        if (follower.pending instanceof FollowerEffect.RequestSnapshotPage request) {
            long asked = request.revision() == 0 ? revision : request.revision();
            return new FollowerEvent.SnapshotPageReceived(
                    number, history.page(asked, request.from(), 3));
        }
        if (follower.pending instanceof FollowerEffect.ScheduleRetry) {
            return new FollowerEvent.RetryDue(number);
        }
        if (follower.pending instanceof FollowerEffect.RequestChanges request) {
            return answer(request, revision, limit);
        }
        return new FollowerEvent.WriteCompleted(number);
    }

    private FollowerEvent answer(FollowerEffect.RequestChanges request, int revision, int limit) {
        ChangeHistory kept = new ChangeHistory(0, 0);
        for (int i = 1; i <= revision; i++) {
            kept.append(history.change(i));
        }
        ChangeHistory.Answer answer = kept.after(request.after(), request.digest(), limit);
        if (answer instanceof ChangeHistory.Changes changes) {
            return new FollowerEvent.ChangesReceived(
                    request.request(),
                    new ChangesResponse(revision, history.at(revision).digest(), changes.changes()),
                    Duration.ofSeconds(25));
        }
        return switch ((ChangeHistory.Refusal) answer) {
            case DIVERGED -> new FollowerEvent.Diverged(request.request());
            case TRUNCATED -> new FollowerEvent.Truncated(request.request());
            case BEHIND -> new FollowerEvent.Behind(request.request(), revision);
        };
    }
}
