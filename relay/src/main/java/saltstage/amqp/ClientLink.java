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
    private static final int MAX_CONSECUTIVE_BACKEND_LOSSES = 6;

    private enum State {
        /** Its attach is not answered yet. */
        ATTACHING,
        /** It stands at a backend. */
        ESTABLISHED,
        /** Its backend was lost and it asks for another; its client notices nothing. */
        REATTACHING,
        /**
         * It is to be detached, once what is under way from its client has come and was answered.
         */
        DETACHING,
        /** Nothing is owed any more. */
        ENDED
    }

    private final AmqpFrontend frontend;
    private final AmqpClientConnection connection;
    private final Link<?> link;
    private final AttachMapper.AttachRequest attachRequest;
    private AttachMapper.MappedRequest mappedRequest;
    private State state = State.ATTACHING;
    private RequestContext context;
    private BackendLink backendLink;
    private ErrorCondition detachCondition;
    private int consecutiveBackendLosses;

    ClientLink(
            AmqpFrontend front,
            AmqpClientConnection owner,
            Link<?> link,
            AttachMapper.AttachRequest asked) {
        this.frontend = front;
        this.connection = owner;
        this.link = link;
        this.attachRequest = asked;
    }

    /** Begins: asks for a place, or is turned away at once. */
    final void start() {
        try {
            mappedRequest =
                    frontend.attachMapper().map(attachRequest, frontend.newRequestId(), false);
        } catch (AttachMapper.AttachRejectedException bad) {
            rejectAttach(bad.condition());
            return;
        }
        requestAdmission();
    }

    private void requestAdmission() {
        frontend.admissionControl()
                .admitFromFrontend(
                        this,
                        mappedRequest.attributes(),
                        mappedRequest.clientTimeout(),
                        taken -> context = taken);
    }

    /**
     * An attach that is not to be: answered without source or target, and detached with why
     * (2.6.3).
     */
    final void rejectAttach(ErrorCondition why) {
        state = State.ENDED;
        connection.removeLink(this);
        if (connection.canSendFrames()) {
            copyClientSettings();
            if (link.isReceiver()) {
                link.setTarget((Target) null);
            } else {
                link.setSource(null);
            }
            link.open();
            link.setCondition(why).close();
        }
    }

    private void copyClientSettings() {
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
        connection.loop().execute(() -> requestEnded(ErrorConditions.rejected(retryAfter)));
    }

    @Override
    public final void fail(String why) {
        connection.loop().execute(() -> requestEnded(ErrorConditions.failed(why)));
    }

    @Override
    public final void startAttempt(Attempt begun, Instant until) {
        connection
                .loop()
                .execute(
                        () -> {
                            if (state == State.ENDED || begun.context() != context) {
                                begun.cancel();
                                frontend.outcomeRecorder().attemptEnded(begun, Outcome.CANCELLED);
                            } else {
                                new BackendLink(frontend, connection.loop(), begun, until, this)
                                        .start(connection.backendPool());
                            }
                        });
    }

    @Override
    public final boolean move(Attempt up, String reason) {
        if (up.context().phase() != Phase.ESTABLISHED || !up.requestMove(reason)) {
            return false;
        }
        connection.loop().execute(() -> moveToOtherBackend(up, reason));
        return true;
    }

    @Override
    public final String remoteAddress() {
        return connection.remoteAddress();
    }

    // ---- on the loop

    /** The one final answer that is no place. */
    private void requestEnded(ErrorCondition why) {
        if (state == State.ATTACHING) {
            rejectAttach(why);
        } else if (state == State.REATTACHING) {
            detachWithoutBackend(why);
        }
    }

    /**
     * No place is left for a link that stood: what it holds is answered, and it is detached with
     * why.
     */
    private void detachWithoutBackend(ErrorCondition why) {
        completeDeliveries();
        startDetach(why);
    }

    /**
     * Takes its credit back before it is detached: what its client has sent until then would else
     * cross with the detach and get no outcome. A client that does not answer that is detached
     * after a while.
     */
    private void startDetach(ErrorCondition why) {
        state = State.DETACHING;
        detachCondition = why;
        drainCredit();
        connection.loop().schedule(frontend.settings().timeouts().settle(), this::finishDetach);
        detachIfSettled();
    }

    private void finishDetach() {
        if (state != State.DETACHING) {
            return;
        }
        BackendLink from = backendLink;
        backendLink = null;
        completeDeliveries();
        state = State.ENDED;
        if (from != null) {
            from.detach();
        }
        connection.removeLink(this);
        if (connection.canSendFrames()) {
            link.setCondition(detachCondition).close();
            onEnded();
        }
        if (from != null) {
            context.end(Phase.ESTABLISHED);
            frontend.countMoved();
            frontend.outcomeRecorder().connectionEnded(from.attempt(), Outcome.CANCELLED);
        }
    }

    @Override
    public final boolean linkAttached(BackendLink at) {
        if (state != State.ATTACHING && state != State.REATTACHING
                || at.attempt().context() != context
                || !frontend.outcomeRecorder().establish(at.attempt(), false)) {
            return false;
        }
        backendLink = at;
        if (state == State.ATTACHING) {
            answerAttach();
        }
        state = State.ESTABLISHED;
        onEstablished();
        return true;
    }

    /**
     * The attach is answered as the backend has answered it: its terminus, its capabilities, its
     * bounds.
     */
    private void answerAttach() {
        Link<?> far = backendEngineLink();
        copyClientSettings();
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
    protected final void copyAttachTo(Link<?> to) {
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
    public final void linkEnded(BackendLink at, Outcome outcome) {
        if (at != backendLink) {
            return;
        }
        backendLink = null;
        context.end(Phase.ESTABLISHED);
        frontend.outcomeRecorder().connectionEnded(at.attempt(), outcome);
        if (state == State.ENDED) {
            return;
        }
        onBackendLost();
        if (state == State.DETACHING) {
            completeDeliveries();
            detachIfSettled();
        } else if (!canReattach() || ++consecutiveBackendLosses > MAX_CONSECUTIVE_BACKEND_LOSSES) {
            detachWithoutBackend(ErrorConditions.moved("its backend was lost"));
        } else {
            reattach();
        }
    }

    private void reattach() {
        state = State.REATTACHING;
        frontend.countReattached();
        try {
            mappedRequest =
                    frontend.attachMapper().map(attachRequest, frontend.newRequestId(), true);
            requestAdmission();
        } catch (AttachMapper.AttachRejectedException changed) {
            detachWithoutBackend(changed.condition());
        }
    }

    /** The backend has given an outcome: it works, whatever was lost before. */
    protected final void outcomeReceived() {
        consecutiveBackendLosses = 0;
        detachIfSettled();
    }

    /** Something has ended: perhaps that was the last before a detach. */
    protected final void detachIfSettled() {
        if (state == State.DETACHING && isSettled()) {
            finishDetach();
        }
    }

    private void moveToOtherBackend(Attempt up, String reason) {
        if (state != State.ESTABLISHED || backendLink == null || backendLink.attempt() != up) {
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
            backendLink.connectionLost(
                    true); // nothing more will come from there: what waits goes elsewhere
            return;
        }
        startDetach(ErrorConditions.moved(reason));
    }

    /**
     * The client has detached, ended its session or lost its connection: nothing is owed any more.
     */
    final void clientLeft() {
        if (state == State.ENDED) {
            return;
        }
        state = State.ENDED;
        connection.removeLink(this);
        BackendLink from = backendLink;
        backendLink = null;
        if (from != null) {
            onClientLeft();
            from.detach();
            context.end(Phase.ESTABLISHED);
            frontend.outcomeRecorder().connectionEnded(from.attempt(), Outcome.SERVED);
        } else if (context != null && context.end(Phase.WAITING)) {
            frontend.outcomeRecorder().clientLeft(context);
        }
        if (connection.canSendFrames()) {
            if (!link.getSession().isRemotelyClosed()) { // else its end has ended its links, too
                link.close();
            }
            onEnded();
        }
    }

    /** A rule of the protocol is broken on this link alone: it is detached with why. */
    protected final void detachForViolation(ErrorCondition why) {
        Log.warn("amqp.link.broken", "from", remoteAddress(), "why", why.getDescription());
        if (connection.canSendFrames()) {
            link.setCondition(why).close();
        }
        clientLeft();
    }

    /** Time has passed. */
    void checkTimeouts(Instant now) {}

    protected final AmqpFrontend frontend() {
        return frontend;
    }

    protected final AmqpClientConnection connection() {
        return connection;
    }

    protected final BackendLink backendLink() {
        return backendLink;
    }

    protected final boolean isIdempotent() {
        return mappedRequest.idempotent();
    }

    protected final boolean isEnded() {
        return state == State.ENDED;
    }

    /** The client's session that it is on. */
    final Session session() {
        return link.getSession();
    }

    /** The try that stands, or null. */
    final Attempt establishedAttempt() {
        return backendLink == null ? null : backendLink.attempt();
    }

    /** The backend's half, once made. */
    protected abstract Link<?> backendEngineLink();

    /** It stands at a backend. */
    protected abstract void onEstablished();

    /** The backend that it stood at is lost. */
    protected abstract void onBackendLost();

    /** Whether it may go on at another backend without its client's doing. */
    protected abstract boolean canReattach();

    /** Takes nothing new from now on; it is to be moved. */
    protected abstract void drainCredit();

    /** The link is over; told once. */
    protected void onEnded() {}

    /** Whether nothing is under way, so that it can be moved. */
    protected abstract boolean isSettled();

    /** There will be no backend any more: all that is owed is answered now. */
    protected abstract void completeDeliveries();

    /** The client is gone; the backend's half still stands for this call. */
    protected abstract void onClientLeft();
}
