package saltstage.amqp;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.qpid.protonj2.buffer.ProtonBuffer;
import org.apache.qpid.protonj2.engine.EmptyEnvelope;
import org.apache.qpid.protonj2.engine.Engine;
import org.apache.qpid.protonj2.engine.EngineFactory;
import org.apache.qpid.protonj2.engine.EngineHandler;
import org.apache.qpid.protonj2.engine.EngineHandlerContext;
import org.apache.qpid.protonj2.engine.IncomingAMQPEnvelope;
import org.apache.qpid.protonj2.engine.Link;
import org.apache.qpid.protonj2.engine.Receiver;
import org.apache.qpid.protonj2.engine.Sender;
import org.apache.qpid.protonj2.engine.Session;
import org.apache.qpid.protonj2.engine.exceptions.ProtocolViolationException;
import org.apache.qpid.protonj2.engine.impl.ProtonConstants;
import org.apache.qpid.protonj2.engine.impl.ProtonFlowControl;
import org.apache.qpid.protonj2.engine.impl.ProtonRemoteAttach;
import org.apache.qpid.protonj2.engine.sasl.SaslOutcome;
import org.apache.qpid.protonj2.engine.sasl.SaslServerContext;
import org.apache.qpid.protonj2.engine.sasl.SaslServerListener;
import org.apache.qpid.protonj2.types.Symbol;
import org.apache.qpid.protonj2.types.messaging.Source;
import org.apache.qpid.protonj2.types.messaging.Target;
import org.apache.qpid.protonj2.types.transactions.Coordinator;
import org.apache.qpid.protonj2.types.transport.AMQPHeader;
import org.apache.qpid.protonj2.types.transport.ErrorCondition;
import org.apache.qpid.protonj2.types.transport.LinkError;
import saltstage.config.AmqpSettings;
import saltstage.log.Log;
import saltstage.net.Connection;

/** A client's connection: its authentication, its sessions and links, and the limits on them. */
final class AmqpClientConnection extends AmqpConnection {
    private static final Symbol ANONYMOUS = Symbol.valueOf("ANONYMOUS");
    private static final Symbol PLAIN = Symbol.valueOf("PLAIN");
    private static final int HEADER_BYTES = 8;
    private static final int PROTOCOL_ID_INDEX = 4;

    /**
     * Limit of empty frames, which serve only as heartbeats; a client that sends more is flooding
     * the relay.
     */
    private static final int MAX_EMPTY_FRAMES_PER_SECOND = 100;

    /** Limit of transfers that carry a small part of a delivery, each of which costs a frame. */
    private static final int MAX_SMALL_TRANSFERS_PER_SECOND = 1_000;

    /** The smallest frame size that a peer may ask for (2.4.1): no peer has to send less. */
    static final int SMALL_TRANSFER_BYTES = 512 - 128;

    private static final int MAX_PLAIN_RESPONSE_BYTES = 1_024;
    private static final Duration FAILED_LOGIN_CLOSE_DELAY = Duration.ofMillis(500);

    private final AmqpFrontend frontend;
    private final BackendConnectionPool backendPool;
    private final AmqpSettings settings;
    private final String remoteAddress;
    private final Set<ClientLink> links = new LinkedHashSet<>();
    private final boolean overLimit;
    private byte[] protocolHeader = {};
    private String user;
    private boolean opened;
    private Instant rateWindowStart = Instant.EPOCH;
    private int emptyFrameCount;
    private int smallTransferCount;
    private int attachCount;
    private int beginCount;
    private boolean linksEnded;
    private final MemoryBudget.Account memory;
    private final Set<Session> sessions = new LinkedHashSet<>();
    private long unreadBytes;
    private volatile boolean paused;
    private Instant overShareSince;

    AmqpClientConnection(
            AmqpFrontend frontend,
            BackendConnectionPool backendPool,
            Connection connection,
            boolean overLimit) {
        super(connection, frontend::now, frontend.settings().limits().maxFrameBytes());
        this.frontend = frontend;
        this.backendPool = backendPool;
        this.overLimit = overLimit;
        settings = frontend.settings();
        memory = frontend.memoryBudget().open();
        memory.add(MemoryEstimates.CONNECTION_BYTES);
        remoteAddress = String.valueOf(connection.remoteAddress());
        connection
                .loop()
                .schedule(
                        settings.timeouts().open(),
                        () -> {
                            if (!opened && !isClosed()) {
                                Log.warn("amqp.client.silent", "from", remoteAddress);
                                close(
                                        ErrorConditions.limitExceeded(
                                                "no open within "
                                                        + settings.timeouts().open().toMillis()
                                                        + " ms"));
                            }
                        });
    }

    String remoteAddress() {
        return remoteAddress;
    }

    BackendConnectionPool backendPool() {
        return backendPool;
    }

    /** The account of the memory that the client occupies. */
    MemoryBudget.Account memory() {
        return memory;
    }

    /** Whether nothing is read from the client at present. */
    boolean isPaused() {
        return paused;
    }

    @Override
    public void received(Connection connection, ByteBuffer bytes) {
        if (isDiscarding()) {
            return;
        }
        byte[] input = new byte[bytes.remaining()];
        bytes.get(input);
        if (engine() == null) {
            byte[] header = Arrays.copyOf(protocolHeader, protocolHeader.length + input.length);
            System.arraycopy(input, 0, header, protocolHeader.length, input.length);
            protocolHeader = header;
            if (protocolHeader.length < HEADER_BYTES) {
                return;
            }
            input = protocolHeader;
            protocolHeader = new byte[0];
            createEngine(input[PROTOCOL_ID_INDEX] == 0);
        }
        ingest(input);
    }

    /**
     * Receives from the client only while it takes what is sent to it and holds no more memory than
     * its share. Meanwhile its bytes wait in the network buffers, and it is served as soon as its
     * deliveries have their outcomes.
     */
    @Override
    protected boolean mayReceive() {
        countUnreadBytes();
        if (memory.isOverShare()) {
            links.forEach(ClientLink::releaseMemory);
        }
        boolean overShare = memory.isOverShare();
        overShareSince = !overShare ? null : overShareSince == null ? now() : overShareSince;
        paused = overShare || !isWritable();
        return !paused;
    }

    private void countUnreadBytes() {
        long unread = 0;
        for (Session session : sessions) {
            // The capacity has grown by the bytes that were discarded, which the engine counts as
            // unread for ever.
            int discarded = session.getIncomingCapacity() - settings.limits().maxLinkBytes();
            unread += ProtonFlowControl.unreadBytes(session) - discarded;
        }
        memory.add(unread - unreadBytes);
        unreadBytes = unread;
    }

    /**
     * Closes a client that has been over its share for so long that all its complete deliveries
     * have got their outcomes: what it holds will not become less by itself.
     */
    private void closeIfOverShareForTooLong(Instant now) {
        if (overShareSince != null
                && overShareSince.plus(settings.timeouts().delivery()).isBefore(now)) {
            closeForMemory();
        }
    }

    private void closeForMemory() {
        if (!linksEnded) {
            frontend.countRefusedForMemory();
            Log.warn(
                    "amqp.memory.closed",
                    "from",
                    remoteAddress,
                    "held_kb",
                    memory.heldBytes() >> 10,
                    "links",
                    links.size());
            close(ErrorConditions.limitExceeded("more memory than the share of a client"));
            endLinks();
        }
    }

    /**
     * A client that starts without SASL is ANONYMOUS if anonymous clients are allowed; otherwise
     * the engine answers with the SASL header to request SASL (5.3.2).
     */
    private void createEngine(boolean withoutSasl) {
        boolean anonymousAllowed = settings.authentication().anonymousTenant() != null;
        Engine newEngine =
                withoutSasl && anonymousAllowed
                        ? EngineFactory.PROTON.createNonSaslEngine()
                        : EngineFactory.PROTON.createEngine();
        if (!withoutSasl || !anonymousAllowed) {
            newEngine.saslDriver().server().setListener(new Login());
        }
        // Incoming frames pass the handlers from last to first, so the counter must come after the
        // performative handler, which consumes them.
        EngineHandler performatives =
                newEngine.pipeline().find(ProtonConstants.AMQP_PERFORMATIVE_HANDLER);
        newEngine
                .pipeline()
                .remove(performatives)
                .addFirst("count", new EmptyFrameCounter())
                .addFirst(ProtonConstants.AMQP_PERFORMATIVE_HANDLER, performatives);
        newEngine
                .connection()
                .setContainerId(frontend.containerId())
                .setMaxFrameSize(settings.limits().maxFrameBytes())
                .setChannelMax(settings.limits().maxSessionsPerConnection() - 1)
                .setIdleTimeout(settings.timeouts().clientIdle().toMillis())
                .openHandler(this::onOpen)
                .closeHandler(
                        ended -> {
                            endLinks();
                            close(null);
                        })
                .sessionOpenHandler(this::onBegin)
                .senderOpenHandler(this::onAttach)
                .receiverOpenHandler(this::onAttach);
        startEngine(newEngine);
    }

    /**
     * Authenticates the client as ANONYMOUS or by user and secret; a connection has one login
     * attempt.
     */
    private final class Login implements SaslServerListener {
        @Override
        public void handleSaslHeader(SaslServerContext context, AMQPHeader header) {
            boolean anonymousAllowed = settings.authentication().anonymousTenant() != null;
            boolean plainAllowed = frontend.userSecrets().size() > 0;
            context.sendMechanisms(
                    anonymousAllowed && plainAllowed
                            ? new Symbol[] {PLAIN, ANONYMOUS}
                            : new Symbol[] {plainAllowed ? PLAIN : ANONYMOUS});
        }

        @Override
        public void handleSaslInit(
                SaslServerContext context, Symbol mechanism, ProtonBuffer response) {
            boolean authenticated =
                    ANONYMOUS.equals(mechanism)
                                    && settings.authentication().anonymousTenant() != null
                            || PLAIN.equals(mechanism) && authenticatePlain(response);
            if (authenticated) {
                context.sendOutcome(SaslOutcome.SASL_OK, null);
            } else {
                Log.warn("amqp.login.failed", "from", remoteAddress, "mechanism", mechanism);
                frontend.countFailedLogin();
                context.sendOutcome(SaslOutcome.SASL_AUTH, null);
                loop().schedule(FAILED_LOGIN_CLOSE_DELAY, () -> netConnection().close());
            }
        }

        /** Checks a PLAIN response, which is [authzid] NUL authcid NUL passwd (RFC 4616). */
        private boolean authenticatePlain(ProtonBuffer response) {
            if (response == null || response.getReadableBytes() > MAX_PLAIN_RESPONSE_BYTES) {
                return false;
            }
            byte[] bytes = new byte[response.getReadableBytes()];
            response.readBytes(bytes, 0, bytes.length);
            int firstNul = indexOfNul(bytes, 0);
            int secondNul = firstNul < 0 ? -1 : indexOfNul(bytes, firstNul + 1);
            if (secondNul < 0) {
                return false;
            }
            String userName =
                    new String(
                            bytes, firstNul + 1, secondNul - firstNul - 1, StandardCharsets.UTF_8);
            String authorizationId = new String(bytes, 0, firstNul, StandardCharsets.UTF_8);
            boolean authenticated =
                    frontend.userSecrets()
                            .matches(
                                    userName,
                                    Arrays.copyOfRange(bytes, secondNul + 1, bytes.length));
            if (!authenticated || !authorizationId.isEmpty() && !authorizationId.equals(userName)) {
                return false;
            }
            user = userName;
            return true;
        }

        private static int indexOfNul(byte[] bytes, int from) {
            for (int i = from; i < bytes.length; i++) {
                if (bytes[i] == 0) {
                    return i;
                }
            }
            return -1;
        }

        @Override
        public void handleSaslResponse(SaslServerContext context, ProtonBuffer response) {
            throw new ProtocolViolationException("a response to no challenge");
        }
    }

    /**
     * Counts empty frames, which cost the relay work without requesting anything, and discards all
     * frames once the connection is closed.
     */
    private final class EmptyFrameCounter implements EngineHandler {
        @Override
        public void handleRead(EngineHandlerContext context, IncomingAMQPEnvelope frame) {
            if (isDiscarding()) {
                return; // the rest of the bytes that were received together
            }
            if (frame == EmptyEnvelope.INSTANCE
                    && exceedsRate(++emptyFrameCount, MAX_EMPTY_FRAMES_PER_SECOND)) {
                closeForFlooding("empty frames");
                return;
            }
            context.fireRead(frame);
        }
    }

    /**
     * Whether the count exceeds the limit per second; starts a new second with all counts at 0 when
     * one has passed.
     */
    private boolean exceedsRate(int count, int limit) {
        Instant now = now();
        if (Duration.between(rateWindowStart, now).compareTo(Duration.ofSeconds(1)) >= 0) {
            rateWindowStart = now;
            emptyFrameCount = 0;
            smallTransferCount = 0;
            attachCount = 0;
            beginCount = 0;
        }
        return count > limit;
    }

    private void closeForFlooding(String flood) {
        if (!linksEnded) {
            Log.warn("amqp.flood", "from", remoteAddress, "of", flood);
            close(ErrorConditions.limitExceeded("too many " + flood + " a second"));
            endLinks();
        }
    }

    private void onOpen(org.apache.qpid.protonj2.engine.Connection connection) {
        opened = true;
        connection.open();
        memory.add(MemoryEstimates.value(connection.getRemoteProperties()));
        if (overLimit) {
            Log.warn(
                    "amqp.full",
                    "from",
                    remoteAddress,
                    "connections",
                    settings.limits().maxConnections());
            close(ErrorConditions.rejected(frontend.config().maxRetryAfter()));
        } else if (frontend.isDraining()) {
            close(ErrorConditions.relayDraining());
        }
    }

    private void onBegin(Session session) {
        if (exceedsRate(++beginCount, settings.limits().maxAttachesPerSecond())) {
            closeForFlooding("sessions");
            return;
        }
        long bytes =
                MemoryEstimates.SESSION_BYTES
                        + MemoryEstimates.value(session.getRemoteProperties());
        if (!memory.hasRoomFor(bytes)) {
            closeForMemory();
            return;
        }
        SessionState state = new SessionState();
        state.occupy(bytes);
        session.setIncomingCapacity(settings.limits().maxLinkBytes());
        session.setLinkedResource(state);
        sessions.add(session);
        session.closeHandler(
                ended -> {
                    countUnreadBytes();
                    sessions.remove(ended);
                    countUnreadBytes();
                    state.end();
                    for (ClientLink link : List.copyOf(links)) {
                        if (link.session() == ended) {
                            link.clientLeft();
                        }
                    }
                    ended.close();
                });
        session.open();
    }

    private void onAttach(Receiver link) {
        Target target =
                link.getRemoteTarget() instanceof Target messageTarget ? messageTarget : null;
        boolean dynamic = target != null && target.isDynamic();
        acceptOrRejectAttach(
                link,
                target == null ? null : target.getAddress(),
                dynamic,
                attachRequest ->
                        new ClientSenderLink(
                                frontend,
                                this,
                                link,
                                attachRequest,
                                frontend.isIdempotent(attachRequest)));
    }

    private void onAttach(Sender link) {
        Source source = link.getRemoteSource();
        boolean dynamic = source != null && source.isDynamic();
        acceptOrRejectAttach(
                link,
                source == null ? null : source.getAddress(),
                dynamic,
                attachRequest -> new ClientReceiverLink(frontend, this, link, attachRequest));
    }

    private interface ClientLinkFactory {
        ClientLink create(AttachMapper.AttachRequest attachRequest);
    }

    private void acceptOrRejectAttach(
            Link<?> link, String address, boolean dynamic, ClientLinkFactory factory) {
        if (exceedsRate(++attachCount, settings.limits().maxAttachesPerSecond())) {
            closeForFlooding("attaches");
            return;
        }
        if (link.getLinkedResource() != null) {
            // A second attach with the name of an attached link (2.6.1).
            close(
                    new ErrorCondition(
                            LinkError.STOLEN, "link " + link.getName() + " is attached already"));
            endLinks();
            return;
        }
        long bytes = MemoryEstimates.link(ProtonRemoteAttach.of(link));
        if (!memory.hasRoomFor(bytes)) {
            rejectForMemory(link);
            return;
        }
        SessionState session = link.getSession().getLinkedResource();
        Runnable release = session.occupy(bytes);
        Map<Symbol, Object> properties = link.getRemoteProperties();
        ClientLink clientLink =
                factory.create(
                        new AttachMapper.AttachRequest(
                                address,
                                engine().connection().getRemoteContainerId(),
                                link.getName(),
                                user,
                                properties));
        link.setLinkedResource(clientLink);
        link.closeHandler(ended -> clientDetached(clientLink, release));
        link.detachHandler(ended -> clientDetached(clientLink, release));
        startOrReject(link, clientLink, dynamic);
    }

    private void startOrReject(Link<?> link, ClientLink clientLink, boolean dynamic) {
        if (link.isReceiver() && link.getRemoteTarget() instanceof Coordinator) {
            clientLink.rejectAttach(ErrorConditions.notImplemented("transactions"));
        } else if (dynamic) {
            clientLink.rejectAttach(ErrorConditions.notImplemented("dynamic addresses"));
        } else if (frontend.isDraining()) {
            clientLink.rejectAttach(ErrorConditions.relayDraining());
        } else if (links.size() >= settings.limits().maxLinksPerConnection()
                || !frontend.hasRoomForLink()) {
            Log.warn("amqp.links.full", "from", remoteAddress, "links", links.size());
            clientLink.rejectAttach(ErrorConditions.rejected(frontend.config().maxRetryAfter()));
        } else {
            links.add(clientLink);
            frontend.addLink(clientLink);
            clientLink.start();
        }
    }

    /** The engine keeps a link until its client has detached it, also one that was rejected. */
    private static void clientDetached(ClientLink link, Runnable releaseMemory) {
        link.clientLeft();
        releaseMemory.run();
    }

    /**
     * Rejects an attach for which the client has no memory left, and keeps none of its contents.
     */
    private void rejectForMemory(Link<?> link) {
        if (!memory.hasRoomFor(MemoryEstimates.REJECTED_LINK_BYTES)) {
            closeForMemory();
            return;
        }
        frontend.countRefusedForMemory();
        Log.warn(
                "amqp.memory.full",
                "from",
                remoteAddress,
                "held_kb",
                memory.heldBytes() >> 10,
                "links",
                links.size());
        SessionState session = link.getSession().getLinkedResource();
        Runnable release = session.occupy(MemoryEstimates.REJECTED_LINK_BYTES);
        ProtonRemoteAttach.release(link);
        link.closeHandler(ended -> release.run());
        link.detachHandler(ended -> release.run());
        link.setSource(null);
        link.setTarget((Target) null);
        link.open();
        link.setCondition(ErrorConditions.rejected(frontend.config().maxRetryAfter())).close();
    }

    /** Removes a link that has ended. */
    void removeLink(ClientLink link) {
        if (links.remove(link)) {
            frontend.removeLink(link);
            closeIfDraining();
        }
    }

    /** Closes an open connection without links if the relay is draining. */
    void closeIfDraining() {
        if (frontend.isDraining() && links.isEmpty() && opened && !isClosed()) {
            loop().execute(() -> close(ErrorConditions.relayDraining()));
        }
    }

    /**
     * Counts a transfer, so that {@link #replenishWindow} knows when to extend the session's
     * window.
     */
    void countTransfer(Link<?> link) {
        SessionState session = link.getSession().getLinkedResource();
        session.transfers++;
    }

    /**
     * Counts a transfer that carries a small part of a delivery and not its end. Returns false if
     * there were too many of them, and the connection is closed.
     */
    boolean acceptSmallTransfer() {
        if (exceedsRate(++smallTransferCount, MAX_SMALL_TRANSFERS_PER_SECOND)) {
            closeForFlooding("small transfers");
            return false;
        }
        return true;
    }

    /**
     * Extends the session's window before received bytes of a link are read, once the transfers
     * since the last extension have used up half of the window.
     */
    void replenishWindow(Link<?> link, int bytes) {
        SessionState session = link.getSession().getLinkedResource();
        int framesPerWindow = settings.limits().maxLinkBytes() / settings.limits().maxFrameBytes();
        if (session.transfers >= framesPerWindow / 2
                && canSendFrames()
                && !link.getSession().isRemotelyClosed()) {
            session.transfers = 0;
            ProtonFlowControl.extendIncomingWindow(link.getSession(), bytes);
        }
    }

    /** What the connection keeps for a session of its client. */
    private final class SessionState {
        /** The transfers since the session's window was last extended. */
        private int transfers;

        private long occupiedBytes;
        private boolean ended;

        /** Occupies memory until the session ends or the returned action is run. */
        Runnable occupy(long bytes) {
            occupiedBytes += bytes;
            memory.add(bytes);
            boolean[] released = new boolean[1];
            return () -> {
                if (!released[0] && !ended) {
                    released[0] = true;
                    occupiedBytes -= bytes;
                    memory.add(-bytes);
                }
            };
        }

        /** Releases the memory of the session and its links. */
        void end() {
            ended = true;
            memory.add(-occupiedBytes);
            occupiedBytes = 0;
        }
    }

    /** Returns to the session's window the bytes of transfers that are not read any more. */
    void restoreWindow(Link<?> link, int bytes) {
        if (canSendFrames()
                && link.getSession().isLocallyOpen()
                && !link.getSession().isRemotelyClosed()) {
            ProtonFlowControl.restoreIncomingWindow(link.getSession(), bytes);
        }
    }

    /** Lets all receiving links forward the deliveries that they can send now. */
    void forwardPending() {
        for (ClientLink link : List.copyOf(links)) {
            if (link instanceof ClientReceiverLink receiving) {
                receiving.forwardPending();
            }
        }
    }

    /** Lets all links check their timeouts. */
    void checkTimeouts(Instant now) {
        for (ClientLink link : List.copyOf(links)) {
            link.checkTimeouts(now);
        }
        updateReading();
        closeIfOverShareForTooLong(now);
    }

    @Override
    protected void onWritable() {
        forwardPending();
        updateReading();
    }

    @Override
    protected void connectionEnded(String reason) {
        if (!opened || !reason.equals("ended") && !reason.equals("ours")) {
            Log.info(
                    "amqp.client.ended",
                    "from",
                    remoteAddress,
                    "why",
                    reason,
                    "links",
                    links.size());
        }
        endLinks();
    }

    private void endLinks() {
        if (!linksEnded) {
            linksEnded = true;
            List.copyOf(links).forEach(ClientLink::clientLeft);
            memory.close();
            sessions.clear(); // timers hold the connection longer than its sessions may be kept
            frontend.removeConnection(this);
        }
    }
}
