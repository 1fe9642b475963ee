package saltstage.stage;

import java.time.Duration;
import java.time.Instant;
import saltstage.memory.MonotonicClock;
import saltstage.memory.Peer;
import saltstage.memory.Peers;
import saltstage.memory.RequestContext;
import saltstage.memory.Try;

/** Starts a try that the module has decided on; the client's protocol makes it. */
public final class Send {
    private final MonotonicClock clock;
    private final Peers peers;
    private final Book book;

    Send(MonotonicClock clock, Peers peers, Book book) {
        this.clock = clock;
        this.peers = peers;
        this.book = book;
    }

    /** Starts the next try of a request; a zero limit is the client's deadline. */
    void start(RequestContext context, String uid, Duration limit) {
        Instant now = clock.now();
        Instant most = now.plus(limit);
        Instant until =
                limit.isZero() || most.isAfter(context.deadline()) ? context.deadline() : most;
        Peer peer = peers.find(uid);
        Try begun = peer == null ? null : context.begin(peer, now);
        if (begun == null) {
            book.unsent(context);
        } else {
            context.client().attempt(begun, until);
        }
    }
}
