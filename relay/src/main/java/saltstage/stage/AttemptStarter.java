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

    /** Starts the next attempt of a request. A timeout of zero means the client's deadline. */
    void start(RequestContext context, String backendId, Duration timeout) {
        Instant now = clock.now();
        Instant timeoutEnd = now.plus(timeout);
        Instant attemptDeadline =
                timeout.isZero() || timeoutEnd.isAfter(context.deadline())
                        ? context.deadline()
                        : timeoutEnd;
        Backend backend = backends.find(backendId);
        Attempt attempt = backend == null ? null : context.beginAttempt(backend, now);
        if (attempt == null) {
            outcomeRecorder.attemptNotSent(context);
        } else {
            context.client().startAttempt(attempt, attemptDeadline);
        }
    }
}
