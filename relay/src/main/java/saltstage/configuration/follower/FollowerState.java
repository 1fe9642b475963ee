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
 * A follower's state machine: it handles one event at a time and returns the effects to perform. It
 * does no I/O and uses no threads or clocks. Until it is stopped, exactly one of these operations
 * is pending: a request, a write, or a delay before the next request or write.
 *
 * <p>The view holds all accepted changes and is ahead of the disk by the pending write. The next
 * request, which confirms a revision to the source, is sent only after that write. The view never
 * returns to an older revision. Its digest at a revision changes only by a snapshot, after a source
 * has reported divergence. Not thread safe.
 */
public final class FollowerState {
    /** How many "busy" responses and truncated snapshots are tolerated before a failover. */
    static final int MAX_RETRIES_PER_SOURCE = 3;

    /** The longest delay that a busy source can request. */
    static final Duration MAX_BUSY_DELAY = Duration.ofMinutes(1);

    /**
     * The maximum delay after a response that arrived before half of the requested wait; the mean
     * delay is half of it.
     */
    static final Duration MAX_EARLY_RESPONSE_DELAY = Duration.ofSeconds(2);

    private static final int PREFERRED_SOURCE = 0;
    private static final long NO_OPERATION = 0;

    private enum Phase {
        NEW,
        REQUESTING,
        BACKING_OFF,
        WRITING,
        WRITE_BACKING_OFF,
        STOPPED
    }

    private final int sourceCount;
    private final int maxEntries;
    private final FollowerTimings timings;
    private final RandomGenerator random;
    private ConfigurationView view;
    private Phase phase = Phase.NEW;
    private int source = PREFERRED_SOURCE;
    private boolean sourceConnected;
    private boolean snapshotInstalled;
    private boolean preferredRetryDue;
    private int failures;
    private int writeFailures;
    private int sourceRetries;
    private int preferredSourceFailures;
    private long lastOperationId;
    private long awaitedOperationId = NO_OPERATION;
    private long preferredRetryTimer = NO_OPERATION;
    private Duration requestedWait = Duration.ZERO;
    private SnapshotAssembler snapshotAssembler;
    private List<Change> pendingChanges;
    private boolean caughtUp;
    private List<FollowerEffect> effects = new ArrayList<>();

    /**
     * Creates a follower of a number of sources, of which the first is the preferred one.
     *
     * @param initialView the durable, applied view at the start; owned by this object from now on
     * @param maxEntries the maximum number of entries of a snapshot
     */
    public FollowerState(
            int sourceCount,
            int maxEntries,
            FollowerTimings timings,
            RandomGenerator random,
            ConfigurationView initialView) {
        if (sourceCount < 1) {
            throw new IllegalArgumentException("a follower needs a source");
        }
        this.sourceCount = sourceCount;
        this.maxEntries = maxEntries;
        this.timings = timings;
        this.random = random;
        this.view = initialView;
    }

    /** Starts the follower; must be called once, before any event. */
    public List<FollowerEffect> start() {
        request();
        return takeEffects();
    }

    /** Handles an event; returns the effects to perform, in order. */
    public List<FollowerEffect> handle(FollowerEvent event) {
        if (phase != Phase.STOPPED && isAwaited(event)) {
            dispatch(event);
        }
        return takeEffects();
    }

    /** The accepted configuration; owned by this object and changed by later events. */
    public ConfigurationView view() {
        return view;
    }

    /** The index of the current source. */
    public int source() {
        return source;
    }

    private boolean isAwaited(FollowerEvent event) {
        if (event instanceof FollowerEvent.PreferredSourceRetryDue due) {
            return due.timer() == preferredRetryTimer;
        }
        return event instanceof FollowerEvent.Stopped || operationIdOf(event) == awaitedOperationId;
    }

    private static long operationIdOf(FollowerEvent event) {
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
        return NO_OPERATION;
    }

    private void dispatch(FollowerEvent event) {
        if (event instanceof FollowerEvent.ChangesReceived received) {
            changesReceived(received);
        } else if (event instanceof FollowerEvent.SnapshotPageReceived received) {
            snapshotPageReceived(received.page());
        } else if (event instanceof FollowerEvent.Diverged) {
            diverged();
        } else if (event instanceof FollowerEvent.Truncated) {
            truncated();
        } else if (event instanceof FollowerEvent.Behind behind) {
            failOver("behind, at revision " + behind.sourceRevision());
        } else if (event instanceof FollowerEvent.Busy busy) {
            busy(busy.retryAfter());
        } else if (event instanceof FollowerEvent.RequestFailed failed) {
            failOver(failed.reason());
        } else if (event instanceof FollowerEvent.WriteCompleted) {
            writeCompleted();
        } else if (event instanceof FollowerEvent.WriteFailed failed) {
            writeFailed(failed.reason());
        } else if (event instanceof FollowerEvent.RetryDue) {
            retryDue();
        } else if (event instanceof FollowerEvent.PreferredSourceRetryDue) {
            preferredRetryTimer = NO_OPERATION;
            preferredRetryDue = source != PREFERRED_SOURCE;
        } else {
            stop();
        }
    }

    private void changesReceived(FollowerEvent.ChangesReceived received) {
        ChangesResponse response = received.response();
        if (snapshotAssembler != null) {
            failOver("changes in place of a snapshot");
        } else if (response.revision() < view.revision()) {
            failOver("behind, at revision " + response.revision());
        } else if (response.changes().isEmpty()) {
            noChangesReceived(response, received.elapsed());
        } else {
            acceptChanges(response);
        }
    }

    private void noChangesReceived(ChangesResponse response, Duration elapsed) {
        if (response.revision() != view.revision() || response.digest() != view.digest()) {
            failOver("no changes, but a different revision or digest than requested");
            return;
        }
        boolean early = elapsed.compareTo(requestedWait.dividedBy(2)) < 0;
        markSourceConnected();
        effects.add(new FollowerEffect.Confirmed(view.revision()));
        if (early) {
            scheduleRetry(
                    RetryDelay.fullJitter(
                            MAX_EARLY_RESPONSE_DELAY, MAX_EARLY_RESPONSE_DELAY, 1, random));
        } else {
            request();
        }
    }

    /** Accepts the changes up to the first one that is invalid. */
    private void acceptChanges(ChangesResponse response) {
        List<Change> accepted = new ArrayList<>();
        String error = null;
        for (Change change : response.changes()) {
            ConfigurationView.Outcome outcome = view.apply(change);
            if (outcome == ConfigurationView.Outcome.APPLIED) {
                accepted.add(change);
            } else if (outcome != ConfigurationView.Outcome.ALREADY_APPLIED) {
                error = outcome + " at revision " + change.revision();
                break;
            }
        }
        if (accepted.isEmpty()) {
            failOver(error == null ? "only changes that were already applied" : error);
            return;
        }
        markSourceConnected();
        pendingChanges = List.copyOf(accepted);
        caughtUp = view.revision() == response.revision() && view.digest() == response.digest();
        write();
    }

    private void snapshotPageReceived(SnapshotPage page) {
        if (snapshotAssembler == null) {
            failOver("a snapshot in place of changes");
            return;
        }
        try {
            ConfigurationView snapshot = snapshotAssembler.add(page);
            if (snapshot == null) {
                request();
                return;
            }
            view = snapshot;
            pendingChanges = null;
            caughtUp = false;
            write();
        } catch (SnapshotAssembler.InvalidSnapshotException invalid) {
            failOver(invalid.getMessage());
        }
    }

    private void diverged() {
        if (snapshotAssembler != null || snapshotInstalled) {
            failOver("diverged from its own snapshot");
        } else {
            startSnapshot();
        }
    }

    private void truncated() {
        if (snapshotAssembler != null) {
            restartSnapshot();
        } else if (snapshotInstalled) {
            failOver("truncated after its own snapshot");
        } else {
            startSnapshot();
        }
    }

    private void startSnapshot() {
        snapshotAssembler = new SnapshotAssembler(view.revision(), maxEntries);
        request();
    }

    private void restartSnapshot() {
        sourceRetries++;
        if (sourceRetries > MAX_RETRIES_PER_SOURCE) {
            failOver("snapshots were truncated before they were complete");
            return;
        }
        snapshotAssembler = new SnapshotAssembler(view.revision(), maxEntries);
        scheduleRetry(retryDelay());
    }

    private void busy(Duration retryAfter) {
        sourceRetries++;
        if (sourceRetries > MAX_RETRIES_PER_SOURCE) {
            failOver("busy");
            return;
        }
        Duration requestedDelay =
                retryAfter.compareTo(MAX_BUSY_DELAY) < 0 ? retryAfter : MAX_BUSY_DELAY;
        scheduleRetry(requestedDelay.plus(retryDelay()));
    }

    private void markSourceConnected() {
        failures = 0;
        sourceRetries = 0;
        snapshotInstalled = false;
        if (source == PREFERRED_SOURCE) {
            preferredSourceFailures = 0;
            preferredRetryDue = false;
        }
        if (!sourceConnected) {
            sourceConnected = true;
            effects.add(new FollowerEffect.SourceConnected(source));
        }
    }

    private void failOver(String reason) {
        int failedSource = source;
        failures++;
        sourceRetries = 0;
        snapshotAssembler = null;
        sourceConnected = false;
        snapshotInstalled = false;
        source = (failedSource + 1) % sourceCount;
        effects.add(new FollowerEffect.SourceFailover(failedSource, source, reason));
        if (failedSource == PREFERRED_SOURCE) {
            preferredSourceFailures++;
        }
        schedulePreferredSourceRetry();
        scheduleRetry(
                RetryDelay.fullJitter(
                        timings.baseRetryDelay(), timings.maxRetryDelay(), failures, random));
    }

    private void schedulePreferredSourceRetry() {
        if (source == PREFERRED_SOURCE
                || preferredRetryTimer != NO_OPERATION
                || preferredRetryDue) {
            return;
        }
        preferredRetryTimer = nextOperationId();
        Duration delay =
                RetryDelay.equalJitter(
                        timings.basePreferredRetryDelay(),
                        timings.maxPreferredRetryDelay(),
                        preferredSourceFailures,
                        random);
        effects.add(new FollowerEffect.SchedulePreferredSourceRetry(preferredRetryTimer, delay));
    }

    private void returnToPreferredSource() {
        preferredRetryDue = false;
        if (source != PREFERRED_SOURCE) {
            source = PREFERRED_SOURCE;
            sourceConnected = false;
            sourceRetries = 0;
        }
    }

    private void request() {
        phase = Phase.REQUESTING;
        awaitedOperationId = nextOperationId();
        if (snapshotAssembler != null) {
            effects.add(
                    new FollowerEffect.RequestSnapshotPage(
                            awaitedOperationId,
                            source,
                            snapshotAssembler.revision(),
                            snapshotAssembler.nextKey()));
            return;
        }
        if (preferredRetryDue) {
            returnToPreferredSource();
        }
        // A source that has not responded yet gets a request without a wait, so that a dead source
        // is detected quickly.
        requestedWait = sourceConnected ? timings.pollWait() : Duration.ZERO;
        effects.add(
                new FollowerEffect.RequestChanges(
                        awaitedOperationId, source, view.revision(), view.digest(), requestedWait));
    }

    private void write() {
        phase = Phase.WRITING;
        awaitedOperationId = nextOperationId();
        effects.add(
                snapshotAssembler != null
                        ? new FollowerEffect.WriteSnapshot(awaitedOperationId, view)
                        : new FollowerEffect.WriteChanges(awaitedOperationId, pendingChanges));
    }

    private void writeCompleted() {
        effects.add(
                snapshotAssembler != null
                        ? new FollowerEffect.SnapshotApplied(view)
                        : new FollowerEffect.ChangesApplied(pendingChanges));
        if (caughtUp) {
            effects.add(new FollowerEffect.Confirmed(view.revision()));
        }
        writeFailures = 0;
        snapshotInstalled = snapshotAssembler != null;
        snapshotAssembler = null;
        pendingChanges = null;
        request();
    }

    private void writeFailed(String reason) {
        writeFailures++;
        effects.add(new FollowerEffect.WritePostponed(reason));
        scheduleRetry(
                RetryDelay.equalJitter(
                        timings.baseRetryDelay(), timings.maxRetryDelay(), writeFailures, random));
        phase = Phase.WRITE_BACKING_OFF;
    }

    private void retryDue() {
        if (phase == Phase.WRITE_BACKING_OFF) {
            write();
        } else {
            request();
        }
    }

    private Duration retryDelay() {
        return RetryDelay.fullJitter(
                timings.baseRetryDelay(), timings.maxRetryDelay(), sourceRetries, random);
    }

    private void scheduleRetry(Duration delay) {
        phase = Phase.BACKING_OFF;
        awaitedOperationId = nextOperationId();
        effects.add(new FollowerEffect.ScheduleRetry(awaitedOperationId, delay));
    }

    private void stop() {
        if (phase == Phase.REQUESTING) {
            effects.add(new FollowerEffect.CancelRequest(awaitedOperationId));
        }
        phase = Phase.STOPPED;
        awaitedOperationId = NO_OPERATION;
        snapshotAssembler = null;
    }

    private long nextOperationId() {
        return ++lastOperationId;
    }

    private List<FollowerEffect> takeEffects() {
        List<FollowerEffect> result = effects;
        effects = new ArrayList<>();
        return result;
    }
}
