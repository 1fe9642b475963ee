package saltstage.lab.amqp;

import java.util.HashMap;
import java.util.Map;

/** Which deliveries are out at which gateways: where one is out at two, a second copy was sent. */
public final class DuplicateDeliveryDetector {
    private final Map<String, Integer> outstandingCopies = new HashMap<>();
    private long duplicateCount;
    private String example = "";

    /** A delivery has come whole. */
    synchronized void deliveryReceived(String id, String backendUid) {
        if (outstandingCopies.merge(id, 1, Integer::sum) > 1) {
            duplicateCount++;
            example = id + " at " + backendUid;
        }
    }

    /** It was answered, or its link is gone. */
    synchronized void deliveryEnded(String id) {
        outstandingCopies.computeIfPresent(id, (ignored, copies) -> copies > 1 ? copies - 1 : null);
    }

    /** How many second copies there were. */
    public synchronized long duplicateCount() {
        return duplicateCount;
    }

    /** One of them, for a message. */
    public synchronized String example() {
        return example;
    }
}
