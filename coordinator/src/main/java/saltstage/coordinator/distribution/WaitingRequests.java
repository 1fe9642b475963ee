package saltstage.coordinator.distribution;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Requests that wait for something new, in one set: woken all at once by a change, and looked
 * through once a sweep for those whose wait is over. None costs a timer or a thread. Not thread
 * safe.
 */
final class WaitingRequests {
    /** A request that waits; each is a thing of its own. */
    static final class WaitingRequest {
        private final ReadRequest.Changes request;
        private final long deadlineMs;
        private final CompletableFuture<EncodedResponse> response = new CompletableFuture<>();

        WaitingRequest(ReadRequest.Changes request, long untilMs) {
            this.request = request;
            this.deadlineMs = untilMs;
        }

        ReadRequest.Changes request() {
            return request;
        }

        /** Completed by whoever takes it out of the set. */
        CompletableFuture<EncodedResponse> response() {
            return response;
        }
    }

    private final int maxRequests;
    private final Set<WaitingRequest> waiting = new LinkedHashSet<>();

    WaitingRequests(int most) {
        this.maxRequests = most;
    }

    /** Holds a request; null where too many wait. */
    WaitingRequest add(ReadRequest.Changes request, long untilMs) {
        if (waiting.size() >= maxRequests) {
            return null;
        }
        WaitingRequest added = new WaitingRequest(request, untilMs);
        waiting.add(added);
        return added;
    }

    /** Lets go of a request that nobody waits for any more. */
    void remove(WaitingRequest gone) {
        waiting.remove(gone);
    }

    /** Takes out all: something new is there. */
    List<WaitingRequest> takeAll() {
        List<WaitingRequest> taken = new ArrayList<>(waiting);
        waiting.clear();
        return taken;
    }

    /** Takes out those whose wait is over. */
    List<WaitingRequest> takeDue(long nowMs) {
        List<WaitingRequest> due = new ArrayList<>();
        for (WaitingRequest one : waiting) {
            if (one.deadlineMs <= nowMs) {
                due.add(one);
            }
        }
        due.forEach(waiting::remove);
        return due;
    }

    int size() {
        return waiting.size();
    }
}
