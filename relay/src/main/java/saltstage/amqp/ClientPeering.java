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
import org.apache.qpid.protonj2.engine.impl.Flows;
import org.apache.qpid.protonj2.engine.impl.ProtonConstants;
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

/** A client's connection: who it is, its sessions and links, and the limits on all of it. */
final class ClientPeering extends Peering {
    private static final Symbol ANONYMOUS = Symbol.valueOf("ANONYMOUS");
    private static final Symbol PLAIN = Symbol.valueOf("PLAIN");
    private static final int HEADER = 8;
    private static final int PROTOCOL_ID = 4;

    /**
     * Empty frames only keep a connection alive; who sends more than this a second does something
     * else.
     */
    private static final int MOST_EMPTY = 100;

    private static final int MOST_SECRET = 1_024;
    private static final Duration FAILED_LOGIN = Duration.ofMillis(500);

    private final AmqpFront front;
    private final BackendPool pool;
    private final AmqpSettings settings;
    private final String remote;
    private final Set<ClientLink> links = new LinkedHashSet<>();
    private final boolean overfull;
    private byte[] head = {};
    private String user;
    private boolean opened;
    private Instant second = Instant.EPOCH;
    private int empties;
    private int attaches;
    private int beginnings;
    private boolean gone;

    ClientPeering(AmqpFront front, BackendPool pool, Connection net, boolean overfull) {
        super(net, front::now, front.settings().limits().maxFrameBytes());
        this.front = front;
        this.pool = pool;
        this.overfull = overfull;
        settings = front.settings();
        remote = String.valueOf(net.remoteAddress());
        net.loop()
                .schedule(
                        settings.timeouts().open(),
                        () -> {
                            if (!opened && !over()) {
                                Log.warn("amqp.client.silent", "from", remote);
                                close(
                                        Errors.limit(
                                                "no open within "
                                                        + settings.timeouts().open().toMillis()
                                                        + " ms"));
                            }
                        });
    }

    String remote() {
        return remote;
    }

    BackendPool pool() {
        return pool;
    }

    // ---- before the open

    @Override
    public void received(Connection on, ByteBuffer bytes) {
        byte[] came = new byte[bytes.remaining()];
        bytes.get(came);
        if (engine() == null) {
            byte[] all = Arrays.copyOf(head, head.length + came.length);
            System.arraycopy(came, 0, all, head.length, came.length);
            head = all;
            if (head.length < HEADER) {
                return;
            }
            came = head;
            head = new byte[0];
            begin(came[PROTOCOL_ID] == 0);
        }
        ingest(came);
    }

    /**
     * A client that offers no SASL is ANONYMOUS, where that may come in; else it is told to
     * (5.3.2).
     */
    private void begin(boolean bare) {
        boolean anonymous = settings.authentication().anonymousTenant() != null;
        Engine made =
                bare && anonymous
                        ? EngineFactory.PROTON.createNonSaslEngine()
                        : EngineFactory.PROTON.createEngine();
        if (!bare || !anonymous) {
            made.saslDriver().server().setListener(new Login());
        }
        // Frames come in from the last handler on: the counter must stand behind the one that takes
        // them.
        EngineHandler performatives =
                made.pipeline().find(ProtonConstants.AMQP_PERFORMATIVE_HANDLER);
        made.pipeline()
                .remove(performatives)
                .addFirst("count", new Counter())
                .addFirst(ProtonConstants.AMQP_PERFORMATIVE_HANDLER, performatives);
        made.connection()
                .setContainerId(front.container())
                .setMaxFrameSize(settings.limits().maxFrameBytes())
                .setChannelMax(settings.limits().maxSessionsPerConnection() - 1)
                .setIdleTimeout(settings.timeouts().clientIdle().toMillis())
                .openHandler(this::opens)
                .closeHandler(
                        ended -> {
                            leave();
                            close(null);
                        })
                .sessionOpenHandler(this::begins)
                .senderOpenHandler(this::attaches)
                .receiverOpenHandler(this::attaches);
        start(made);
    }

    /** Who it is: ANONYMOUS, or a user with a secret; one attempt a connection. */
    private final class Login implements SaslServerListener {
        @Override
        public void handleSaslHeader(SaslServerContext context, AMQPHeader header) {
            boolean anonymous = settings.authentication().anonymousTenant() != null;
            boolean plain = front.secrets().size() > 0;
            context.sendMechanisms(
                    anonymous && plain
                            ? new Symbol[] {PLAIN, ANONYMOUS}
                            : new Symbol[] {plain ? PLAIN : ANONYMOUS});
        }

        @Override
        public void handleSaslInit(
                SaslServerContext context, Symbol mechanism, ProtonBuffer response) {
            boolean fits =
                    ANONYMOUS.equals(mechanism)
                                    && settings.authentication().anonymousTenant() != null
                            || PLAIN.equals(mechanism) && plain(response);
            if (fits) {
                context.sendOutcome(SaslOutcome.SASL_OK, null);
            } else {
                Log.warn("amqp.login.failed", "from", remote, "mechanism", mechanism);
                front.loginFailed();
                context.sendOutcome(SaslOutcome.SASL_AUTH, null);
                loop().schedule(FAILED_LOGIN, () -> net().close());
            }
        }

        /** RFC 4616: [authzid] NUL authcid NUL passwd. */
        private boolean plain(ProtonBuffer response) {
            if (response == null || response.getReadableBytes() > MOST_SECRET) {
                return false;
            }
            byte[] bytes = new byte[response.getReadableBytes()];
            response.readBytes(bytes, 0, bytes.length);
            int first = indexOfNul(bytes, 0);
            int next = first < 0 ? -1 : indexOfNul(bytes, first + 1);
            if (next < 0) {
                return false;
            }
            String name = new String(bytes, first + 1, next - first - 1, StandardCharsets.UTF_8);
            String acts = new String(bytes, 0, first, StandardCharsets.UTF_8);
            boolean fits =
                    front.secrets().fits(name, Arrays.copyOfRange(bytes, next + 1, bytes.length));
            if (!fits || !acts.isEmpty() && !acts.equals(name)) {
                return false;
            }
            user = name;
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

    /** Counts what costs the relay work and asks for nothing. */
    private final class Counter implements EngineHandler {
        @Override
        public void handleRead(EngineHandlerContext context, IncomingAMQPEnvelope frame) {
            if (frame == EmptyEnvelope.INSTANCE && over(++empties, MOST_EMPTY)) {
                flood("empty frames");
                return;
            }
            context.fireRead(frame);
        }
    }

    /** Whether this count of the running second is over its bound. */
    private boolean over(int count, int most) {
        Instant now = now();
        if (Duration.between(second, now).compareTo(Duration.ofSeconds(1)) >= 0) {
            second = now;
            empties = 0;
            attaches = 0;
            beginnings = 0;
        }
        return count > most;
    }

    private void flood(String of) {
        if (!gone) {
            Log.warn("amqp.flood", "from", remote, "of", of);
            close(Errors.limit("too many " + of + " a second"));
            leave();
        }
    }

    private void opens(org.apache.qpid.protonj2.engine.Connection remotely) {
        opened = true;
        remotely.open();
        if (overfull) {
            Log.warn(
                    "amqp.full", "from", remote, "connections", settings.limits().maxConnections());
            close(Errors.refused(front.config().maxRetryAfter()));
        } else if (front.leaving()) {
            close(Errors.leaving());
        }
    }

    private void begins(Session session) {
        if (over(++beginnings, settings.limits().maxAttachesPerSecond())) {
            flood("sessions");
            return;
        }
        session.setIncomingCapacity(settings.limits().maxLinkBytes());
        session.setLinkedResource(new Window());
        session.closeHandler(
                ended -> {
                    for (ClientLink link : List.copyOf(links)) {
                        if (link.session() == ended) {
                            link.clientLeft();
                        }
                    }
                    ended.close();
                });
        session.open();
    }

    // ---- links

    private void attaches(Receiver link) {
        Target target = link.getRemoteTarget() instanceof Target plain ? plain : null;
        boolean dynamic = target != null && target.isDynamic();
        attach(
                link,
                target == null ? null : target.getAddress(),
                dynamic,
                asked -> new SendingLink(front, this, link, asked, front.repeatable(asked)));
    }

    private void attaches(Sender link) {
        Source source = link.getRemoteSource();
        boolean dynamic = source != null && source.isDynamic();
        attach(
                link,
                source == null ? null : source.getAddress(),
                dynamic,
                asked -> new ReceivingLink(front, this, link, asked));
    }

    private interface Making {
        ClientLink of(Mapping.Asked asked);
    }

    private void attach(Link<?> link, String address, boolean dynamic, Making making) {
        if (over(++attaches, settings.limits().maxAttachesPerSecond())) {
            flood("attaches");
            return;
        }
        if (link.getLinkedResource()
                != null) { // the same name a second time while it is attached (2.6.1)
            close(
                    new ErrorCondition(
                            LinkError.STOLEN, "link " + link.getName() + " is attached already"));
            leave();
            return;
        }
        Map<Symbol, Object> properties = link.getRemoteProperties();
        ClientLink made =
                making.of(
                        new Mapping.Asked(
                                address,
                                engine().connection().getRemoteContainerId(),
                                link.getName(),
                                user,
                                properties));
        link.setLinkedResource(made);
        link.closeHandler(ended -> made.clientLeft());
        link.detachHandler(ended -> made.clientLeft());
        if (link.isReceiver() && link.getRemoteTarget() instanceof Coordinator) {
            made.turnAway(Errors.notImplemented("transactions"));
        } else if (dynamic) {
            made.turnAway(Errors.notImplemented("dynamic addresses"));
        } else if (front.leaving()) {
            made.turnAway(Errors.leaving());
        } else if (links.size() >= settings.limits().maxLinksPerConnection()
                || !front.hasRoomForLink()) {
            Log.warn("amqp.links.full", "from", remote, "links", links.size());
            made.turnAway(Errors.refused(front.config().maxRetryAfter()));
        } else {
            links.add(made);
            front.entered(made);
            made.begin();
        }
    }

    /** The link is over here. */
    void detached(ClientLink link) {
        if (links.remove(link)) {
            front.left(link);
            closeIfLeaving();
        }
    }

    /** While the relay leaves, a connection with no link left is told so. */
    void closeIfLeaving() {
        if (front.leaving() && links.isEmpty() && opened && !over()) {
            loop().execute(() -> close(Errors.leaving()));
        }
    }

    /** A transfer has come: from time to time the session's window has to be opened again. */
    void counts(Link<?> link) {
        Window window = link.getSession().getLinkedResource();
        window.transfers++;
    }

    /** So many bytes are about to be read of what came on a link. */
    void reads(Link<?> link, int bytes) {
        Window window = link.getSession().getLinkedResource();
        int frames = settings.limits().maxLinkBytes() / settings.limits().maxFrameBytes();
        if (window.transfers >= frames / 2
                && engineRuns()
                && !link.getSession().isRemotelyClosed()) {
            window.transfers = 0;
            Flows.readsNext(link.getSession(), bytes);
        }
    }

    /** Transfers of a session since its window was told last. */
    private static final class Window {
        private int transfers;
    }

    /** Bytes of a session's window that a link which is no more has used. */
    void giveBack(Link<?> link, int bytes) {
        if (engineRuns()
                && link.getSession().isLocallyOpen()
                && !link.getSession().isRemotelyClosed()) {
            Flows.giveBack(link.getSession(), bytes);
        }
    }

    /** Has all links pass on what may go now. */
    void pump() {
        for (ClientLink link : List.copyOf(links)) {
            if (link instanceof ReceivingLink receiving) {
                receiving.pump();
            }
        }
    }

    /** Time has passed. */
    void beat(Instant now) {
        for (ClientLink link : List.copyOf(links)) {
            link.beat(now);
        }
    }

    @Override
    protected void roomAgain() {
        pump();
    }

    @Override
    protected void ended(String why) {
        if (!opened || !why.equals("ended") && !why.equals("ours")) {
            Log.info("amqp.client.ended", "from", remote, "why", why, "links", links.size());
        }
        leave();
    }

    private void leave() {
        if (!gone) {
            gone = true;
            List.copyOf(links).forEach(ClientLink::clientLeft);
            front.left(this);
        }
    }
}
