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
    static final class Waiting {
        private final ReadRequest.Changes request;
        private final long untilMs;
        private final CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();

        Waiting(ReadRequest.Changes request, long untilMs) {
            this.request = request;
            this.untilMs = untilMs;
        }

        ReadRequest.Changes request() {
            return request;
        }

        /** Completed by whoever takes it out of the set. */
        CompletableFuture<HttpAnswer> answer() {
            return answer;
        }
    }

    private final int most;
    private final Set<Waiting> waiting = new LinkedHashSet<>();

    WaitingRequests(int most) {
        this.most = most;
    }

    /** Holds a request; null where too many wait. */
    Waiting add(ReadRequest.Changes request, long untilMs) {
        if (waiting.size() >= most) {
            return null;
        }
        Waiting added = new Waiting(request, untilMs);
        waiting.add(added);
        return added;
    }

    /** Lets go of a request that nobody waits for any more. */
    void remove(Waiting gone) {
        waiting.remove(gone);
    }

    /** Takes out all: something new is there. */
    List<Waiting> takeAll() {
        List<Waiting> taken = new ArrayList<>(waiting);
        waiting.clear();
        return taken;
    }

    /** Takes out those whose wait is over. */
    List<Waiting> takeDue(long nowMs) {
        List<Waiting> due = new ArrayList<>();
        for (Waiting one : waiting) {
            if (one.untilMs <= nowMs) {
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
