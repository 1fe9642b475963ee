package saltstage.amqp;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.function.Supplier;
import org.apache.qpid.protonj2.buffer.ProtonBufferComponent;
import org.apache.qpid.protonj2.buffer.ProtonBufferComponentAccessor;
import org.apache.qpid.protonj2.buffer.impl.ProtonByteArrayBufferAllocator;
import org.apache.qpid.protonj2.engine.Engine;
import org.apache.qpid.protonj2.engine.EngineHandler;
import org.apache.qpid.protonj2.engine.EventHandler;
import org.apache.qpid.protonj2.engine.impl.ProtonConstants;
import org.apache.qpid.protonj2.types.transport.ErrorCondition;
import saltstage.log.Log;
import saltstage.net.Connection;
import saltstage.net.ConnectionHandler;
import saltstage.net.Loop;

/**
 * An AMQP connection: joins an engine to a connection of the transport, on its loop only. Bytes go
 * in, frames go out, time goes by. An engine that fails has said so in a close frame of its own
 * before the end.
 */
public abstract class Peering implements ConnectionHandler {
    /** A close must reach the other side before the end of the connection does. */
    private static final Duration LINGER = Duration.ofMillis(500);

    private static final Duration CALM_TICK = Duration.ofSeconds(1);
    private static final Duration LEAST_TICK = Duration.ofMillis(20);

    private final Connection net;
    private final Supplier<Instant> clock;
    private final Frames frames;
    private Engine engine;
    private boolean writable = true;
    private boolean over;

    /** On this connection, with frames of at most so many bytes; spans are told by the clock. */
    protected Peering(Connection net, Supplier<Instant> clock, int mostFrame) {
        this.net = net;
        frames = new Frames(mostFrame);
        this.clock = clock;
    }

    /** Starts the engine; what it says goes out from here on. */
    protected final void start(Engine with) {
        engine = with;
        // Frames go out from the first handler on: what makes them stays before what joins them.
        EngineHandler performatives =
                engine.pipeline().find(ProtonConstants.AMQP_PERFORMATIVE_HANDLER);
        engine.pipeline()
                .remove(performatives)
                .addFirst("outcomes", new OutcomeFrames(loop()::execute))
                .addFirst(ProtonConstants.AMQP_PERFORMATIVE_HANDLER, performatives);
        engine.outputHandler(
                (buffer, done) -> {
                    try (ProtonBufferComponentAccessor parts = buffer.componentAccessor()) {
                        for (ProtonBufferComponent part = parts.firstReadable();
                                part != null;
                                part = parts.nextReadable()) {
                            ByteBuffer bytes = part.getReadableBuffer();
                            // protonj2 1.0.0 shows all of the array here, also what was not written
                            // to it
                            net.write(bytes.limit(bytes.position() + part.getReadableBytes()));
                        }
                    }
                    if (done != null) { // the buffer is not closed: headers are shared ones
                        done.run();
                    }
                });
        engine.errorHandler(failed -> failed(failed.failureCause()));
        engine.start();
        tick();
    }

    /** The engine; null before it was started. */
    protected final Engine engine() {
        return engine;
    }

    /** The transport's connection. */
    protected final Connection net() {
        return net;
    }

    /** The loop of it. */
    public final Loop loop() {
        return net.loop();
    }

    /** What the clock says. */
    protected final Instant now() {
        return clock.get();
    }

    /** Whether more may be written without piling up here. */
    public final boolean writable() {
        return writable && !over;
    }

    /** Whether frames can still be sent. */
    final boolean engineRuns() {
        return !over
                && engine != null
                && engine.isRunning()
                && !engine.connection().isLocallyClosed()
                && !engine.connection().isRemotelyClosed();
    }

    /** Whether it has ended. */
    public final boolean over() {
        return over;
    }

    /** Feeds the engine. */
    protected final void ingest(byte[] came) {
        byte[] bytes = frames.cut(came);
        if (bytes.length > 0 && !over && engine.isWritable()) {
            try {
                engine.ingest(ProtonByteArrayBufferAllocator.wrapped(bytes));
            } catch (RuntimeException seenByErrorHandler) { // the handler has ended the connection
                if (!engine.isFailed()) {
                    throw seenByErrorHandler;
                }
            }
        }
    }

    @Override
    public void received(Connection on, ByteBuffer bytes) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        ingest(copy);
    }

    @Override
    public void inputEnded(Connection on) {
        net.close(); // AMQP has no half-open connections
    }

    @Override
    public final void writabilityChanged(Connection on, boolean now) {
        writable = now;
        if (now && !over) {
            roomAgain();
        }
    }

    @Override
    public final void closed(Connection on, Connection.Cause why) {
        if (!over) {
            over = true;
            if (engine != null && !engine.isShutdown()) {
                engine.shutdown();
            }
            ended(why.name().toLowerCase(Locale.ROOT));
        }
    }

    /**
     * protonj2 1.0.0 drops what a handler of transfers throws: here it ends the connection, and is
     * told.
     */
    final <T> EventHandler<T> guarded(EventHandler<T> handler) {
        return event -> {
            try {
                handler.handle(event);
            } catch (RuntimeException fault) {
                Log.error("amqp.fault", fault);
                close(Errors.failed("fault"));
                ended("fault");
            }
        };
    }

    private void failed(Throwable cause) {
        if (over) {
            return;
        }
        String what = cause == null ? "fault" : String.valueOf(cause.getMessage());
        over = true;
        ended(what);
        hangUp();
    }

    /** Ends the connection politely with this error, or with none. */
    public final void close(ErrorCondition why) {
        if (over || engine == null || !engine.isRunning()) {
            net.close();
            return;
        }
        engine.connection().open();
        engine.connection().setCondition(why).close();
        hangUp();
    }

    private void hangUp() {
        net.shutdownOutput();
        loop().schedule(LINGER, net::close);
    }

    private void tick() {
        if (over || engine.isShutdown() || engine.isFailed()) {
            return;
        }
        Duration next = CALM_TICK;
        if (engine.connection().isLocallyOpen()) {
            long now = Math.max(1, now().toEpochMilli());
            try {
                long due = engine.tick(now);
                if (due > 0) {
                    next = Duration.ofMillis(due - now);
                }
            } catch (
                    RuntimeException told) { // an idle time-out fails the engine, which has told so
                return;
            }
        }
        Duration wait =
                next.compareTo(LEAST_TICK) < 0
                        ? LEAST_TICK
                        : next.compareTo(CALM_TICK) > 0 ? CALM_TICK : next;
        loop().schedule(wait, this::tick);
    }

    /** There is room for writing again. */
    protected abstract void roomAgain();

    /** It is over; told once. */
    protected abstract void ended(String why);
}
