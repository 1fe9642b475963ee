package saltstage.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.BiConsumer;

/** A connection on a Netty channel. */
final class NettyConnection extends ChannelInboundHandlerAdapter implements Connection {
    /** Buffer size for the first write of a loop iteration, which is usually the only one. */
    private static final int INITIAL_BUFFER_BYTES = 512;

    /** Buffer size for the further writes of the same loop iteration. */
    private static final int WRITE_BUFFER_BYTES = 16 << 10;

    private final SocketChannel channel;
    private final Loop loop;
    private final WriteLimits writeLimits;
    private final BiConsumer<String, Throwable> faultListener;
    private Transport.ConnectListener connectListener;
    private ConnectionHandler handler;
    private Cause cause;
    private boolean inputEnded;
    private boolean outputShutdown;
    private boolean closed;
    private boolean flushScheduled;

    /** The bytes written in this loop iteration and not yet passed to the channel; null if none. */
    private ByteBuf writeBuffer;

    NettyConnection(
            SocketChannel channel,
            Loop loop,
            WriteLimits writeLimits,
            BiConsumer<String, Throwable> faultListener) {
        this.channel = channel;
        this.loop = loop;
        this.writeLimits = writeLimits;
        this.faultListener = faultListener;
    }

    void setHandler(ConnectionHandler newHandler) {
        handler = newHandler;
    }

    /** Sets the listener that supplies the handler once the outgoing connection is established. */
    void setConnectListener(Transport.ConnectListener listener) {
        connectListener = listener;
    }

    /** Resets a connection that got no handler. */
    void refuse() {
        closed = true;
        reset();
    }

    @Override
    public Loop loop() {
        return loop;
    }

    @Override
    public InetSocketAddress remoteAddress() {
        return channel.remoteAddress();
    }

    @Override
    public void write(ByteBuffer bytes) {
        if (closed || outputShutdown || cause != null) {
            return;
        }
        if (unsentBytes() + bytes.remaining() > writeLimits.maxBytes()) {
            abort(Cause.OVERFLOW);
            return;
        }
        if (writeBuffer != null && writeBuffer.maxWritableBytes() < bytes.remaining()) {
            writeBuffered();
        }
        // Small writes share a buffer; each alone would cost the channel an entry, a buffer and a
        // promise.
        if (writeBuffer == null) {
            writeBuffer =
                    channel.alloc()
                            .ioBuffer(
                                    Math.max(
                                            bytes.remaining(),
                                            flushScheduled
                                                    ? WRITE_BUFFER_BYTES
                                                    : INITIAL_BUFFER_BYTES),
                                    Math.max(bytes.remaining(), WRITE_BUFFER_BYTES));
        }
        writeBuffer.writeBytes(bytes);
        // One system call sends everything that is written in this loop iteration.
        if (!flushScheduled) {
            flushScheduled = true;
            channel.eventLoop()
                    .execute(
                            () -> {
                                flushScheduled = false;
                                writeBuffered();
                                channel.flush();
                            });
        }
    }

    private void writeBuffered() {
        if (writeBuffer != null) {
            ByteBuf bytes = writeBuffer;
            writeBuffer = null;
            channel.write(bytes, channel.voidPromise());
        }
    }

    @Override
    public long unsentBytes() {
        ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
        return (out == null ? 0 : out.totalPendingWriteBytes())
                + (writeBuffer == null ? 0 : writeBuffer.readableBytes());
    }

    @Override
    public void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    @Override
    public void shutdownOutput() {
        if (!outputShutdown) {
            outputShutdown = true;
            writeBuffered();
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                    .addListener(
                            sent ->
                                    channel.shutdownOutput()
                                            .addListener(done -> closeIfBothEnded()));
        }
    }

    private void closeIfBothEnded() {
        if (inputEnded && outputShutdown && channel.isOpen()) {
            cause = cause == null ? Cause.ENDED : cause;
            channel.close();
        }
    }

    @Override
    public void close() {
        cause = cause == null ? Cause.OURS : cause;
        writeBuffered();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void reset() {
        abort(Cause.OURS);
    }

    private void abort(Cause abortCause) {
        cause = cause == null ? abortCause : cause;
        if (channel.isOpen()) {
            channel.config().setSoLinger(0);
            channel.close();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (connectListener != null) {
            callHandler(() -> handler = connectListener.connected(this));
            if (handler == null) {
                refuse();
            }
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        try {
            if (!closed && cause == null) {
                callHandler(() -> handler.received(this, bytes.nioBuffer()));
            }
        } finally {
            bytes.release();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE && !inputEnded) {
            inputEnded = true;
            if (!closed && cause == null) {
                callHandler(() -> handler.inputEnded(this));
            }
            closeIfBothEnded();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (!closed && cause == null && handler != null) {
            callHandler(() -> handler.writabilityChanged(this, channel.isWritable()));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable exception) {
        if (exception instanceof IOException) {
            abort(Cause.RESET);
        } else {
            faultListener.accept("connection", exception);
            abort(Cause.FAULT);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (writeBuffer != null) {
            writeBuffer.release();
            writeBuffer = null;
        }
        if (!closed && handler != null) {
            closed = true;
            Cause closeCause = cause == null ? Cause.RESET : cause;
            callHandler(() -> handler.closed(this, closeCause));
        }
    }

    /** Calls the handler. If it throws, only its own connection is closed; the loop goes on. */
    private void callHandler(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException fault) {
            faultListener.accept("handler", fault);
            abort(Cause.FAULT);
        }
    }
}
