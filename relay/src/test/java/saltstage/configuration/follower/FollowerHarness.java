package saltstage.configuration.follower;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import saltstage.configuration.Change;
import saltstage.configuration.ConfigurationView;

/**
 * A follower's state machine with a disk that does what the events say, checked after each event:
 * one request, write or pause is under way, what is confirmed or in force is durable, and what is
 * in force never goes back.
 */
final class FollowerHarness {
    final FollowerState state;
    final FollowerTimings timings = FollowerTimings.defaults();

    /** The request, write or pause that is under way; null once stopped. */
    FollowerEffect pendingEffect;

    /** The timer of the preferred source, or null. */
    FollowerEffect.SchedulePreferredSourceRetry preferredRetry;

    final List<FollowerEffect> lastEffects = new ArrayList<>();
    private ConfigurationView durableView = new ConfigurationView();
    private ConfigurationView appliedView = new ConfigurationView();
    private boolean divergenceReported;

    FollowerHarness(int sources, int mostEntries) {
        state =
                new FollowerState(
                        sources,
                        mostEntries,
                        timings,
                        new SplittableRandom(7),
                        new ConfigurationView());
        recordEffects(state.start());
        assertNotNull(pendingEffect);
    }

    /** Takes an event of what is under way. */
    void handle(FollowerEvent event) {
        FollowerEffect before = pendingEffect;
        if (event instanceof FollowerEvent.WriteCompleted) {
            completeWrite(before);
        }
        if (event instanceof FollowerEvent.Diverged) {
            divergenceReported = true;
        }
        pendingEffect = null;
        recordEffects(state.handle(event));
        assertNotNull(pendingEffect, "nothing is under way after " + event);
    }

    /** Takes an event of something that is over, or the preferred source's timer. */
    void handleUnawaited(FollowerEvent event) {
        if (event instanceof FollowerEvent.PreferredSourceRetryDue) {
            preferredRetry = null;
        }
        recordEffects(state.handle(event));
        assertTrue(lastEffects.isEmpty(), "an event that is not awaited counted: " + event);
    }

    /** Takes the end; nothing is under way after it. */
    void stop() {
        pendingEffect = null;
        recordEffects(state.handle(new FollowerEvent.Stopped()));
        assertTrue(pendingEffect == null, "something is under way after the end");
    }

    /** The number of a request, write or pause; 0 for all else. */
    static long operationId(FollowerEffect effect) {
        if (effect instanceof FollowerEffect.RequestChanges request) {
            return request.request();
        } else if (effect instanceof FollowerEffect.RequestSnapshotPage request) {
            return request.request();
        } else if (effect instanceof FollowerEffect.WriteChanges write) {
            return write.write();
        } else if (effect instanceof FollowerEffect.WriteSnapshot write) {
            return write.write();
        } else if (effect instanceof FollowerEffect.ScheduleRetry retry) {
            return retry.timer();
        }
        return 0;
    }

    long pendingOperationId() {
        return operationId(pendingEffect);
    }

    private void completeWrite(FollowerEffect write) {
        if (write instanceof FollowerEffect.WriteChanges changes) {
            for (Change change : changes.changes()) {
                assertEquals(ConfigurationView.Outcome.APPLIED, durableView.apply(change));
            }
        } else if (write instanceof FollowerEffect.WriteSnapshot snapshot) {
            ConfigurationView view = snapshot.view();
            durableView = new ConfigurationView(view.revision(), view.entries().values());
        }
    }

    private void recordEffects(List<FollowerEffect> effects) {
        lastEffects.clear();
        lastEffects.addAll(effects);
        for (FollowerEffect effect : effects) {
            if (operationId(effect) != 0) {
                assertTrue(pendingEffect == null, "a second thing under way: " + effect);
                pendingEffect = effect;
            }
            check(effect);
        }
        assertTrue(
                state.view().revision() >= appliedView.revision(), "older than what is in force");
    }

    private void check(FollowerEffect effect) {
        if (effect instanceof FollowerEffect.RequestChanges request) {
            assertEquals(durableView.revision(), request.after(), "confirmed, but not durable");
            assertEquals(durableView.digest(), request.digest(), "confirmed, but not durable");
            assertEquals(
                    durableView.revision(), appliedView.revision(), "confirmed, but not in force");
        } else if (effect instanceof FollowerEffect.ChangesApplied changes) {
            for (Change change : changes.changes()) {
                assertEquals(ConfigurationView.Outcome.APPLIED, appliedView.apply(change));
            }
            assertEquals(durableView.digest(), appliedView.digest(), "in force, but not durable");
        } else if (effect instanceof FollowerEffect.SnapshotApplied snapshot) {
            checkSnapshot(snapshot.view());
        } else if (effect instanceof FollowerEffect.SchedulePreferredSourceRetry due) {
            assertTrue(preferredRetry == null, "a second timer of the preferred source");
            preferredRetry = due;
        } else if (effect instanceof FollowerEffect.ScheduleRetry retry) {
            long most = FollowerState.MAX_BUSY_DELAY.plus(timings.maxRetryDelay()).toMillis();
            assertTrue(retry.delay().toMillis() >= 0 && retry.delay().toMillis() <= most);
        }
    }

    private void checkSnapshot(ConfigurationView view) {
        assertTrue(view.revision() >= appliedView.revision(), "a snapshot went back");
        if (view.revision() == appliedView.revision() && view.digest() != appliedView.digest()) {
            assertTrue(divergenceReported, "another digest without being told to");
        }
        assertEquals(durableView.digest(), view.digest(), "in force, but not durable");
        appliedView = new ConfigurationView(view.revision(), view.entries().values());
        divergenceReported = false;
    }

    ConfigurationView appliedView() {
        return appliedView;
    }
}
