package saltstage.amqp;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import javax.security.sasl.SaslException;
import org.apache.qpid.protonj2.buffer.ProtonBuffer;
import org.apache.qpid.protonj2.buffer.impl.ProtonByteArrayBufferAllocator;
import org.apache.qpid.protonj2.engine.Engine;
import org.apache.qpid.protonj2.engine.EngineFactory;
import org.apache.qpid.protonj2.engine.Session;
import org.apache.qpid.protonj2.engine.impl.ProtonUnsettledDeliveries;
import org.apache.qpid.protonj2.engine.sasl.SaslClientContext;
import org.apache.qpid.protonj2.engine.sasl.SaslClientListener;
import org.apache.qpid.protonj2.engine.sasl.SaslOutcome;
import org.apache.qpid.protonj2.types.Symbol;
import org.apache.qpid.protonj2.types.transport.ErrorCondition;
import saltstage.log.Log;
import saltstage.net.Connection;
import saltstage.session.Backend;

/** An AMQP connection to a backend and the links that are attached over it. */
final class AmqpBackendConnection extends AmqpConnection {
    private static final Symbol ANONYMOUS = Symbol.valueOf("ANONYMOUS");
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(5);

    private final AmqpFrontend frontend;
    private final BackendConnectionPool pool;
    private final Backend backend;
    private final Set<BackendLink> links = new LinkedHashSet<>();

    /** The sessions that links share, keyed by the client session that the links belong to. */
    private final Map<Object, BackendSession> sharedSessions = new HashMap<>();

    private boolean opened;
    private Instant idleSince;

    AmqpBackendConnection(
            AmqpFrontend frontend,
            BackendConnectionPool pool,
            Backend backend,
            Connection netConnection) {
        super(netConnection, frontend::now, frontend.settings().limits().maxFrameBytes());
        this.frontend = frontend;
        this.pool = pool;
        this.backend = backend;
        idleSince = frontend.now();
    }

    /** Sends the open frame. Links attach only after the backend has answered it. */
    void open() {
        Engine newEngine = EngineFactory.PROTON.createEngine();
        newEngine.saslDriver().client().setListener(new AnonymousLogin());
        newEngine
                .connection()
                .setContainerId(frontend.containerId())
                .setMaxFrameSize(frontend.settings().limits().maxFrameBytes())
                .setIdleTimeout(frontend.settings().timeouts().backendIdle().toMillis())
                .openHandler(
                        // The engine takes over the backend's frame size only after this call.
                        connection -> loop().execute(this::attachWaitingLinks))
                .closeHandler(
                        connection -> {
                            ErrorCondition error = connection.getRemoteCondition();
                            connectionLost(
                                    error == null
                                            ? "closed"
                                            : String.valueOf(error.getCondition()));
                            close(null);
                        });
        startEngine(newEngine);
        newEngine.connection().open();
    }

    /** Logs in with SASL ANONYMOUS, which needs no credentials. */
    private static final class AnonymousLogin implements SaslClientListener {
        @Override
        public void handleSaslMechanisms(SaslClientContext context, Symbol[] mechanisms) {
            ProtonBuffer name =
                    ProtonByteArrayBufferAllocator.wrapped(
                            "saltstage".getBytes(StandardCharsets.UTF_8));
            context.sendChosenMechanism(ANONYMOUS, null, name);
        }

        @Override
        public void handleSaslChallenge(SaslClientContext context, ProtonBuffer challenge) {
            context.saslFailure(new SaslException("a challenge for ANONYMOUS"));
        }

        @Override
        public void handleSaslOutcome(
                SaslClientContext context, SaslOutcome outcome, ProtonBuffer additionalData) {
            if (outcome != SaslOutcome.SASL_OK) {
                context.saslFailure(new SaslException("the backend takes no ANONYMOUS"));
            }
        }
    }

    private void attachWaitingLinks() {
        if (isClosed() || isDiscarding()) {
            return;
        }
        opened = true;
        List.copyOf(links).forEach(BackendLink::connectionOpened);
    }

    /** Returns the largest frame that the backend accepts. */
    long maxFrameBytes() {
        return engine().connection().getRemoteMaxFrameSize();
    }

    Backend backend() {
        return backend;
    }

    /** Returns the number of links on this connection. */
    int linkCount() {
        return links.size();
    }

    /** Adds a link, which attaches as soon as the connection is open. */
    void attach(BackendLink link) {
        links.add(link);
        link.setConnection(this);
        if (opened) {
            link.connectionOpened();
        }
    }

    /** Removes a link that has ended. The idle time starts when the last link is removed. */
    void removeLink(BackendLink link) {
        if (links.remove(link) && links.isEmpty()) {
            idleSince = now();
        }
    }

    /**
     * Returns the session for a new link: with a key, one that it shares with other links of the
     * same key; with a null key, a session of its own.
     */
    BackendSession sessionFor(Object key) {
        BackendSession shared = key == null ? null : sharedSessions.get(key);
        if (shared != null && shared.hasRoom()) {
            return shared;
        }
        Session session =
                engine().connection()
                        .session()
                        .setIncomingCapacity(frontend.settings().limits().maxLinkBytes());
        ProtonUnsettledDeliveries.trackOnce(session);
        BackendSession[] newSession = new BackendSession[1];
        newSession[0] =
                new BackendSession(session, () -> sharedSessions.remove(key, newSession[0]));
        if (key != null) {
            sharedSessions.put(
                    key, newSession[0]); // replaces a full session, which keeps its links
        }
        return newSession[0];
    }

    /**
     * Closes the connection if it has no links and either has been idle for too long or its backend
     * has ended or accepts no requests.
     */
    void closeIfIdle() {
        boolean unusable = backend.hasEnded() || !backend.canAcceptRequests();
        if (links.isEmpty()
                && (unusable || Duration.between(idleSince, now()).compareTo(IDLE_TIMEOUT) > 0)) {
            pool.removeConnection(this);
            close(null);
        }
    }

    @Override
    protected void onWritable() {
        List.copyOf(links).forEach(BackendLink::resume);
    }

    @Override
    protected void connectionEnded(String reason) {
        connectionLost(reason);
    }

    private void connectionLost(String reason) {
        pool.removeConnection(this);
        if (!links.isEmpty()) {
            Log.warn(
                    "amqp.backend.lost",
                    "peer",
                    backend.entry().uid(),
                    "links",
                    links.size(),
                    "why",
                    reason);
        }
        List<BackendLink> lostLinks = List.copyOf(links);
        links.clear();
        lostLinks.forEach(link -> link.connectionLost(opened));
    }
}
