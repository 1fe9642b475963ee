package saltstage.stage;

import java.time.Duration;
import java.time.Instant;
import saltstage.session.Attempt;
import saltstage.session.Backend;
import saltstage.session.BackendRegistry;
import saltstage.session.MonotonicClock;
import saltstage.session.RequestContext;

/**
 * Starts an attempt that the load balancer has decided on; the client's protocol carries it out.
 */
public final class AttemptStarter {
    private final MonotonicClock clock;
    private final BackendRegistry backends;
    private final OutcomeRecorder outcomeRecorder;

    AttemptStarter(MonotonicClock clock, BackendRegistry peers, OutcomeRecorder book) {
        this.clock = clock;
        this.backends = peers;
        this.outcomeRecorder = book;
    }

    /** Starts the next attempt of a request. A limit of zero means the client's deadline. */
    void start(RequestContext context, String uid, Duration limit) {
        Instant now = clock.now();
        Instant most = now.plus(limit);
        Instant until =
                limit.isZero() || most.isAfter(context.deadline()) ? context.deadline() : most;
        Backend peer = backends.find(uid);
        Attempt begun = peer == null ? null : context.beginAttempt(peer, now);
        if (begun == null) {
            outcomeRecorder.attemptNotSent(context);
        } else {
            context.client().startAttempt(begun, until);
        }
    }
}
