package saltstage.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The segments that a state of the index points into. The set is reference-counted: its segments
 * stay open until the last reader has released it.
 */
final class SegmentSet {
    private final TreeMap<Long, Segment> segmentsById = new TreeMap<>();
    private final AtomicInteger references = new AtomicInteger(1);

    SegmentSet(Collection<Segment> segments) {
        for (Segment segment : segments) {
            segmentsById.put(segment.id(), segment);
            segment.acquire();
        }
    }

    Segment get(long id) {
        return segmentsById.get(id);
    }

    List<Segment> all() {
        return List.copyOf(segmentsById.values());
    }

    SegmentSet with(Segment added) {
        List<Segment> all = new ArrayList<>(segmentsById.values());
        all.add(added);
        return new SegmentSet(all);
    }

    SegmentSet without(Collection<Segment> removed) {
        List<Segment> all = new ArrayList<>(segmentsById.values());
        all.removeAll(removed);
        return new SegmentSet(all);
    }

    /** Acquires a reference for a reader. Returns false if the set has already been released. */
    boolean tryAcquire() {
        int count = references.get();
        while (count > 0) {
            if (references.compareAndSet(count, count + 1)) {
                return true;
            }
            count = references.get();
        }
        return false;
    }

    /** Releases the reference of a reader or the initial one, which the store holds. */
    void release() {
        if (references.decrementAndGet() == 0) {
            segmentsById.values().forEach(Segment::release);
        }
    }
}
