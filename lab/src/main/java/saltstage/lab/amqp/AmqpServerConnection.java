package saltstage.lab.amqp;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.function.Consumer;
import org.apache.qpid.protonj2.buffer.ProtonBuffer;
import org.apache.qpid.protonj2.engine.Engine;
import org.apache.qpid.protonj2.engine.EngineFactory;
import org.apache.qpid.protonj2.engine.sasl.SaslOutcome;
import org.apache.qpid.protonj2.engine.sasl.SaslServerContext;
import org.apache.qpid.protonj2.engine.sasl.SaslServerListener;
import org.apache.qpid.protonj2.types.Symbol;
import org.apache.qpid.protonj2.types.transport.AMQPHeader;
import saltstage.amqp.AmqpConnection;
import saltstage.net.Connection;

/** The server side of a connection, with SASL ANONYMOUS or without SASL as the client chooses. */
class AmqpServerConnection extends AmqpConnection {
    private final Consumer<Engine> engineConfigurer;
    private final Consumer<AmqpServerConnection> endListener;
    private byte[] receivedBytes = {};

    AmqpServerConnection(
            Connection connection,
            Consumer<Engine> engineConfigurer,
            Consumer<AmqpServerConnection> endListener) {
        super(connection, Instant::now, 1 << 20);
        this.engineConfigurer = engineConfigurer;
        this.endListener = endListener;
    }

    @Override
    public void received(Connection connection, ByteBuffer bytes) {
        byte[] combined = Arrays.copyOf(receivedBytes, receivedBytes.length + bytes.remaining());
        bytes.get(combined, receivedBytes.length, bytes.remaining());
        receivedBytes = combined;
        if (engine() == null) {
            if (receivedBytes.length < 8) {
                return;
            }
            Engine newEngine =
                    receivedBytes[4] == 0
                            ? EngineFactory.PROTON.createNonSaslEngine()
                            : EngineFactory.PROTON.createEngine();
            if (receivedBytes[4] != 0) {
                newEngine.saslDriver().server().setListener(new AnonymousSaslListener());
            }
            engineConfigurer.accept(newEngine);
            startEngine(newEngine);
        }
        byte[] pendingBytes = receivedBytes;
        receivedBytes = new byte[0];
        ingest(pendingBytes);
    }

    /** Returns whether this connection uses the engine. */
    boolean hasEngine(Engine candidate) {
        return engine() == candidate;
    }

    /** Resumes reading, or leaves received bytes in the operating system's buffers. */
    void setReading(boolean enabled) {
        netConnection().setReading(enabled);
    }

    /** Resets the connection, as the death of the process would. */
    void reset() {
        if (engine() != null) {
            // The links must end before the peer can see the reset: it may then send a delivery to
            // another backend, and the copy here must no longer count as outstanding.
            engine().shutdown();
        }
        netConnection().reset();
    }

    /** Writes the beginning of a frame and resets the connection a moment later. */
    void resetWithinFrame() {
        netConnection().write(ByteBuffer.wrap(new byte[] {0, 0, 1, 0, 2, 0, 0, 0, 0, 0x53}));
        loop().schedule(Duration.ofMillis(5), this::reset);
    }

    @Override
    protected void onWritable() {}

    @Override
    protected void connectionEnded(String reason) {
        endListener.accept(this);
    }

    private static final class AnonymousSaslListener implements SaslServerListener {
        @Override
        public void handleSaslHeader(SaslServerContext context, AMQPHeader header) {
            context.sendMechanisms(new Symbol[] {Symbol.valueOf("ANONYMOUS")});
        }

        @Override
        public void handleSaslInit(
                SaslServerContext context, Symbol mechanism, ProtonBuffer response) {
            context.sendOutcome(SaslOutcome.SASL_OK, null);
        }

        @Override
        public void handleSaslResponse(SaslServerContext context, ProtonBuffer response) {
            throw new IllegalStateException("no challenge was sent");
        }
    }
}
