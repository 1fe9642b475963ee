package saltstage.session;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import saltstage.wire.BackendList;

/**
 * A backend process as this relay knows it: its entry in the backend list and its established
 * attempts.
 */
public final class Backend {
    private static final int MAX_DELAY_SAMPLES = 64;

    /** A single late line may have been delayed by the relay itself. */
    private static final int MIN_DELAY_SAMPLES = 2;

    private final Predicate<String> suspensionCheck;
    private volatile BackendList.Entry entry;
    private volatile boolean ended;
    private final Set<Attempt> establishedAttempts = ConcurrentHashMap.newKeySet();
    private final Duration[] delaySamples = new Duration[MAX_DELAY_SAMPLES];
    private final LoadReportClassifier loadReportClassifier = new LoadReportClassifier();
    private int sampleCount;
    private boolean slow;

    Backend(BackendList.Entry entry, Predicate<String> suspensionCheck) {
        this.entry = entry;
        this.suspensionCheck = suspensionCheck;
    }

    /** Returns its latest entry in the backend list. */
    public BackendList.Entry entry() {
        return entry;
    }

    void update(BackendList.Entry newEntry) {
        entry = newEntry;
    }

    void markEnded() {
        ended = true;
    }

    /** Returns whether discovery has reported that this process is gone or was restarted. */
    public boolean hasEnded() {
        return ended;
    }

    /**
     * Returns whether new requests may be sent to it, according to the current backend list and
     * suspensions.
     */
    public boolean canAcceptRequests() {
        return !ended && entry.state() == BackendList.State.READY && !isSuspended();
    }

    /**
     * Returns whether operators have suspended it: nothing more may be sent to it, whatever the
     * backend list says.
     */
    public boolean isSuspended() {
        return suspensionCheck.test(entry.uid());
    }

    /** Returns the attempts established at this backend, as a live view. */
    public Set<Attempt> establishedAttempts() {
        return establishedAttempts;
    }

    /** Records the time after which a message was answered. */
    public synchronized void recordResponseDelay(Duration delay) {
        delaySamples[sampleCount++ % MAX_DELAY_SAMPLES] = delay;
    }

    /**
     * Returns the median message delay since the last call, or null if there are too few samples.
     * The age of an unanswered message counts as a sample if it is above the median, because a
     * backend that answers nothing is not a fast one.
     */
    public synchronized Duration takeMedianDelay(Instant now) {
        int available = Math.min(sampleCount, MAX_DELAY_SAMPLES);
        List<Duration> delays = new ArrayList<>(Arrays.asList(delaySamples).subList(0, available));
        sampleCount = 0;
        Duration medianDelay = median(delays);
        for (Attempt attempt : establishedAttempts) {
            Instant since = attempt.unansweredSince();
            Duration age = since == null ? Duration.ZERO : Duration.between(since, now);
            if (age.compareTo(medianDelay == null ? Duration.ZERO : medianDelay) > 0) {
                delays.add(age);
            }
        }
        return delays.size() < MIN_DELAY_SAMPLES ? null : median(delays);
    }

    private static Duration median(List<Duration> delays) {
        delays.sort(null);
        return delays.isEmpty() ? null : delays.get(delays.size() / 2);
    }

    /**
     * Returns whether a value reported on this connection is a message delay in milliseconds rather
     * than a load.
     */
    public synchronized boolean isDelayReport(Attempt attempt, double value, Instant now) {
        return loadReportClassifier.isDelay(attempt, value, now);
    }

    /** Records whether messages are slow now; returns whether they were slow before. */
    public synchronized boolean markSlow(boolean nowSlow) {
        boolean wasSlow = slow;
        slow = nowSlow;
        return wasSlow;
    }
}
