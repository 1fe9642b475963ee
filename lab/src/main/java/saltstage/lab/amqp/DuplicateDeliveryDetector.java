package saltstage.lab.amqp;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts duplicate deliveries: a delivery that is outstanding at a backend while another copy of it
 * is outstanding at the same or another backend.
 */
public final class DuplicateDeliveryDetector {
    private final Map<String, Integer> outstandingCopies = new HashMap<>();
    private long duplicateCount;
    private String example = "";

    /** Records that a backend has received a delivery completely. */
    synchronized void deliveryReceived(String id, String backendUid) {
        if (outstandingCopies.merge(id, 1, Integer::sum) > 1) {
            duplicateCount++;
            example = id + " at " + backendUid;
        }
    }

    /** Records that a backend sent the outcome of a delivery, or that its link ended. */
    synchronized void deliveryEnded(String id) {
        outstandingCopies.computeIfPresent(id, (ignored, copies) -> copies > 1 ? copies - 1 : null);
    }

    /** Returns the number of duplicates seen. */
    public synchronized long duplicateCount() {
        return duplicateCount;
    }

    /** Returns the latest duplicate, for assertion messages; empty if there is none. */
    public synchronized String example() {
        return example;
    }
}
