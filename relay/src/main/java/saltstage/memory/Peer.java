package saltstage.memory;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import saltstage.wire.HostList;

/**
 * A backend process as this relay knows it: its place in the list and the tries that stand there.
 */
public final class Peer {
    private static final int MOST_SAMPLES = 64;

    /** One late line may be the relay's own fault. */
    private static final int LEAST_SAMPLES = 2;

    private final Predicate<String> suspendedOnes;
    private volatile HostList.Entry entry;
    private volatile boolean ended;
    private final Set<Try> standing = ConcurrentHashMap.newKeySet();
    private final Duration[] samples = new Duration[MOST_SAMPLES];
    private final Teller teller = new Teller();
    private int sampled;
    private boolean slow;

    Peer(HostList.Entry entry, Predicate<String> suspendedOnes) {
        this.entry = entry;
        this.suspendedOnes = suspendedOnes;
    }

    /** What discovery last said of it. */
    public HostList.Entry entry() {
        return entry;
    }

    void update(HostList.Entry changed) {
        entry = changed;
    }

    void end() {
        ended = true;
    }

    /** Whether discovery has told that this process is gone or was started anew. */
    public boolean ended() {
        return ended;
    }

    /** Whether it may be sent new work, by all that was told up to now. */
    public boolean takesNew() {
        return !ended && entry.state() == HostList.State.READY && !suspended();
    }

    /**
     * Whether operators have suspended it: nothing more may be sent there, whatever the list says.
     */
    public boolean suspended() {
        return suspendedOnes.test(entry.uid());
    }

    /** The tries that stand at it; a live view. */
    public Set<Try> standing() {
        return standing;
    }

    /** A message came back after this time. */
    public synchronized void answered(Duration delay) {
        samples[sampled++ % MOST_SAMPLES] = delay;
    }

    /**
     * What messages took since the last call, as the middle one; null where none went through.
     * Unanswered messages count with their age: a backend that answers nothing is not a fast one.
     */
    public synchronized Duration takeDelay(Instant now) {
        int held = Math.min(sampled, MOST_SAMPLES);
        List<Duration> all = new ArrayList<>(Arrays.asList(samples).subList(0, held));
        sampled = 0;
        Duration typical = middle(all);
        for (Try up : standing) {
            Instant since = up.unansweredSince();
            Duration age = since == null ? Duration.ZERO : Duration.between(since, now);
            if (age.compareTo(typical == null ? Duration.ZERO : typical) > 0) {
                all.add(age);
            }
        }
        return all.size() < LEAST_SAMPLES ? null : middle(all);
    }

    private static Duration middle(List<Duration> all) {
        all.sort(null);
        return all.isEmpty() ? null : all.get(all.size() / 2);
    }

    /**
     * Whether a figure told on this connection is a message delay in milliseconds, and not a load.
     */
    public synchronized boolean tellsDelay(Try on, double figure, Instant now) {
        return teller.isDelay(on, figure, now);
    }

    /** Remembers whether its messages are slow now; returns whether they were. */
    public synchronized boolean markSlow(boolean now) {
        boolean was = slow;
        slow = now;
        return was;
    }
}
