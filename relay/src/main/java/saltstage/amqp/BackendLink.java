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
        Link<?> make(Session session, Peering on, String name);

        /** The key of the session that it may share with others, or null. */
        Object sessionKey();

        /** The backend has attached it; false where nobody wants it any more. */
        boolean up(BackendLink link);

        /** It stood and is over. */
        void over(BackendLink link, Outcome outcome);

        /** There is room on its connection again. */
        void roomAgain();
    }

    private enum State {
        CONNECTING,
        ATTACHING,
        UP,
        DONE
    }

    private final AmqpFront front;
    private final Attempt begun;
    private final Owner owner;
    private final Loop loop;
    private final Instant until;
    private BackendPeering peering;
    private BackendSession session;
    private Link<?> link;
    private State state = State.CONNECTING;

    /** What ends it where it takes too long; a link that stands or is over keeps none. */
    private Loop.Timer connects;

    private Loop.Timer attaches;

    BackendLink(AmqpFront front, Loop loop, Attempt begun, Instant until, Owner owner) {
        this.front = front;
        this.loop = loop;
        this.begun = begun;
        this.until = until;
        this.owner = owner;
    }

    /** Begins; on its loop. */
    void begin(BackendPool pool) {
        try {
            begun.connectionOpened(this);
        } catch (IOException givenUp) {
            done(Outcome.CANCELLED);
            return;
        }
        Duration left = Duration.between(front.now(), until);
        Duration connect = front.config().connectTimeout();
        if (left.isNegative() || left.isZero() || !begun.backend().canAcceptRequests()) {
            done(Outcome.UNREACHABLE);
            return;
        }
        Duration within = connect.compareTo(left) < 0 ? connect : left;
        connects =
                loop.schedule(
                        within,
                        () -> {
                            if (state == State.CONNECTING) {
                                done(Outcome.UNREACHABLE);
                            }
                        });
        attaches =
                loop.schedule(
                        left,
                        () -> {
                            if (state == State.ATTACHING) {
                                done(Outcome.TIMEOUT);
                            }
                        });
        pool.attach(this, within);
    }

    Backend peer() {
        return begun.backend();
    }

    Attempt begun() {
        return begun;
    }

    /** Whether it stands and its connection is there. */
    boolean isUp() {
        return state == State.UP;
    }

    /** Whether its connection takes more bytes. */
    boolean writable() {
        return state == State.UP && peering.writable();
    }

    void on(BackendPeering on) {
        peering = on;
    }

    void unreachable() {
        done(Outcome.UNREACHABLE);
    }

    /** Its connection is open: it attaches, unless that is too late by now. */
    void connected() {
        if (state != State.CONNECTING) {
            return;
        }
        // Connecting takes time: the backend may have been told to drain, or the request's time be
        // up.
        if (!begun.backend().canAcceptRequests() || !front.now().isBefore(until)) {
            done(Outcome.UNREACHABLE);
            return;
        }
        try {
            session = peering.session(owner.sessionKey());
        } catch (
                IllegalStateException
                        full) { // the backend allows no more sessions on this connection
            done(Outcome.UNREACHABLE);
            return;
        }
        state = State.ATTACHING;
        session.enter(this);
        // Names are unique for a pair of containers (2.6.1), and the relay is one container to the
        // backend:
        // two clients that chose the same name must not take each other's link.
        link =
                owner.make(
                        session.session(), peering, begun.context().attributes().clientRequestId());
        link.closeHandler(ended -> detached(ended.getRemoteCondition()))
                .detachHandler(ended -> detached(ended.getRemoteCondition()))
                .openHandler(opened -> attached());
        link.open();
    }

    private void attached() {
        boolean refused =
                link.isSender() ? link.getRemoteTarget() == null : link.getRemoteSource() == null;
        if (state != State.ATTACHING || refused) {
            return; // a detach that says why is on its way (2.6.3)
        }
        state = State.UP;
        endTimers();
        if (!owner.up(this)) {
            done(Outcome.CANCELLED);
        }
    }

    private void detached(ErrorCondition why) {
        if (state == State.ATTACHING) {
            done(outcome(why));
        } else if (state == State.UP) {
            Log.info(
                    "amqp.link.detached",
                    "peer",
                    peer().entry().uid(),
                    "name",
                    begun.context().attributes().clientRequestId(),
                    "why",
                    why == null ? "none" : why.getCondition());
            over(why == null ? Outcome.SERVED : Outcome.RESET);
        }
    }

    /**
     * A backend that is full says so in the condition of the specification; all else is an error.
     */
    static Outcome outcome(ErrorCondition why) {
        Symbol condition = why == null ? null : why.getCondition();
        boolean full =
                AmqpError.RESOURCE_LIMIT_EXCEEDED.equals(condition)
                        || AmqpError.RESOURCE_LOCKED.equals(condition);
        return full ? Outcome.FULL : Outcome.ERROR;
    }

    /** Its connection or session is gone; opened: it may have had the attach. */
    void lost(boolean opened) {
        if (state == State.UP) {
            over(Outcome.RESET);
        } else if (state != State.DONE) {
            done(state == State.ATTACHING && opened ? Outcome.RESET : Outcome.UNREACHABLE);
        }
    }

    /** It has something to send that its session's window has no room for. */
    void heldUp() {
        if (state == State.UP) {
            session.heldUp(this);
        }
    }

    /** A flow has come for it: its session's window may be open for others too. */
    void flowed() {
        if (state == State.UP) {
            session.mayHaveRoom();
        }
    }

    void roomAgain() {
        if (state == State.UP) {
            owner.roomAgain();
        }
    }

    @Override
    public void close() {
        loop.execute(
                () -> {
                    if (state == State.CONNECTING || state == State.ATTACHING) {
                        done(Outcome.CANCELLED);
                    }
                });
    }

    /**
     * Its client has ended or was moved: the backend's half ends too, and nothing is told of it.
     */
    void end() {
        shut();
    }

    private void over(Outcome outcome) {
        shut();
        owner.over(this, outcome);
    }

    private void done(Outcome outcome) {
        if (state == State.DONE) {
            return;
        }
        shut(); // before the module may send the next one
        begun.cancel();
        front.book().attemptEnded(begun, outcome);
    }

    private void endTimers() {
        if (connects != null) {
            connects.cancel();
            attaches.cancel();
            connects = null;
            attaches = null;
        }
    }

    private void shut() {
        state = State.DONE;
        endTimers();
        if (peering == null) {
            return;
        }
        peering.detached(this);
        boolean canSpeak = !peering.over() && peering.engineRuns();
        if (link != null && canSpeak) {
            link.close();
        }
        if (session != null) {
            session.leave(this, canSpeak);
        }
    }
}
