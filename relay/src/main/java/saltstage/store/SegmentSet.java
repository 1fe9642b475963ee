package saltstage.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The segments that a state of the index points into, held open as long as anybody reads by it. */
final class SegmentSet {
    private final TreeMap<Long, Segment> byId = new TreeMap<>();
    private final AtomicInteger readers = new AtomicInteger(1);

    SegmentSet(Collection<Segment> segments) {
        for (Segment segment : segments) {
            byId.put(segment.id(), segment);
            segment.hold();
        }
    }

    Segment get(long id) {
        return byId.get(id);
    }

    List<Segment> all() {
        return List.copyOf(byId.values());
    }

    SegmentSet with(Segment more) {
        List<Segment> all = new ArrayList<>(byId.values());
        all.add(more);
        return new SegmentSet(all);
    }

    SegmentSet without(Collection<Segment> gone) {
        List<Segment> all = new ArrayList<>(byId.values());
        all.removeAll(gone);
        return new SegmentSet(all);
    }

    /** Takes part in reading; false where the set is already over. */
    boolean enter() {
        int now = readers.get();
        while (now > 0) {
            if (readers.compareAndSet(now, now + 1)) {
                return true;
            }
            now = readers.get();
        }
        return false;
    }

    /** Ends reading, or for the store itself: ends the set. */
    void leave() {
        if (readers.decrementAndGet() == 0) {
            byId.values().forEach(Segment::letGo);
        }
    }
}
