package saltstage.lab.amqp;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Every delivery sent and what its sender was told of it, to be compared with what the gateways say. */
public final class Ledger {
    /** What a sender was told, or that its link ended without a word. */
    public enum Told { WAITING, ACCEPTED, REJECTED, RELEASED, MODIFIED, OTHER, NOTHING }

    /** Room beforehand: a map that grows keeps all threads of a measurement waiting for milliseconds. */
    private final Map<String, Told> told = new HashMap<>(1 << 20);
    private long waiting;
    private final List<String> faults = new ArrayList<>();
    private final Histogram times = new Histogram(TimeUnit.MINUTES.toNanos(2), 3);

    /** It was sent. */
    public synchronized void sent(String id) {
        waiting++;
        if (told.put(id, Told.WAITING) != null) {
            faults.add("sent twice: " + id);
        }
    }

    /** Its sender was told this, so long after it should have been sent. */
    public synchronized void outcome(String id, Told what, long nanos) {
        Told before = told.put(id, what);
        waiting -= before == Told.WAITING ? 1 : 0;
        if (before != Told.WAITING) {
            faults.add("a second outcome: " + id + " " + before + " then " + what);
        }
        if (nanos >= 0 && what == Told.ACCEPTED) {
            times.recordValue(Math.min(nanos, times.getHighestTrackableValue()));
        }
    }

    /** How many there are of each. */
    public synchronized Map<Told, Long> counts() {
        Map<Told, Long> counts = new TreeMap<>();
        told.values().forEach(one -> counts.merge(one, 1L, Long::sum));
        return counts;
    }

    /** Whether it was sent here. */
    public synchronized boolean knows(String id) {
        return told.containsKey(id);
    }

    /** How many were sent. */
    public synchronized int size() {
        return told.size();
    }

    /** How many wait for their outcome. */
    public synchronized long waiting() {
        return waiting;
    }

    /** Times from when an accepted one was due to its outcome, in nanoseconds. */
    public synchronized Histogram times() {
        return times.copy();
    }

    /** What cannot be, compared with the ids that the gateways have accepted; empty where all is well. */
    public synchronized List<String> faults(Collection<String> acceptedThere) {
        List<String> all = new ArrayList<>(faults);
        Set<String> there = new HashSet<>(acceptedThere);
        told.forEach((id, what) -> {
            if (what == Told.ACCEPTED && !there.contains(id)) {
                all.add("accepted by no gateway: " + id);
            }
            if ((what == Told.RELEASED || what == Told.REJECTED) && there.contains(id)) {
                all.add(what + " though a gateway accepted it: " + id);
            }
            if (what == Told.WAITING || what == Told.NOTHING) {
                all.add("no outcome: " + id);
            }
        });
        there.removeAll(told.keySet());
        there.forEach(id -> all.add("accepted and never sent: " + id));
        return all;
    }
}
