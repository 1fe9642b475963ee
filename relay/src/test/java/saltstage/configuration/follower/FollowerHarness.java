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
    final FollowerTimings timings = FollowerTimings.usual();

    /** The request, write or pause that is under way; null once stopped. */
    FollowerEffect pending;

    /** The timer of the preferred source, or null. */
    FollowerEffect.SchedulePreferredSource preferred;

    final List<FollowerEffect> last = new ArrayList<>();
    private ConfigurationView durable = new ConfigurationView();
    private ConfigurationView inForce = new ConfigurationView();
    private boolean toldToDiverge;

    FollowerHarness(int sources, int mostEntries) {
        state =
                new FollowerState(
                        sources,
                        mostEntries,
                        timings,
                        new SplittableRandom(7),
                        new ConfigurationView());
        take(state.start());
        assertNotNull(pending);
    }

    /** Takes an event of what is under way. */
    void on(FollowerEvent event) {
        FollowerEffect before = pending;
        if (event instanceof FollowerEvent.WriteCompleted) {
            completeWrite(before);
        }
        if (event instanceof FollowerEvent.Diverged) {
            toldToDiverge = true;
        }
        pending = null;
        take(state.on(event));
        assertNotNull(pending, "nothing is under way after " + event);
    }

    /** Takes an event of something that is over, or the preferred source's timer. */
    void onUnawaited(FollowerEvent event) {
        if (event instanceof FollowerEvent.PreferredSourceDue) {
            preferred = null;
        }
        take(state.on(event));
        assertTrue(last.isEmpty(), "an event that is not awaited counted: " + event);
    }

    /** Takes the end; nothing is under way after it. */
    void stop() {
        pending = null;
        take(state.on(new FollowerEvent.Stopped()));
        assertTrue(pending == null, "something is under way after the end");
    }

    /** The number of a request, write or pause; 0 for all else. */
    static long number(FollowerEffect effect) {
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

    long pendingNumber() {
        return number(pending);
    }

    private void completeWrite(FollowerEffect write) {
        if (write instanceof FollowerEffect.WriteChanges changes) {
            for (Change change : changes.changes()) {
                assertEquals(ConfigurationView.Outcome.APPLIED, durable.apply(change));
            }
        } else if (write instanceof FollowerEffect.WriteSnapshot snapshot) {
            ConfigurationView view = snapshot.view();
            durable = new ConfigurationView(view.revision(), view.entries().values());
        }
    }

    private void take(List<FollowerEffect> effects) {
        last.clear();
        last.addAll(effects);
        for (FollowerEffect effect : effects) {
            if (number(effect) != 0) {
                assertTrue(pending == null, "a second thing under way: " + effect);
                pending = effect;
            }
            check(effect);
        }
        assertTrue(state.view().revision() >= inForce.revision(), "older than what is in force");
    }

    private void check(FollowerEffect effect) {
        if (effect instanceof FollowerEffect.RequestChanges request) {
            assertEquals(durable.revision(), request.after(), "confirmed, but not durable");
            assertEquals(durable.digest(), request.digest(), "confirmed, but not durable");
            assertEquals(durable.revision(), inForce.revision(), "confirmed, but not in force");
        } else if (effect instanceof FollowerEffect.ChangesInForce changes) {
            for (Change change : changes.changes()) {
                assertEquals(ConfigurationView.Outcome.APPLIED, inForce.apply(change));
            }
            assertEquals(durable.digest(), inForce.digest(), "in force, but not durable");
        } else if (effect instanceof FollowerEffect.SnapshotInForce snapshot) {
            checkSnapshot(snapshot.view());
        } else if (effect instanceof FollowerEffect.SchedulePreferredSource due) {
            assertTrue(preferred == null, "a second timer of the preferred source");
            preferred = due;
        } else if (effect instanceof FollowerEffect.ScheduleRetry retry) {
            long most = FollowerState.MOST_BUSY.plus(timings.retryMost()).toMillis();
            assertTrue(retry.delay().toMillis() >= 0 && retry.delay().toMillis() <= most);
        }
    }

    private void checkSnapshot(ConfigurationView view) {
        assertTrue(view.revision() >= inForce.revision(), "a snapshot went back");
        if (view.revision() == inForce.revision() && view.digest() != inForce.digest()) {
            assertTrue(toldToDiverge, "another digest without being told to");
        }
        assertEquals(durable.digest(), view.digest(), "in force, but not durable");
        inForce = new ConfigurationView(view.revision(), view.entries().values());
        toldToDiverge = false;
    }

    ConfigurationView inForce() {
        return inForce;
    }
}
