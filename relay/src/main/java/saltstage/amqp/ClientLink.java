package saltstage.amqp;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.apache.qpid.protonj2.engine.Link;
import org.apache.qpid.protonj2.engine.LinkState;
import org.apache.qpid.protonj2.engine.Session;
import org.apache.qpid.protonj2.engine.impl.ProtonRemoteAttach;
import org.apache.qpid.protonj2.engine.impl.ProtonWithdrawnLinks;
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
 * A client's link, which is a request until it is attached to a backend and an established
 * connection to that backend from then on. The pipeline that handles requests of the line protocol
 * also admits, rejects and moves links, and finds another backend for a link whose backend was
 * lost. All state belongs to the loop of the client's connection; calls from other threads are
 * passed to that loop.
 */
abstract class ClientLink implements ClientConnection, BackendLink.Owner {
    /**
     * Limit of backends lost in a row without an outcome in between. Beyond it, the link is
     * detached, as the messages of its client may be what makes the backends fail.
     */
    private static final int MAX_CONSECUTIVE_BACKEND_LOSSES = 6;

    private enum State {
        /** The client's attach has not been answered yet. */
        ATTACHING,
        /** The link is attached to a backend. */
        ESTABLISHED,
        /** The link's backend was lost and it waits for another; the client does not notice. */
        REATTACHING,
        /**
         * The link will be detached when all deliveries in flight from its client have arrived and
         * have an outcome.
         */
        DETACHING,
        /** The link has ended and nothing more is sent for it. */
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
            AmqpFrontend frontend,
            AmqpClientConnection connection,
            Link<?> link,
            AttachMapper.AttachRequest attachRequest) {
        this.frontend = frontend;
        this.connection = connection;
        this.link = link;
        this.attachRequest = attachRequest;
    }

    /** Requests admission, or rejects the attach if it cannot be mapped to a request. */
    final void start() {
        try {
            mappedRequest =
                    frontend.attachMapper().map(attachRequest, frontend.newRequestId(), false);
        } catch (AttachMapper.AttachRejectedException rejection) {
            rejectAttach(rejection.condition());
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
                        admitted -> context = admitted);
    }

    /**
     * Rejects the attach: answers it without source or target and detaches the link with the error
     * (2.6.3).
     */
    final void rejectAttach(ErrorCondition condition) {
        state = State.ENDED;
        connection.removeLink(this);
        if (connection.canSendFrames()) {
            openWithoutTerminus();
            link.setCondition(condition).close();
        }
    }

    private void openWithoutTerminus() {
        copyClientSettings();
        if (link.isReceiver()) {
            link.setTarget((Target) null);
        } else {
            link.setSource(null);
        }
        link.open();
    }

    private void copyClientSettings() {
        if (link.getState() == LinkState.IDLE) {
            link.setSource(link.getRemoteSource());
            Target target =
                    link.getRemoteTarget() instanceof Target messageTarget ? messageTarget : null;
            link.setTarget(target);
            link.setSenderSettleMode(link.getRemoteSenderSettleMode());
            link.setReceiverSettleMode(link.getRemoteReceiverSettleMode());
        }
    }

    @Override
    public final void reject(Duration retryAfter) {
        connection.loop().execute(() -> requestEnded(ErrorConditions.rejected(retryAfter)));
    }

    @Override
    public final void fail(String reason) {
        connection.loop().execute(() -> requestEnded(ErrorConditions.failed(reason)));
    }

    @Override
    public final void startAttempt(Attempt attempt, Instant deadline) {
        connection
                .loop()
                .execute(
                        () -> {
                            if (state == State.ENDED || attempt.context() != context) {
                                attempt.cancel();
                                frontend.outcomeRecorder().attemptEnded(attempt, Outcome.MOOT);
                            } else {
                                new BackendLink(
                                                frontend,
                                                connection.loop(),
                                                attempt,
                                                deadline,
                                                this)
                                        .start(connection.backendPool());
                            }
                        });
    }

    @Override
    public final boolean move(Attempt attempt, String reason) {
        if (attempt.context().phase() != Phase.ESTABLISHED || !attempt.requestMove(reason)) {
            return false;
        }
        connection.loop().execute(() -> moveToOtherBackend(attempt, reason));
        return true;
    }

    @Override
    public final String remoteAddress() {
        return connection.remoteAddress();
    }

    /** Ends a request that was rejected or has failed. */
    private void requestEnded(ErrorCondition condition) {
        if (state == State.ATTACHING) {
            rejectAttach(condition);
        } else if (state == State.REATTACHING) {
            detachWithoutBackend(condition);
        }
    }

    /**
     * Detaches a link that was established and has no backend left, after giving its deliveries
     * their outcomes.
     */
    private void detachWithoutBackend(ErrorCondition condition) {
        completeDeliveries();
        startDetach(condition);
    }

    /**
     * Withdraws the client's credit before the detach. Otherwise deliveries that the client has
     * just sent would cross with the detach and get no outcome. A client that does not answer the
     * drain is detached after the settle timeout.
     */
    private void startDetach(ErrorCondition condition) {
        state = State.DETACHING;
        detachCondition = condition;
        drainCredit();
        connection.loop().schedule(frontend.settings().timeouts().settle(), this::finishDetach);
        detachIfSettled();
    }

    private void finishDetach() {
        if (state != State.DETACHING) {
            return;
        }
        BackendLink previousLink = backendLink;
        backendLink = null;
        completeDeliveries();
        state = State.ENDED;
        if (previousLink != null) {
            previousLink.detach();
        }
        connection.removeLink(this);
        if (connection.canSendFrames()) {
            link.setCondition(detachCondition).close();
            onEnded();
        }
        if (previousLink != null) {
            context.end(Phase.ESTABLISHED);
            frontend.countMoved();
            frontend.outcomeRecorder().connectionEnded(previousLink.attempt(), Outcome.CANCELLED);
        }
    }

    @Override
    public final int attachBytes() {
        return ProtonRemoteAttach.encodedBytes(link);
    }

    @Override
    public final boolean linkAttached(BackendLink attachedLink) {
        if (state != State.ATTACHING && state != State.REATTACHING
                || attachedLink.attempt().context() != context
                || !frontend.outcomeRecorder().establish(attachedLink.attempt(), false)) {
            return false;
        }
        backendLink = attachedLink;
        if (state == State.ATTACHING) {
            answerAttach();
        }
        state = State.ESTABLISHED;
        onEstablished();
        return true;
    }

    /** Answers the client's attach with the backend's terminus, capabilities and limits. */
    private void answerAttach() {
        Link<?> backendSide = backendEngineLink();
        copyClientSettings();
        Source source = backendSide.getRemoteSource();
        Target target = backendSide.getRemoteTarget();
        if (source != null) {
            link.setSource(source);
        }
        if (target != null) {
            link.setTarget(target);
        }
        link.setSenderSettleMode(backendSide.getRemoteSenderSettleMode())
                .setReceiverSettleMode(backendSide.getRemoteReceiverSettleMode())
                .setMaxMessageSize(backendSide.getRemoteMaxMessageSize());
        Symbol[] offeredCapabilities = backendSide.getRemoteOfferedCapabilities();
        if (offeredCapabilities != null) {
            link.setOfferedCapabilities(offeredCapabilities);
        }
        Map<Symbol, Object> properties = backendSide.getRemoteProperties();
        if (properties != null) {
            link.setProperties(properties);
        }
        link.open();
    }

    /** Copies the client's attach to the given link to the backend. */
    protected final void copyAttachTo(Link<?> backendSide) {
        Target target =
                link.getRemoteTarget() instanceof Target messageTarget ? messageTarget : null;
        backendSide.setSource(link.getRemoteSource());
        backendSide.setTarget(target);
        backendSide
                .setSenderSettleMode(link.getRemoteSenderSettleMode())
                .setReceiverSettleMode(link.getRemoteReceiverSettleMode())
                .setMaxMessageSize(link.getRemoteMaxMessageSize())
                .setDesiredCapabilities(link.getRemoteDesiredCapabilities())
                .setOfferedCapabilities(link.getRemoteOfferedCapabilities())
                .setProperties(link.getRemoteProperties());
    }

    @Override
    public final void linkEnded(BackendLink endedLink, Outcome outcome) {
        if (endedLink != backendLink) {
            return;
        }
        backendLink = null;
        context.end(Phase.ESTABLISHED);
        frontend.outcomeRecorder().connectionEnded(endedLink.attempt(), outcome);
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
        } catch (AttachMapper.AttachRejectedException rejection) {
            detachWithoutBackend(rejection.condition());
        }
    }

    /**
     * Called when the backend has returned an outcome, which shows that it works and ends a series
     * of losses.
     */
    protected final void outcomeReceived() {
        consecutiveBackendLosses = 0;
        detachIfSettled();
    }

    /** Finishes a pending detach if nothing is outstanding any more. */
    protected final void detachIfSettled() {
        if (state == State.DETACHING && isSettled()) {
            finishDetach();
        }
    }

    private void moveToOtherBackend(Attempt attempt, String reason) {
        if (state != State.ESTABLISHED || backendLink == null || backendLink.attempt() != attempt) {
            return;
        }
        Log.info(
                "relay.move",
                "why",
                reason,
                "peer",
                attempt.backend().entry().uid(),
                "id",
                attempt.context().attributes().clientRequestId());
        if (reason.startsWith("peer")) {
            backendLink.connectionLost(true); // the backend will not answer any more: reattach now
            return;
        }
        startDetach(ErrorConditions.moved(reason));
    }

    /** Ends the link after the client has detached, ended its session or lost its connection. */
    final void clientLeft() {
        if (state == State.ENDED) {
            return;
        }
        state = State.ENDED;
        connection.removeLink(this);
        BackendLink previousLink = backendLink;
        backendLink = null;
        if (previousLink != null) {
            onClientLeft();
            previousLink.detach();
            context.end(Phase.ESTABLISHED);
            frontend.outcomeRecorder().connectionEnded(previousLink.attempt(), Outcome.SERVED);
        } else if (context != null && context.end(Phase.WAITING)) {
            frontend.outcomeRecorder().clientLeft(context);
        }
        if (connection.canSendFrames()) {
            if (!link.getSession().isRemotelyClosed()) { // the end of a session ends its links, too
                endEngineLink();
            }
            onEnded();
        }
    }

    private void endEngineLink() {
        if (link.getState() == LinkState.IDLE) {
            ProtonWithdrawnLinks.answer(link);
        } else {
            link.close();
        }
    }

    /** Detaches the link with an error after a protocol violation that concerns this link alone. */
    protected final void detachForViolation(ErrorCondition condition) {
        Log.warn("amqp.link.broken", "from", remoteAddress(), "why", condition.getDescription());
        if (connection.canSendFrames()) {
            if (link.getState() == LinkState.IDLE) {
                openWithoutTerminus();
            }
            link.setCondition(condition).close();
        }
        clientLeft();
    }

    /** Checks the timeouts of the link's deliveries. */
    void checkTimeouts(Instant now) {}

    /** Releases memory that the link can do without, as its client holds more than its share. */
    void releaseMemory() {}

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

    /** The client's session that contains the link. */
    final Session session() {
        return link.getSession();
    }

    /** The established attempt, or null. */
    final Attempt establishedAttempt() {
        return backendLink == null ? null : backendLink.attempt();
    }

    /** The link to the backend, or null before it was created. */
    protected abstract Link<?> backendEngineLink();

    /** Called when the link has been attached to a backend. */
    protected abstract void onEstablished();

    /** Called when the backend of the established link was lost. */
    protected abstract void onBackendLost();

    /** Whether the link can continue at another backend without the client attaching again. */
    protected abstract boolean canReattach();

    /** Withdraws the sending side's credit, so that no new deliveries come before the detach. */
    protected abstract void drainCredit();

    /** Called once when the link has ended. */
    protected void onEnded() {}

    /** Whether no delivery and no credit is outstanding, so that the link can be detached. */
    protected abstract boolean isSettled();

    /** Gives the remaining deliveries their outcomes, as no backend will follow. */
    protected abstract void completeDeliveries();

    /** Called when the client has left, before the link to the backend is detached. */
    protected abstract void onClientLeft();
}
