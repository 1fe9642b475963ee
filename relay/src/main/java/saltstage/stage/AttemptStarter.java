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

    AttemptStarter(
            MonotonicClock clock, BackendRegistry backends, OutcomeRecorder outcomeRecorder) {
        this.clock = clock;
        this.backends = backends;
        this.outcomeRecorder = outcomeRecorder;
    }

    /** Starts the next attempt of a request. A limit of zero means the client's deadline. */
    void start(RequestContext context, String uid, Duration limit) {
        Instant now = clock.now();
        Instant limitEnd = now.plus(limit);
        Instant attemptDeadline =
                limit.isZero() || limitEnd.isAfter(context.deadline())
                        ? context.deadline()
                        : limitEnd;
        Backend backend = backends.find(uid);
        Attempt attempt = backend == null ? null : context.beginAttempt(backend, now);
        if (attempt == null) {
            outcomeRecorder.attemptNotSent(context);
        } else {
            context.client().startAttempt(attempt, attemptDeadline);
        }
    }
}
