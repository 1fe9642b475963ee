package saltstage.configuration.follower;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import saltstage.configuration.Change;
import saltstage.configuration.ChangesResponse;
import saltstage.configuration.ConfigurationView;
import saltstage.configuration.SnapshotPage;

/**
 * A follower's state machine: takes one event at a time and returns what is to be done. It knows no
 * I/O, threads or clocks. Until it is stopped, exactly one of these is under way: a request, a
 * write, or a pause before the next request or write.
 *
 * <p>The view holds what was accepted. It is ahead of the disk by the write that is under way; the
 * next request, which confirms a revision to the source, leaves only after that write. The view
 * never goes back to an older revision, and to another digest only by a snapshot after a source has
 * told that it diverged. Not thread safe.
 */
public final class FollowerState {
    /** Answers of "busy", and snapshots that were cut short, before the source is left. */
    static final int MOST_RETRIES_AT_SOURCE = 3;

    /** The longest time that a source can ask a follower to stay away. */
    static final Duration MOST_BUSY = Duration.ofMinutes(1);

    /** The mean pause after a source that did not wait as long as it was asked to is half of it. */
    static final Duration EARLY_ANSWER_PAUSE = Duration.ofSeconds(2);

    private static final int PREFERRED = 0;
    private static final long NONE = 0;

    private enum Phase {
        NEW,
        REQUESTING,
        PAUSED,
        WRITING,
        WRITE_PAUSED,
        STOPPED
    }

    private final int sources;
    private final int mostEntries;
    private final FollowerTimings timings;
    private final RandomGenerator random;
    private ConfigurationView view;
    private Phase phase = Phase.NEW;
    private int source = PREFERRED;
    private boolean settled;
    private boolean tookSnapshot;
    private boolean preferredDue;
    private int failures;
    private int writeFailures;
    private int retriesAtSource;
    private int preferredFailures;
    private long lastNumber;
    private long awaited = NONE;
    private long preferredTimer = NONE;
    private Duration requestWait = Duration.ZERO;
    private SnapshotAssembly snapshot;
    private List<Change> writtenChanges;
    private List<FollowerEffect> effects = new ArrayList<>();

    /**
     * A follower of so many sources, the preferred one first.
     *
     * @param held what is durable and in force at the start; owned by this from now on
     * @param mostEntries the most entries that a snapshot may have
     */
    public FollowerState(
            int sources,
            int mostEntries,
            FollowerTimings timings,
            RandomGenerator random,
            ConfigurationView held) {
        if (sources < 1) {
            throw new IllegalArgumentException("a follower needs a source");
        }
        this.sources = sources;
        this.mostEntries = mostEntries;
        this.timings = timings;
        this.random = random;
        this.view = held;
    }

    /** Begins; to be called once, before any event. */
    public List<FollowerEffect> start() {
        request();
        return takeEffects();
    }

    /** Takes an event; returns what is to be done, in order. */
    public List<FollowerEffect> on(FollowerEvent event) {
        if (phase != Phase.STOPPED && isAwaited(event)) {
            handle(event);
        }
        return takeEffects();
    }

    /** What was accepted; belongs to this, and changes with events. */
    public ConfigurationView view() {
        return view;
    }

    /** The index of the source that is asked. */
    public int source() {
        return source;
    }

    private boolean isAwaited(FollowerEvent event) {
        if (event instanceof FollowerEvent.PreferredSourceDue due) {
            return due.timer() == preferredTimer;
        }
        return event instanceof FollowerEvent.Stopped || numberOf(event) == awaited;
    }

    private static long numberOf(FollowerEvent event) {
        if (event instanceof FollowerEvent.ChangesReceived received) {
            return received.request();
        } else if (event instanceof FollowerEvent.SnapshotPageReceived received) {
            return received.request();
        } else if (event instanceof FollowerEvent.Diverged diverged) {
            return diverged.request();
        } else if (event instanceof FollowerEvent.Truncated truncated) {
            return truncated.request();
        } else if (event instanceof FollowerEvent.Behind behind) {
            return behind.request();
        } else if (event instanceof FollowerEvent.Busy busy) {
            return busy.request();
        } else if (event instanceof FollowerEvent.RequestFailed failed) {
            return failed.request();
        } else if (event instanceof FollowerEvent.WriteCompleted completed) {
            return completed.write();
        } else if (event instanceof FollowerEvent.WriteFailed failed) {
            return failed.write();
        } else if (event instanceof FollowerEvent.RetryDue due) {
            return due.timer();
        }
        return NONE;
    }

    private void handle(FollowerEvent event) {
        if (event instanceof FollowerEvent.ChangesReceived received) {
            changesReceived(received);
        } else if (event instanceof FollowerEvent.SnapshotPageReceived received) {
            snapshotPageReceived(received.page());
        } else if (event instanceof FollowerEvent.Diverged) {
            diverged();
        } else if (event instanceof FollowerEvent.Truncated) {
            truncated();
        } else if (event instanceof FollowerEvent.Behind behind) {
            leaveSource("behind, at revision " + behind.sourceRevision());
        } else if (event instanceof FollowerEvent.Busy busy) {
            busy(busy.retryAfter());
        } else if (event instanceof FollowerEvent.RequestFailed failed) {
            leaveSource(failed.reason());
        } else if (event instanceof FollowerEvent.WriteCompleted) {
            writeCompleted();
        } else if (event instanceof FollowerEvent.WriteFailed failed) {
            writeFailed(failed.reason());
        } else if (event instanceof FollowerEvent.RetryDue) {
            retryDue();
        } else if (event instanceof FollowerEvent.PreferredSourceDue) {
            preferredTimer = NONE;
            preferredDue = source != PREFERRED;
        } else {
            stop();
        }
    }

    // ---- answers

    private void changesReceived(FollowerEvent.ChangesReceived received) {
        ChangesResponse response = received.response();
        if (snapshot != null) {
            leaveSource("changes in place of a snapshot");
        } else if (response.revision() < view.revision()) {
            leaveSource("behind, at revision " + response.revision());
        } else if (response.changes().isEmpty()) {
            nothingNew(response, received.elapsed());
        } else {
            acceptChanges(response.changes());
        }
    }

    private void nothingNew(ChangesResponse response, Duration elapsed) {
        if (response.revision() != view.revision() || response.digest() != view.digest()) {
            leaveSource("no changes, but another revision or digest than was asked for");
            return;
        }
        boolean early = elapsed.compareTo(requestWait.dividedBy(2)) < 0;
        settle();
        effects.add(new FollowerEffect.Confirmed(view.revision()));
        if (early) {
            pause(RetryPause.fullJitter(EARLY_ANSWER_PAUSE, EARLY_ANSWER_PAUSE, 1, random));
        } else {
            request();
        }
    }

    /** Takes the changes up to the first that is not sound. */
    private void acceptChanges(List<Change> changes) {
        List<Change> accepted = new ArrayList<>();
        String unsound = null;
        for (Change change : changes) {
            ConfigurationView.Outcome outcome = view.apply(change);
            if (outcome == ConfigurationView.Outcome.APPLIED) {
                accepted.add(change);
            } else if (outcome != ConfigurationView.Outcome.ALREADY_APPLIED) {
                unsound = outcome + " at revision " + change.revision();
                break;
            }
        }
        if (accepted.isEmpty()) {
            leaveSource(unsound == null ? "no changes but those that were had" : unsound);
            return;
        }
        settle();
        writtenChanges = List.copyOf(accepted);
        write();
    }

    private void snapshotPageReceived(SnapshotPage page) {
        if (snapshot == null) {
            leaveSource("a snapshot in place of changes");
            return;
        }
        try {
            ConfigurationView whole = snapshot.add(page);
            if (whole == null) {
                request();
                return;
            }
            view = whole;
            writtenChanges = null;
            write();
        } catch (SnapshotAssembly.UnsoundSnapshotException unsound) {
            leaveSource(unsound.getMessage());
        }
    }

    private void diverged() {
        if (snapshot != null || tookSnapshot) {
            leaveSource("diverged from its own snapshot");
        } else {
            beginSnapshot();
        }
    }

    private void truncated() {
        if (snapshot != null) {
            beginSnapshotAgain();
        } else if (tookSnapshot) {
            leaveSource("truncated after its own snapshot");
        } else {
            beginSnapshot();
        }
    }

    private void beginSnapshot() {
        snapshot = new SnapshotAssembly(view.revision(), mostEntries);
        request();
    }

    private void beginSnapshotAgain() {
        retriesAtSource++;
        if (retriesAtSource > MOST_RETRIES_AT_SOURCE) {
            leaveSource("snapshots gone before they were read");
            return;
        }
        snapshot = new SnapshotAssembly(view.revision(), mostEntries);
        pause(backOff());
    }

    private void busy(Duration retryAfter) {
        retriesAtSource++;
        if (retriesAtSource > MOST_RETRIES_AT_SOURCE) {
            leaveSource("busy");
            return;
        }
        Duration asked = retryAfter.compareTo(MOST_BUSY) < 0 ? retryAfter : MOST_BUSY;
        pause(asked.plus(backOff()));
    }

    // ---- sources

    private void settle() {
        failures = 0;
        retriesAtSource = 0;
        tookSnapshot = false;
        if (source == PREFERRED) {
            preferredFailures = 0;
            preferredDue = false;
        }
        if (!settled) {
            settled = true;
            effects.add(new FollowerEffect.SourceSettled(source));
        }
    }

    private void leaveSource(String reason) {
        int left = source;
        failures++;
        retriesAtSource = 0;
        snapshot = null;
        settled = false;
        tookSnapshot = false;
        source = (left + 1) % sources;
        effects.add(new FollowerEffect.SourceLeft(left, source, reason));
        if (left == PREFERRED) {
            preferredFailures++;
        }
        schedulePreferredSource();
        pause(RetryPause.fullJitter(timings.retryBase(), timings.retryMost(), failures, random));
    }

    private void schedulePreferredSource() {
        if (source == PREFERRED || preferredTimer != NONE || preferredDue) {
            return;
        }
        preferredTimer = nextNumber();
        Duration pause =
                RetryPause.halfJitter(
                        timings.preferredPause(),
                        timings.preferredMost(),
                        preferredFailures,
                        random);
        effects.add(new FollowerEffect.SchedulePreferredSource(preferredTimer, pause));
    }

    private void returnToPreferredSource() {
        preferredDue = false;
        if (source != PREFERRED) {
            source = PREFERRED;
            settled = false;
            retriesAtSource = 0;
        }
    }

    // ---- requests, writes and pauses

    private void request() {
        phase = Phase.REQUESTING;
        awaited = nextNumber();
        if (snapshot != null) {
            effects.add(
                    new FollowerEffect.RequestSnapshotPage(
                            awaited, source, snapshot.revision(), snapshot.next()));
            return;
        }
        if (preferredDue) {
            returnToPreferredSource();
        }
        // A source that has not answered yet is to answer at once: one that is dead costs little.
        requestWait = settled ? timings.poll() : Duration.ZERO;
        effects.add(
                new FollowerEffect.RequestChanges(
                        awaited, source, view.revision(), view.digest(), requestWait));
    }

    private void write() {
        phase = Phase.WRITING;
        awaited = nextNumber();
        effects.add(
                snapshot != null
                        ? new FollowerEffect.WriteSnapshot(awaited, view)
                        : new FollowerEffect.WriteChanges(awaited, writtenChanges));
    }

    private void writeCompleted() {
        effects.add(
                snapshot != null
                        ? new FollowerEffect.SnapshotInForce(view)
                        : new FollowerEffect.ChangesInForce(writtenChanges));
        writeFailures = 0;
        tookSnapshot = snapshot != null;
        snapshot = null;
        writtenChanges = null;
        request();
    }

    private void writeFailed(String reason) {
        writeFailures++;
        effects.add(new FollowerEffect.WritePostponed(reason));
        pause(
                RetryPause.halfJitter(
                        timings.retryBase(), timings.retryMost(), writeFailures, random));
        phase = Phase.WRITE_PAUSED;
    }

    private void retryDue() {
        if (phase == Phase.WRITE_PAUSED) {
            write();
        } else {
            request();
        }
    }

    private Duration backOff() {
        return RetryPause.fullJitter(
                timings.retryBase(), timings.retryMost(), retriesAtSource, random);
    }

    private void pause(Duration delay) {
        phase = Phase.PAUSED;
        awaited = nextNumber();
        effects.add(new FollowerEffect.ScheduleRetry(awaited, delay));
    }

    private void stop() {
        if (phase == Phase.REQUESTING) {
            effects.add(new FollowerEffect.CancelRequest(awaited));
        }
        phase = Phase.STOPPED;
        awaited = NONE;
        snapshot = null;
    }

    private long nextNumber() {
        return ++lastNumber;
    }

    private List<FollowerEffect> takeEffects() {
        List<FollowerEffect> taken = effects;
        effects = new ArrayList<>();
        return taken;
    }
}
