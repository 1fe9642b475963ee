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
 * A backend process as this relay knows it: its place in the list and the tries that stand there.
 */
public final class Backend {
    private static final int MAX_DELAY_SAMPLES = 64;

    /** One late line may be the relay's own fault. */
    private static final int MIN_DELAY_SAMPLES = 2;

    private final Predicate<String> suspensionCheck;
    private volatile BackendList.Entry entry;
    private volatile boolean ended;
    private final Set<Attempt> establishedAttempts = ConcurrentHashMap.newKeySet();
    private final Duration[] delaySamples = new Duration[MAX_DELAY_SAMPLES];
    private final LoadReportClassifier loadReportClassifier = new LoadReportClassifier();
    private int sampleCount;
    private boolean slow;

    Backend(BackendList.Entry entry, Predicate<String> suspendedOnes) {
        this.entry = entry;
        this.suspensionCheck = suspendedOnes;
    }

    /** What discovery last said of it. */
    public BackendList.Entry entry() {
        return entry;
    }

    void update(BackendList.Entry changed) {
        entry = changed;
    }

    void markEnded() {
        ended = true;
    }

    /** Whether discovery has told that this process is gone or was started anew. */
    public boolean hasEnded() {
        return ended;
    }

    /** Whether it may be sent new work, by all that was told up to now. */
    public boolean canAcceptRequests() {
        return !ended && entry.state() == BackendList.State.READY && !isSuspended();
    }

    /**
     * Whether operators have suspended it: nothing more may be sent there, whatever the list says.
     */
    public boolean isSuspended() {
        return suspensionCheck.test(entry.uid());
    }

    /** The tries that stand at it; a live view. */
    public Set<Attempt> establishedAttempts() {
        return establishedAttempts;
    }

    /** A message came back after this time. */
    public synchronized void recordResponseDelay(Duration delay) {
        delaySamples[sampleCount++ % MAX_DELAY_SAMPLES] = delay;
    }

    /**
     * What messages took since the last call, as the middle one; null where none went through.
     * Unanswered messages count with their age: a backend that answers nothing is not a fast one.
     */
    public synchronized Duration takeMedianDelay(Instant now) {
        int held = Math.min(sampleCount, MAX_DELAY_SAMPLES);
        List<Duration> all = new ArrayList<>(Arrays.asList(delaySamples).subList(0, held));
        sampleCount = 0;
        Duration typical = median(all);
        for (Attempt up : establishedAttempts) {
            Instant since = up.unansweredSince();
            Duration age = since == null ? Duration.ZERO : Duration.between(since, now);
            if (age.compareTo(typical == null ? Duration.ZERO : typical) > 0) {
                all.add(age);
            }
        }
        return all.size() < MIN_DELAY_SAMPLES ? null : median(all);
    }

    private static Duration median(List<Duration> all) {
        all.sort(null);
        return all.isEmpty() ? null : all.get(all.size() / 2);
    }

    /**
     * Whether a figure told on this connection is a message delay in milliseconds, and not a load.
     */
    public synchronized boolean isDelayReport(Attempt on, double figure, Instant now) {
        return loadReportClassifier.isDelay(on, figure, now);
    }

    /** Remembers whether its messages are slow now; returns whether they were. */
    public synchronized boolean markSlow(boolean now) {
        boolean was = slow;
        slow = now;
        return was;
    }
}
