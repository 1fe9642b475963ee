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

/** A connection on a channel of Netty's. */
final class NettyConnection extends ChannelInboundHandlerAdapter implements Connection {
    /**
     * Room for the first write of a round, which most often is the only one, and for all that
     * follow it.
     */
    private static final int FIRST = 512;

    private static final int GATHERED = 16 << 10;

    private final SocketChannel channel;
    private final Loop loop;
    private final Bounds bounds;
    private final BiConsumer<String, Throwable> faults;
    private Transport.Connecting connecting;
    private Handler handler;
    private Cause cause;
    private boolean inputEnded;
    private boolean outputEnded;
    private boolean over;
    private boolean flushing;

    /**
     * What was written in this round of the loop and is not handed to the channel yet; null:
     * nothing.
     */
    private ByteBuf gathered;

    NettyConnection(
            SocketChannel channel, Loop loop, Bounds bounds, BiConsumer<String, Throwable> faults) {
        this.channel = channel;
        this.loop = loop;
        this.bounds = bounds;
        this.faults = faults;
    }

    void handler(Handler to) {
        handler = to;
    }

    /** It is on its way: the handler is asked for when it is up. */
    void connecting(Transport.Connecting to) {
        connecting = to;
    }

    void refuse() {
        over = true;
        reset();
    }

    @Override
    public Loop loop() {
        return loop;
    }

    @Override
    public InetSocketAddress remote() {
        return channel.remoteAddress();
    }

    @Override
    public void write(ByteBuffer bytes) {
        if (over || outputEnded || cause != null) {
            return;
        }
        if (unsent() + bytes.remaining() > bounds.most()) {
            end(Cause.OVERFLOW);
            return;
        }
        if (gathered != null && gathered.maxWritableBytes() < bytes.remaining()) {
            handOver();
        }
        if (gathered
                == null) { // many small writes cost the channel an entry, a buffer and a promise
            // each
            gathered =
                    channel.alloc()
                            .ioBuffer(
                                    Math.max(bytes.remaining(), flushing ? GATHERED : FIRST),
                                    Math.max(bytes.remaining(), GATHERED));
        }
        gathered.writeBytes(bytes);
        if (!flushing) { // one call of the system for all that is written in this round of the loop
            flushing = true;
            channel.eventLoop()
                    .execute(
                            () -> {
                                flushing = false;
                                handOver();
                                channel.flush();
                            });
        }
    }

    private void handOver() {
        if (gathered != null) {
            ByteBuf out = gathered;
            gathered = null;
            channel.write(out, channel.voidPromise());
        }
    }

    @Override
    public long unsent() {
        ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
        return (out == null ? 0 : out.totalPendingWriteBytes())
                + (gathered == null ? 0 : gathered.readableBytes());
    }

    @Override
    public void reading(boolean wanted) {
        channel.config().setAutoRead(wanted);
    }

    @Override
    public void endOutput() {
        if (!outputEnded) {
            outputEnded = true;
            handOver();
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                    .addListener(
                            sent ->
                                    channel.shutdownOutput()
                                            .addListener(done -> closeIfBothEnded()));
        }
    }

    private void closeIfBothEnded() {
        if (inputEnded && outputEnded && channel.isOpen()) {
            cause = cause == null ? Cause.ENDED : cause;
            channel.close();
        }
    }

    @Override
    public void close() {
        cause = cause == null ? Cause.OURS : cause;
        handOver();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void reset() {
        end(Cause.OURS);
    }

    private void end(Cause why) {
        cause = cause == null ? why : cause;
        if (channel.isOpen()) {
            channel.config().setSoLinger(0);
            channel.close();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (connecting != null) {
            guarded(() -> handler = connecting.connected(this));
            if (handler == null) {
                refuse();
            }
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        try {
            if (!over && cause == null) {
                guarded(() -> handler.received(this, bytes.nioBuffer()));
            }
        } finally {
            bytes.release();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == ChannelInputShutdownEvent.INSTANCE && !inputEnded) {
            inputEnded = true;
            if (!over && cause == null) {
                guarded(() -> handler.inputEnded(this));
            }
            closeIfBothEnded();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (!over && cause == null && handler != null) {
            guarded(() -> handler.writable(this, channel.isWritable()));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable why) {
        if (why instanceof IOException) {
            end(Cause.RESET);
        } else {
            faults.accept("connection", why);
            end(Cause.FAULT);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (gathered != null) {
            gathered.release();
            gathered = null;
        }
        if (!over && handler != null) {
            over = true;
            Cause why = cause == null ? Cause.RESET : cause;
            guarded(() -> handler.closed(this, why));
        }
    }

    /** A handler that throws costs its own connection and nothing else of the loop. */
    private void guarded(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException fault) {
            faults.accept("handler", fault);
            end(Cause.FAULT);
        }
    }
}
