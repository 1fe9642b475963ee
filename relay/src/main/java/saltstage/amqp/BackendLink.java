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
 * One attempt: a link to a backend. It shares its session only with links of the same client
 * session, so that a backend that reads nothing blocks this client and no other. It ends exactly
 * once: the backend is unreachable, rejects the attach or times out, or the connection is reset, or
 * the attached link ends.
 */
final class BackendLink implements BackendConnection {
    /** The client's side of the link. */
    interface Owner {
        /** Creates the link on the session with its handlers, without opening it. */
        Link<?> createLink(Session session, AmqpConnection connection, String name);

        /** Returns the key of the sessions that the link may share, or null if it needs its own. */
        Object sessionKey();

        /** Returns the size of the attach that {@link #createLink} prepares, without its name. */
        int attachBytes();

        /** The backend has attached the link. Returns false if the client no longer wants it. */
        boolean linkAttached(BackendLink attachedLink);

        /** The link was attached and has ended. */
        void linkEnded(BackendLink endedLink, Outcome outcome);

        /** The connection or the session window may have room again. */
        void resume();
    }

    /** The frame's header, and what the engine may encode longer than it was received. */
    private static final int FRAME_OVERHEAD_BYTES = 64;

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

    /**
     * Ends an attempt that cannot connect in time. Both timers are null once the link is attached
     * or ended.
     */
    private Loop.Timer connectTimer;

    /** Ends an attempt whose attach is not answered in time. */
    private Loop.Timer attachTimer;

    BackendLink(AmqpFrontend frontend, Loop loop, Attempt attempt, Instant deadline, Owner owner) {
        this.frontend = frontend;
        this.loop = loop;
        this.attempt = attempt;
        this.deadline = deadline;
        this.owner = owner;
    }

    /** Starts the attempt. Called on the loop of the link. */
    void start(BackendConnectionPool pool) {
        try {
            attempt.connectionOpened(this);
        } catch (IOException cancelled) {
            endAttempt(Outcome.MOOT);
            return;
        }
        Duration remaining = Duration.between(frontend.now(), deadline);
        Duration connectTimeout = frontend.config().connectTimeout();
        if (remaining.isNegative()
                || remaining.isZero()
                || !attempt.backend().canAcceptRequests()) {
            endAttempt(Outcome.UNREACHABLE);
            return;
        }
        Duration timeout = connectTimeout.compareTo(remaining) < 0 ? connectTimeout : remaining;
        connectTimer =
                loop.schedule(
                        timeout,
                        () -> {
                            if (state == State.CONNECTING) {
                                endAttempt(Outcome.UNREACHABLE);
                            }
                        });
        attachTimer =
                loop.schedule(
                        remaining,
                        () -> {
                            if (state == State.ATTACHING) {
                                endAttempt(Outcome.TIMEOUT);
                            }
                        });
        pool.attach(this, timeout);
    }

    Backend backend() {
        return attempt.backend();
    }

    Attempt attempt() {
        return attempt;
    }

    /** Returns whether the link is attached. */
    boolean isAttached() {
        return state == State.ATTACHED;
    }

    /** Returns whether the link is attached and its connection accepts more bytes. */
    boolean isWritable() {
        return state == State.ATTACHED && connection.isWritable();
    }

    void setConnection(AmqpBackendConnection newConnection) {
        connection = newConnection;
    }

    void connectFailed() {
        endAttempt(Outcome.UNREACHABLE);
    }

    /**
     * The connection is open: attaches, unless the deadline has passed or the backend is draining.
     */
    void connectionOpened() {
        if (state != State.CONNECTING) {
            return;
        }
        // While the connection was being established, the backend may have begun to drain or the
        // deadline may have passed.
        // A backend that reads nothing gets no more attaches, whose frames would pile up.
        if (!attempt.backend().canAcceptRequests()
                || !frontend.now().isBefore(deadline)
                || !connection.isWritable()) {
            endAttempt(Outcome.UNREACHABLE);
            return;
        }
        String name = attempt.context().attributes().clientRequestId();
        int attachBytes = owner.attachBytes() + name.length() + FRAME_OVERHEAD_BYTES;
        if (attachBytes > connection.maxFrameBytes()) {
            Log.warn(
                    "amqp.attach.large",
                    "peer",
                    backend().entry().uid(),
                    "bytes",
                    attachBytes,
                    "limit",
                    connection.maxFrameBytes());
            endAttempt(Outcome.MOOT);
            return;
        }
        try {
            session = connection.sessionFor(owner.sessionKey());
        } catch (IllegalStateException tooManySessions) { // the backend's session limit is reached
            endAttempt(Outcome.UNREACHABLE);
            return;
        }
        state = State.ATTACHING;
        session.addLink(this);
        // Link names are unique for a pair of containers (2.6.1), and the relay is one container to
        // the backend. Two clients that chose the same name must not take over each other's link.
        link = owner.createLink(session.session(), connection, name);
        link.closeHandler(ended -> detachReceived(ended.getRemoteCondition()))
                .detachHandler(ended -> detachReceived(ended.getRemoteCondition()))
                .openHandler(opened -> attachReceived());
        link.open();
    }

    private void attachReceived() {
        boolean rejected =
                link.isSender() ? link.getRemoteTarget() == null : link.getRemoteSource() == null;
        if (state != State.ATTACHING || rejected) {
            return; // a detach that gives the reason follows (2.6.3)
        }
        state = State.ATTACHED;
        cancelTimers();
        if (!owner.linkAttached(this)) {
            endAttempt(Outcome.MOOT);
        }
    }

    private void detachReceived(ErrorCondition error) {
        if (state == State.ATTACHING) {
            endAttempt(outcomeOf(error));
        } else if (state == State.ATTACHED) {
            Log.info(
                    "amqp.link.detached",
                    "peer",
                    backend().entry().uid(),
                    "name",
                    attempt.context().attributes().clientRequestId(),
                    "why",
                    error == null ? "none" : error.getCondition());
            endAttached(error == null ? Outcome.SERVED : Outcome.RESET);
        }
    }

    /**
     * Maps the condition of a detach to an outcome: the two resource conditions of the
     * specification mean that the backend is overloaded, any other is an error.
     */
    static Outcome outcomeOf(ErrorCondition error) {
        Symbol condition = error == null ? null : error.getCondition();
        boolean overloaded =
                AmqpError.RESOURCE_LIMIT_EXCEEDED.equals(condition)
                        || AmqpError.RESOURCE_LOCKED.equals(condition);
        return overloaded ? Outcome.FULL : Outcome.ERROR;
    }

    /**
     * The connection or the session has ended.
     *
     * @param opened whether the connection was open, so that the backend may have received the
     *     attach
     */
    void connectionLost(boolean opened) {
        if (state == State.ATTACHED) {
            endAttached(Outcome.RESET);
        } else if (state != State.ENDED) {
            endAttempt(state == State.ATTACHING && opened ? Outcome.RESET : Outcome.UNREACHABLE);
        }
    }

    /** Registers the link to be resumed when the session window, which is full, opens again. */
    void awaitSessionWindow() {
        if (state == State.ATTACHED) {
            session.addBlockedLink(this);
        }
    }

    /**
     * A flow frame was received for this link. It may have opened the window for the session's
     * other links.
     */
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

    /**
     * Ends an attempt that the client no longer waits for. An attach that nobody waits for has no
     * effect and says nothing about its backend, so that clients which attach and detach at once do
     * not make the load balancer reject others.
     */
    @Override
    public void close() {
        loop.execute(
                () -> {
                    if (state == State.CONNECTING || state == State.ATTACHING) {
                        endAttempt(Outcome.MOOT);
                    }
                });
    }

    /** Ends the link without notifying its owner, because the client has left or was moved. */
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
        closeLink(); // before the load balancer may start the next attempt
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
        boolean canSendFrames = !connection.isClosed() && connection.canSendFrames();
        if (link != null && canSendFrames) {
            link.close();
        }
        if (session != null) {
            session.removeLink(this, canSendFrames);
        }
    }
}
