package saltstage.amqp;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.apache.qpid.protonj2.engine.Link;
import org.apache.qpid.protonj2.engine.LinkState;
import org.apache.qpid.protonj2.engine.Session;
import org.apache.qpid.protonj2.types.Symbol;
import org.apache.qpid.protonj2.types.messaging.Source;
import org.apache.qpid.protonj2.types.messaging.Target;
import org.apache.qpid.protonj2.types.transport.ErrorCondition;
import saltstage.Api.Outcome;
import saltstage.log.Log;
import saltstage.session.Attempt;
import saltstage.session.ClientConnection;
import saltstage.session.RequestContext;
import saltstage.session.RequestContext.Phase;

/**
 * A client's link, which is a request until it stands and a connection at a backend from then on.
 * It is placed, answered, moved and, where its backend is lost, placed anew through the same stages
 * as a line's. All state is the loop's of its connection; calls from elsewhere are handed over to
 * it.
 */
abstract class ClientLink implements ClientConnection, BackendLink.Owner {
    /**
     * Backends lost one after the other without one outcome between: the fault may lie in what it
     * sends.
     */
    private static final int MOST_LOST = 6;

    private enum State {
        /** Its attach is not answered yet. */
        PLACING,
        /** It stands at a backend. */
        STANDING,
        /** Its backend was lost and it asks for another; its client notices nothing. */
        REPLACING,
        /**
         * It is to be detached, once what is under way from its client has come and was answered.
         */
        CLOSING,
        /** Nothing is owed any more. */
        ENDED
    }

    private final AmqpFront front;
    private final ClientPeering owner;
    private final Link<?> link;
    private final Mapping.Asked asked;
    private Mapping.Mapped mapped;
    private State state = State.PLACING;
    private RequestContext context;
    private BackendLink backend;
    private ErrorCondition closeFor;
    private int lost;

    ClientLink(AmqpFront front, ClientPeering owner, Link<?> link, Mapping.Asked asked) {
        this.front = front;
        this.owner = owner;
        this.link = link;
        this.asked = asked;
    }

    /** Begins: asks for a place, or is turned away at once. */
    final void begin() {
        try {
            mapped = front.mapping().map(asked, front.newName(), false);
        } catch (Mapping.Unmapped bad) {
            turnAway(bad.condition());
            return;
        }
        ask();
    }

    private void ask() {
        front.admit()
                .admitFromFrontend(
                        this, mapped.terms(), mapped.patience(), taken -> context = taken);
    }

    /**
     * An attach that is not to be: answered without source or target, and detached with why
     * (2.6.3).
     */
    final void turnAway(ErrorCondition why) {
        state = State.ENDED;
        owner.detached(this);
        if (owner.engineRuns()) {
            answerSettings();
            if (link.isReceiver()) {
                link.setTarget((Target) null);
            } else {
                link.setSource(null);
            }
            link.open();
            link.setCondition(why).close();
        }
    }

    private void answerSettings() {
        if (link.getState() == LinkState.IDLE) {
            link.setSource(link.getRemoteSource());
            Target target = link.getRemoteTarget() instanceof Target plain ? plain : null;
            link.setTarget(target);
            link.setSenderSettleMode(link.getRemoteSenderSettleMode());
            link.setReceiverSettleMode(link.getRemoteReceiverSettleMode());
        }
    }

    // ---- the client's side of the stages; from any thread

    @Override
    public final void reject(Duration retryAfter) {
        owner.loop().execute(() -> answered(Errors.refused(retryAfter)));
    }

    @Override
    public final void fail(String why) {
        owner.loop().execute(() -> answered(Errors.failed(why)));
    }

    @Override
    public final void startAttempt(Attempt begun, Instant until) {
        owner.loop()
                .execute(
                        () -> {
                            if (state == State.ENDED || begun.context() != context) {
                                begun.cancel();
                                front.book().attemptEnded(begun, Outcome.CANCELLED);
                            } else {
                                new BackendLink(front, owner.loop(), begun, until, this)
                                        .begin(owner.pool());
                            }
                        });
    }

    @Override
    public final boolean move(Attempt up, String reason) {
        if (up.context().phase() != Phase.ESTABLISHED || !up.requestMove(reason)) {
            return false;
        }
        owner.loop().execute(() -> moving(up, reason));
        return true;
    }

    @Override
    public final String remoteAddress() {
        return owner.remote();
    }

    // ---- on the loop

    /** The one final answer that is no place. */
    private void answered(ErrorCondition why) {
        if (state == State.PLACING) {
            turnAway(why);
        } else if (state == State.REPLACING) {
            giveUp(why);
        }
    }

    /**
     * No place is left for a link that stood: what it holds is answered, and it is detached with
     * why.
     */
    private void giveUp(ErrorCondition why) {
        unplaced();
        close(why);
    }

    /**
     * Takes its credit back before it is detached: what its client has sent until then would else
     * cross with the detach and get no outcome. A client that does not answer that is detached
     * after a while.
     */
    private void close(ErrorCondition why) {
        state = State.CLOSING;
        closeFor = why;
        stopTaking();
        owner.loop().schedule(front.settings().timeouts().settle(), this::finish);
        progress();
    }

    private void finish() {
        if (state != State.CLOSING) {
            return;
        }
        BackendLink from = backend;
        backend = null;
        unplaced();
        state = State.ENDED;
        if (from != null) {
            from.end();
        }
        owner.detached(this);
        if (owner.engineRuns()) {
            link.setCondition(closeFor).close();
            ends();
        }
        if (from != null) {
            context.end(Phase.ESTABLISHED);
            front.movedOne();
            front.book().connectionEnded(from.begun(), Outcome.CANCELLED);
        }
    }

    @Override
    public final boolean up(BackendLink at) {
        if (state != State.PLACING && state != State.REPLACING
                || at.begun().context() != context
                || !front.book().establish(at.begun(), false)) {
            return false;
        }
        backend = at;
        if (state == State.PLACING) {
            answerAttach();
        }
        state = State.STANDING;
        stands();
        return true;
    }

    /**
     * The attach is answered as the backend has answered it: its terminus, its capabilities, its
     * bounds.
     */
    private void answerAttach() {
        Link<?> far = backendLink();
        answerSettings();
        Source source = far.getRemoteSource();
        Target target = far.getRemoteTarget();
        if (source != null) {
            link.setSource(source);
        }
        if (target != null) {
            link.setTarget(target);
        }
        link.setSenderSettleMode(far.getRemoteSenderSettleMode())
                .setReceiverSettleMode(far.getRemoteReceiverSettleMode())
                .setMaxMessageSize(far.getRemoteMaxMessageSize());
        Symbol[] offered = far.getRemoteOfferedCapabilities();
        if (offered != null) {
            link.setOfferedCapabilities(offered);
        }
        Map<Symbol, Object> properties = far.getRemoteProperties();
        if (properties != null) {
            link.setProperties(properties);
        }
        link.open();
    }

    /** What the client asks for, said to the backend. */
    protected final void copyAsked(Link<?> to) {
        Target target = link.getRemoteTarget() instanceof Target plain ? plain : null;
        to.setSource(link.getRemoteSource());
        to.setTarget(target);
        to.setSenderSettleMode(link.getRemoteSenderSettleMode())
                .setReceiverSettleMode(link.getRemoteReceiverSettleMode())
                .setMaxMessageSize(link.getRemoteMaxMessageSize())
                .setDesiredCapabilities(link.getRemoteDesiredCapabilities())
                .setOfferedCapabilities(link.getRemoteOfferedCapabilities())
                .setProperties(link.getRemoteProperties());
    }

    @Override
    public final void over(BackendLink at, Outcome outcome) {
        if (at != backend) {
            return;
        }
        backend = null;
        context.end(Phase.ESTABLISHED);
        front.book().connectionEnded(at.begun(), outcome);
        if (state == State.ENDED) {
            return;
        }
        lost();
        if (state == State.CLOSING) {
            unplaced();
            progress();
        } else if (!canBeReplaced() || ++lost > MOST_LOST) {
            giveUp(Errors.moved("its backend was lost"));
        } else {
            replace();
        }
    }

    private void replace() {
        state = State.REPLACING;
        front.replaced();
        try {
            mapped = front.mapping().map(asked, front.newName(), true);
            ask();
        } catch (Mapping.Unmapped changed) {
            giveUp(changed.condition());
        }
    }

    /** The backend has given an outcome: it works, whatever was lost before. */
    protected final void works() {
        lost = 0;
        progress();
    }

    /** Something has ended: perhaps that was the last before a detach. */
    protected final void progress() {
        if (state == State.CLOSING && isSettled()) {
            finish();
        }
    }

    private void moving(Attempt up, String reason) {
        if (state != State.STANDING || backend == null || backend.begun() != up) {
            return;
        }
        Log.info(
                "relay.move",
                "why",
                reason,
                "peer",
                up.backend().entry().uid(),
                "id",
                up.context().attributes().clientRequestId());
        if (reason.startsWith("peer")) {
            backend.lost(true); // nothing more will come from there: what waits goes elsewhere
            return;
        }
        close(Errors.moved(reason));
    }

    /**
     * The client has detached, ended its session or lost its connection: nothing is owed any more.
     */
    final void clientLeft() {
        if (state == State.ENDED) {
            return;
        }
        state = State.ENDED;
        owner.detached(this);
        BackendLink from = backend;
        backend = null;
        if (from != null) {
            left();
            from.end();
            context.end(Phase.ESTABLISHED);
            front.book().connectionEnded(from.begun(), Outcome.SERVED);
        } else if (context != null && context.end(Phase.WAITING)) {
            front.book().clientLeft(context);
        }
        if (owner.engineRuns()) {
            if (!link.getSession().isRemotelyClosed()) { // else its end has ended its links, too
                link.close();
            }
            ends();
        }
    }

    /** A rule of the protocol is broken on this link alone: it is detached with why. */
    protected final void breaks(ErrorCondition why) {
        Log.warn("amqp.link.broken", "from", remoteAddress(), "why", why.getDescription());
        if (owner.engineRuns()) {
            link.setCondition(why).close();
        }
        clientLeft();
    }

    /** Time has passed. */
    void beat(Instant now) {}

    protected final AmqpFront front() {
        return front;
    }

    protected final ClientPeering owner() {
        return owner;
    }

    protected final BackendLink backend() {
        return backend;
    }

    protected final boolean repeatable() {
        return mapped.repeatable();
    }

    protected final boolean ended() {
        return state == State.ENDED;
    }

    /** The client's session that it is on. */
    final Session session() {
        return link.getSession();
    }

    /** The try that stands, or null. */
    final Attempt standing() {
        return backend == null ? null : backend.begun();
    }

    /** The backend's half, once made. */
    protected abstract Link<?> backendLink();

    /** It stands at a backend. */
    protected abstract void stands();

    /** The backend that it stood at is lost. */
    protected abstract void lost();

    /** Whether it may go on at another backend without its client's doing. */
    protected abstract boolean canBeReplaced();

    /** Takes nothing new from now on; it is to be moved. */
    protected abstract void stopTaking();

    /** The link is over; told once. */
    protected void ends() {}

    /** Whether nothing is under way, so that it can be moved. */
    protected abstract boolean isSettled();

    /** There will be no backend any more: all that is owed is answered now. */
    protected abstract void unplaced();

    /** The client is gone; the backend's half still stands for this call. */
    protected abstract void left();
}
