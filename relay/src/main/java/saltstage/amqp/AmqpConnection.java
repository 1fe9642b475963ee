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
import org.apache.qpid.protonj2.engine.impl.ProtonSymbolCache;
import org.apache.qpid.protonj2.types.transport.ErrorCondition;
import saltstage.log.Log;
import saltstage.net.Connection;
import saltstage.net.ConnectionHandler;
import saltstage.net.Loop;

/**
 * An AMQP connection, which joins a protocol engine to a connection of the transport. It passes
 * received bytes to the engine, writes the engine's frames and drives the engine's timers, all on
 * the loop of the connection. An engine that fails sends a close frame before the connection ends.
 */
public abstract class AmqpConnection implements ConnectionHandler {
    /**
     * Delay before the connection is closed, so that the close frame reaches the remote side first.
     */
    private static final Duration CLOSE_LINGER = Duration.ofMillis(500);

    private static final int MAX_FRAMES_PER_TURN = 100;

    private static final Duration MAX_TICK_INTERVAL = Duration.ofSeconds(1);
    private static final Duration MIN_TICK_INTERVAL = Duration.ofMillis(20);

    private final Connection netConnection;
    private final Supplier<Instant> clock;
    private final FrameSplitter frameSplitter;
    private Engine engine;
    private boolean writable = true;
    private boolean reading = true;

    /** Whether received frames wait for the next turn of the loop. */
    private boolean framesPending;

    private boolean closed;

    /** Whether this side has sent its close frame; what arrives after it is discarded (2.4.6). */
    private boolean discarding;

    /**
     * Creates a connection that accepts frames of at most the given size and takes the time from
     * the clock.
     */
    protected AmqpConnection(Connection connection, Supplier<Instant> clock, int maxFrameBytes) {
        this.netConnection = connection;
        frameSplitter = new FrameSplitter(maxFrameBytes);
        this.clock = clock;
    }

    /** Starts the engine, whose frames are written from now on. */
    protected final void startEngine(Engine newEngine) {
        engine = newEngine;
        // Outgoing frames pass the handlers from first to last, so the performative handler, which
        // creates them, must stay before the batcher, which merges dispositions.
        EngineHandler performatives =
                engine.pipeline().find(ProtonConstants.AMQP_PERFORMATIVE_HANDLER);
        engine.pipeline()
                .remove(performatives)
                .addFirst("outcomes", new DispositionBatcher(loop()::execute))
                .addFirst(ProtonConstants.AMQP_PERFORMATIVE_HANDLER, performatives);
        engine.outputHandler(
                (buffer, done) -> {
                    try (ProtonBufferComponentAccessor components = buffer.componentAccessor()) {
                        for (ProtonBufferComponent component = components.firstReadable();
                                component != null;
                                component = components.nextReadable()) {
                            ByteBuffer bytes = component.getReadableBuffer();
                            // protonj2 1.0.0 exposes the whole array here, including the part not
                            // written
                            netConnection.write(
                                    bytes.limit(bytes.position() + component.getReadableBytes()));
                        }
                    }
                    if (done != null) { // the buffer is not closed because headers are shared
                        done.run();
                    }
                });
        engine.errorHandler(failed -> engineFailed(failed.failureCause()));
        engine.start();
        tickEngine();
    }

    /** The engine, or null before it was started. */
    protected final Engine engine() {
        return engine;
    }

    /** The transport's connection. */
    protected final Connection netConnection() {
        return netConnection;
    }

    /** The loop on which the connection runs. */
    public final Loop loop() {
        return netConnection.loop();
    }

    /** The current time of this connection's clock. */
    protected final Instant now() {
        return clock.get();
    }

    /** Whether more may be written without growing the write buffer beyond its limit. */
    public final boolean isWritable() {
        return writable && !closed;
    }

    /** Whether frames can still be sent. */
    final boolean canSendFrames() {
        return !closed
                && engine != null
                && engine.isRunning()
                && !engine.connection().isLocallyClosed()
                && !engine.connection().isRemotelyClosed();
    }

    /** Whether the connection has ended. */
    public final boolean isClosed() {
        return closed;
    }

    /** Whether received frames are discarded, because this side has closed the connection. */
    protected final boolean isDiscarding() {
        return discarding;
    }

    /**
     * Passes the received frames to the engine, a limited number in each turn of the loop, so that
     * a client that sends many small ones does not keep the loop from the others. Nothing more is
     * read until all of them were passed on.
     */
    protected final void ingest(byte[] input) {
        if (closed || discarding) {
            return;
        }
        frameSplitter.add(input);
        ingestFrames();
    }

    private void ingestFrames() {
        framesPending = false;
        if (closed || discarding) {
            return;
        }
        byte[] frames = frameSplitter.takeWholeFrames(MAX_FRAMES_PER_TURN);
        if (frames.length > 0 && engine.isWritable()) {
            try {
                engine.ingest(ProtonByteArrayBufferAllocator.wrapped(frames));
            } catch (RuntimeException handledByErrorHandler) {
                // The error handler has ended the connection.
                if (!engine.isFailed()) {
                    throw handledByErrorHandler;
                }
            }
            ProtonSymbolCache.trim();
        }
        if (frameSplitter.hasWholeFrame() && !closed && !discarding) {
            framesPending = true;
            loop().execute(this::ingestFrames);
        }
        updateReading();
    }

    /** Reads from the other side only while it may send more. */
    protected final void updateReading() {
        if (closed || discarding) {
            return;
        }
        boolean mayRead = !framesPending && mayReceive();
        if (mayRead != reading) {
            reading = mayRead;
            netConnection.setReading(mayRead);
        }
    }

    /** Whether more may be received from the other side at present. */
    protected boolean mayReceive() {
        return true;
    }

    @Override
    public void received(Connection connection, ByteBuffer bytes) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        ingest(copy);
    }

    @Override
    public void inputEnded(Connection connection) {
        netConnection.close(); // AMQP has no half-open connections
    }

    @Override
    public final void writabilityChanged(Connection connection, boolean canWrite) {
        writable = canWrite;
        if (canWrite && !closed) {
            onWritable();
        }
    }

    @Override
    public final void closed(Connection connection, Connection.Cause cause) {
        if (!closed) {
            closed = true;
            if (engine != null && !engine.isShutdown()) {
                engine.shutdown();
            }
            connectionEnded(cause.name().toLowerCase(Locale.ROOT));
        }
    }

    /**
     * Wraps a handler so that an exception is logged and ends the connection, because protonj2
     * 1.0.0 silently drops exceptions of transfer handlers.
     */
    final <T> EventHandler<T> guarded(EventHandler<T> handler) {
        return event -> {
            try {
                handler.handle(event);
            } catch (RuntimeException fault) {
                Log.error("amqp.fault", fault);
                close(ErrorConditions.failed("fault"));
                connectionEnded("fault");
            }
        };
    }

    private void engineFailed(Throwable cause) {
        if (closed) {
            return;
        }
        String reason = cause == null ? "fault" : String.valueOf(cause.getMessage());
        closed = true;
        connectionEnded(reason);
        closeAfterLinger();
    }

    /** Closes the connection with a close frame that carries the error, which may be null. */
    public final void close(ErrorCondition condition) {
        if (closed || engine == null || !engine.isRunning()) {
            netConnection.close();
            return;
        }
        engine.connection().open();
        engine.connection().setCondition(condition).close();
        discarding = true;
        netConnection.setReading(true); // unread input would turn the close into a reset
        // Not at once, as the engine may be processing the frame that led to the close.
        loop().execute(this::releaseEngine);
        closeAfterLinger();
    }

    /**
     * Releases the engine and with it the state of all sessions and links, which a closed
     * connection needs no longer while it lingers.
     */
    private void releaseEngine() {
        if (engine != null && !engine.isShutdown()) {
            engine.shutdown();
        }
        engine = null;
    }

    private void closeAfterLinger() {
        netConnection.shutdownOutput();
        loop().schedule(CLOSE_LINGER, netConnection::close);
    }

    private void tickEngine() {
        if (closed || engine == null || engine.isShutdown() || engine.isFailed()) {
            return;
        }
        Duration next = MAX_TICK_INTERVAL;
        if (engine.connection().isLocallyOpen()) {
            long now = Math.max(1, now().toEpochMilli());
            try {
                long due = engine.tick(now);
                if (due > 0) {
                    next = Duration.ofMillis(due - now);
                }
            } catch (RuntimeException handledByErrorHandler) {
                // An idle time-out fails the engine, which has reported it already.
                return;
            }
        }
        Duration wait =
                next.compareTo(MIN_TICK_INTERVAL) < 0
                        ? MIN_TICK_INTERVAL
                        : next.compareTo(MAX_TICK_INTERVAL) > 0 ? MAX_TICK_INTERVAL : next;
        loop().schedule(wait, this::tickEngine);
    }

    /** Called when the connection becomes writable again. */
    protected abstract void onWritable();

    /** Called once when the connection has ended. */
    protected abstract void connectionEnded(String reason);
}
