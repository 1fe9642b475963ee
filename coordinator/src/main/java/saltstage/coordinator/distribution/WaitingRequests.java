package saltstage.coordinator.distribution;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * The requests that wait for a change, in one set. A change completes all of them at once, and a
 * periodic sweep scans the set for expired requests, so that no request needs a timer or a thread.
 * Not thread safe.
 */
final class WaitingRequests {
    /** A waiting request, compared by identity: equal requests may wait side by side. */
    static final class WaitingRequest {
        private final ReadRequest.Changes request;
        private final long deadlineMs;
        private final CompletableFuture<EncodedResponse> response = new CompletableFuture<>();

        WaitingRequest(ReadRequest.Changes request, long deadlineMs) {
            this.request = request;
            this.deadlineMs = deadlineMs;
        }

        ReadRequest.Changes request() {
            return request;
        }

        /** Returns the response, which the code that removes the request from the set completes. */
        CompletableFuture<EncodedResponse> response() {
            return response;
        }
    }

    private final int maxRequests;
    private final Set<WaitingRequest> waiting = new LinkedHashSet<>();

    WaitingRequests(int maxRequests) {
        this.maxRequests = maxRequests;
    }

    /** Adds a request; returns null if the maximum number of requests is waiting. */
    WaitingRequest add(ReadRequest.Changes request, long deadlineMs) {
        if (waiting.size() >= maxRequests) {
            return null;
        }
        WaitingRequest added = new WaitingRequest(request, deadlineMs);
        waiting.add(added);
        return added;
    }

    /** Removes a request whose client has disconnected. */
    void remove(WaitingRequest request) {
        waiting.remove(request);
    }

    /** Removes and returns all requests, for example because a change has arrived. */
    List<WaitingRequest> takeAll() {
        List<WaitingRequest> taken = new ArrayList<>(waiting);
        waiting.clear();
        return taken;
    }

    /** Removes and returns the requests whose deadline has passed. */
    List<WaitingRequest> takeDue(long nowMs) {
        List<WaitingRequest> due = new ArrayList<>();
        for (WaitingRequest request : waiting) {
            if (request.deadlineMs <= nowMs) {
                due.add(request);
            }
        }
        due.forEach(waiting::remove);
        return due;
    }

    int size() {
        return waiting.size();
    }
}
