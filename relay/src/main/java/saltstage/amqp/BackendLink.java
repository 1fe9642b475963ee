package saltstage.amqp;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import org.apache.qpid.protonj2.engine.Link;
import org.apache.qpid.protonj2.engine.Session;
import org.apache.qpid.protonj2.types.Symbol;
import org.apache.qpid.protonj2.types.transport.AmqpError;
import org.apache.qpid.protonj2.types.transport.ErrorCondition;
import saltstage.Api.Outcome;
import saltstage.log.Log;
import saltstage.net.Loop;
import saltstage.session.Attempt;
import saltstage.session.Backend;
import saltstage.wire.BackendConnection;

/**
 * One try: a link to a backend, on a session that it shares at most with links of the same client's
 * session, so that a backend that takes nothing holds up this client and no other. It ends once:
 * unreachable, refused, timed out, reset, or up and then over.
 */
final class BackendLink implements BackendConnection {
    /** The link's other half. */
    interface Owner {
        /** Makes the link on the session, not yet open, with its handlers. */
        Link<?> createLink(Session session, AmqpConnection on, String name);

        /** The key of the session that it may share with others, or null. */
        Object sessionKey();

        /** The backend has attached it; false where nobody wants it any more. */
        boolean linkAttached(BackendLink link);

        /** It stood and is over. */
        void linkEnded(BackendLink link, Outcome outcome);

        /** There is room on its connection again. */
        void resume();
    }

    private enum State {
        CONNECTING,
        ATTACHING,
        ATTACHED,
        ENDED
    }

    private final AmqpFrontend frontend;
    private final Attempt attempt;
    private final Owner owner;
    private final Loop loop;
    private final Instant deadline;
    private AmqpBackendConnection connection;
    private BackendSession session;
    private Link<?> link;
    private State state = State.CONNECTING;

    /** What ends it where it takes too long; a link that stands or is over keeps none. */
    private Loop.Timer connectTimer;

    private Loop.Timer attachTimer;

    BackendLink(AmqpFrontend front, Loop loop, Attempt begun, Instant until, Owner owner) {
        this.frontend = front;
        this.loop = loop;
        this.attempt = begun;
        this.deadline = until;
        this.owner = owner;
    }

    /** Begins; on its loop. */
    void start(BackendConnectionPool pool) {
        try {
            attempt.connectionOpened(this);
        } catch (IOException givenUp) {
            endAttempt(Outcome.CANCELLED);
            return;
        }
        Duration left = Duration.between(frontend.now(), deadline);
        Duration connect = frontend.config().connectTimeout();
        if (left.isNegative() || left.isZero() || !attempt.backend().canAcceptRequests()) {
            endAttempt(Outcome.UNREACHABLE);
            return;
        }
        Duration within = connect.compareTo(left) < 0 ? connect : left;
        connectTimer =
                loop.schedule(
                        within,
                        () -> {
                            if (state == State.CONNECTING) {
                                endAttempt(Outcome.UNREACHABLE);
                            }
                        });
        attachTimer =
                loop.schedule(
                        left,
                        () -> {
                            if (state == State.ATTACHING) {
                                endAttempt(Outcome.TIMEOUT);
                            }
                        });
        pool.attach(this, within);
    }

    Backend backend() {
        return attempt.backend();
    }

    Attempt attempt() {
        return attempt;
    }

    /** Whether it stands and its connection is there. */
    boolean isAttached() {
        return state == State.ATTACHED;
    }

    /** Whether its connection takes more bytes. */
    boolean isWritable() {
        return state == State.ATTACHED && connection.isWritable();
    }

    void setConnection(AmqpBackendConnection on) {
        connection = on;
    }

    void connectFailed() {
        endAttempt(Outcome.UNREACHABLE);
    }

    /** Its connection is open: it attaches, unless that is too late by now. */
    void connectionOpened() {
        if (state != State.CONNECTING) {
            return;
        }
        // Connecting takes time: the backend may have been told to drain, or the request's time be
        // up.
        if (!attempt.backend().canAcceptRequests() || !frontend.now().isBefore(deadline)) {
            endAttempt(Outcome.UNREACHABLE);
            return;
        }
        try {
            session = connection.sessionFor(owner.sessionKey());
        } catch (
                IllegalStateException
                        full) { // the backend allows no more sessions on this connection
            endAttempt(Outcome.UNREACHABLE);
            return;
        }
        state = State.ATTACHING;
        session.addLink(this);
        // Names are unique for a pair of containers (2.6.1), and the relay is one container to the
        // backend:
        // two clients that chose the same name must not take each other's link.
        link =
                owner.createLink(
                        session.session(),
                        connection,
                        attempt.context().attributes().clientRequestId());
        link.closeHandler(ended -> detachReceived(ended.getRemoteCondition()))
                .detachHandler(ended -> detachReceived(ended.getRemoteCondition()))
                .openHandler(opened -> attachReceived());
        link.open();
    }

    private void attachReceived() {
        boolean refused =
                link.isSender() ? link.getRemoteTarget() == null : link.getRemoteSource() == null;
        if (state != State.ATTACHING || refused) {
            return; // a detach that says why is on its way (2.6.3)
        }
        state = State.ATTACHED;
        cancelTimers();
        if (!owner.linkAttached(this)) {
            endAttempt(Outcome.CANCELLED);
        }
    }

    private void detachReceived(ErrorCondition why) {
        if (state == State.ATTACHING) {
            endAttempt(outcomeOf(why));
        } else if (state == State.ATTACHED) {
            Log.info(
                    "amqp.link.detached",
                    "peer",
                    backend().entry().uid(),
                    "name",
                    attempt.context().attributes().clientRequestId(),
                    "why",
                    why == null ? "none" : why.getCondition());
            endAttached(why == null ? Outcome.SERVED : Outcome.RESET);
        }
    }

    /**
     * A backend that is full says so in the condition of the specification; all else is an error.
     */
    static Outcome outcomeOf(ErrorCondition why) {
        Symbol condition = why == null ? null : why.getCondition();
        boolean full =
                AmqpError.RESOURCE_LIMIT_EXCEEDED.equals(condition)
                        || AmqpError.RESOURCE_LOCKED.equals(condition);
        return full ? Outcome.FULL : Outcome.ERROR;
    }

    /** Its connection or session is gone; opened: it may have had the attach. */
    void connectionLost(boolean opened) {
        if (state == State.ATTACHED) {
            endAttached(Outcome.RESET);
        } else if (state != State.ENDED) {
            endAttempt(state == State.ATTACHING && opened ? Outcome.RESET : Outcome.UNREACHABLE);
        }
    }

    /** It has something to send that its session's window has no room for. */
    void awaitSessionWindow() {
        if (state == State.ATTACHED) {
            session.addBlockedLink(this);
        }
    }

    /** A flow has come for it: its session's window may be open for others too. */
    void flowReceived() {
        if (state == State.ATTACHED) {
            session.resumeBlockedLinks();
        }
    }

    void resume() {
        if (state == State.ATTACHED) {
            owner.resume();
        }
    }

    @Override
    public void close() {
        loop.execute(
                () -> {
                    if (state == State.CONNECTING || state == State.ATTACHING) {
                        endAttempt(Outcome.CANCELLED);
                    }
                });
    }

    /**
     * Its client has ended or was moved: the backend's half ends too, and nothing is told of it.
     */
    void detach() {
        closeLink();
    }

    private void endAttached(Outcome outcome) {
        closeLink();
        owner.linkEnded(this, outcome);
    }

    private void endAttempt(Outcome outcome) {
        if (state == State.ENDED) {
            return;
        }
        closeLink(); // before the module may send the next one
        attempt.cancel();
        frontend.outcomeRecorder().attemptEnded(attempt, outcome);
    }

    private void cancelTimers() {
        if (connectTimer != null) {
            connectTimer.cancel();
            attachTimer.cancel();
            connectTimer = null;
            attachTimer = null;
        }
    }

    private void closeLink() {
        state = State.ENDED;
        cancelTimers();
        if (connection == null) {
            return;
        }
        connection.removeLink(this);
        boolean canSpeak = !connection.isClosed() && connection.canSendFrames();
        if (link != null && canSpeak) {
            link.close();
        }
        if (session != null) {
            session.removeLink(this, canSpeak);
        }
    }
}
