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
 * Runs a follower's state machine against a simulated disk that follows the events. After each
 * event it checks that exactly one request, write or delay is pending, that confirmed and applied
 * revisions are durable, and that the applied revision never decreases.
 */
final class FollowerHarness {
    final FollowerState state;
    final FollowerTimings timings = FollowerTimings.defaults();

    /** The pending request, write or delay; null after the stop. */
    FollowerEffect pendingEffect;

    /** The pending retry of the preferred source, or null. */
    FollowerEffect.SchedulePreferredSourceRetry preferredRetry;

    final List<FollowerEffect> lastEffects = new ArrayList<>();
    private ConfigurationView durableView = new ConfigurationView();
    private ConfigurationView appliedView = new ConfigurationView();
    private boolean divergenceReported;

    FollowerHarness(int sourceCount, int maxEntries) {
        state =
                new FollowerState(
                        sourceCount,
                        maxEntries,
                        timings,
                        new SplittableRandom(7),
                        new ConfigurationView());
        recordEffects(state.start());
        assertNotNull(pendingEffect);
    }

    /** Handles an event of the pending operation. */
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
        assertNotNull(pendingEffect, "no operation is pending after " + event);
    }

    /** Handles an event of an operation that has ended, or of the preferred source's timer. */
    void handleUnawaited(FollowerEvent event) {
        if (event instanceof FollowerEvent.PreferredSourceRetryDue) {
            preferredRetry = null;
        }
        recordEffects(state.handle(event));
        assertTrue(lastEffects.isEmpty(), "an event that is not awaited had effects: " + event);
    }

    /** Stops the follower and checks that no operation is pending. */
    void stop() {
        pendingEffect = null;
        recordEffects(state.handle(new FollowerEvent.Stopped()));
        assertTrue(pendingEffect == null, "an operation is pending after the stop");
    }

    /** The number of a request, write or retry; 0 for other effects. */
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
                assertTrue(pendingEffect == null, "a second operation is pending: " + effect);
                pendingEffect = effect;
            }
            check(effect);
        }
        assertTrue(
                state.view().revision() >= appliedView.revision(),
                "older than the applied revision");
    }

    private void check(FollowerEffect effect) {
        if (effect instanceof FollowerEffect.RequestChanges request) {
            assertEquals(
                    durableView.revision(), request.after(), "confirmed revision is not durable");
            assertEquals(durableView.digest(), request.digest(), "confirmed digest is not durable");
            assertEquals(
                    durableView.revision(),
                    appliedView.revision(),
                    "confirmed revision is not applied");
        } else if (effect instanceof FollowerEffect.ChangesApplied changes) {
            for (Change change : changes.changes()) {
                assertEquals(ConfigurationView.Outcome.APPLIED, appliedView.apply(change));
            }
            assertEquals(durableView.digest(), appliedView.digest(), "applied, but not durable");
        } else if (effect instanceof FollowerEffect.SnapshotApplied snapshot) {
            checkSnapshot(snapshot.view());
        } else if (effect instanceof FollowerEffect.SchedulePreferredSourceRetry preferred) {
            assertTrue(preferredRetry == null, "a second timer of the preferred source");
            preferredRetry = preferred;
        } else if (effect instanceof FollowerEffect.ScheduleRetry retry) {
            long maxDelayMs = FollowerState.MAX_BUSY_DELAY.plus(timings.maxRetryDelay()).toMillis();
            assertTrue(retry.delay().toMillis() >= 0 && retry.delay().toMillis() <= maxDelayMs);
        }
    }

    private void checkSnapshot(ConfigurationView view) {
        assertTrue(
                view.revision() >= appliedView.revision(),
                "a snapshot is older than the applied view");
        if (view.revision() == appliedView.revision() && view.digest() != appliedView.digest()) {
            assertTrue(divergenceReported, "the digest changed without a reported divergence");
        }
        assertEquals(durableView.digest(), view.digest(), "applied, but not durable");
        appliedView = new ConfigurationView(view.revision(), view.entries().values());
        divergenceReported = false;
    }

    ConfigurationView appliedView() {
        return appliedView;
    }
}
