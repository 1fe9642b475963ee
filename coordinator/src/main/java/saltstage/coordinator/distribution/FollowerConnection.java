package saltstage.coordinator.distribution;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * A follower's connection, which handles one request at a time. A response is written in chunks,
 * each after the previous one is in the socket's buffer, so that a slow reader occupies the memory
 * of one chunk. A reader that accepts no chunk for too long is disconnected, and reconnects with
 * the revision that it has. Used only by the connection's event loop.
 */
final class FollowerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    /** The maximum number of bytes of a response that wait for the reader at once. */
    static final int CHUNK_BYTES = 64 << 10;

    /** A reader that accepts no chunk for this time is disconnected. */
    static final Duration WRITE_TIMEOUT = Duration.ofSeconds(5);

    /** A connection without a request for this time is closed. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private final DistributorHandler handler;
    private ChannelHandlerContext context;
    private CompletableFuture<EncodedResponse> pendingResponse;
    private boolean writing;
    private long lastProgressNanos = System.nanoTime();

    FollowerConnection(DistributorHandler handler) {
        this.handler = handler;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext from, FullHttpRequest request) {
        if (pendingResponse != null || writing) { // the client did not wait for its response
            from.close();
            return;
        }
        lastProgressNanos = System.nanoTime();
        if (!request.decoderResult().isSuccess() || request.method() != HttpMethod.GET) {
            writeResponse(
                    new EncodedResponse(HttpResponseStatus.METHOD_NOT_ALLOWED.code(), new byte[0]),
                    false);
            return;
        }
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        pendingResponse = handler.handle(request.uri(), from.channel().remoteAddress().toString());
        pendingResponse.whenComplete(
                (answer, cancelled) -> {
                    if (answer != null) {
                        from.executor().execute(() -> writeResponse(answer, keepAlive));
                    }
                });
    }

    private void writeResponse(EncodedResponse answer, boolean keepAlive) {
        pendingResponse = null;
        if (!context.channel().isActive()) {
            return;
        }
        writing = true;
        lastProgressNanos = System.nanoTime();
        HttpResponse head =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()));
        head.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .setInt(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
        HttpUtil.setKeepAlive(head, keepAlive);
        context.write(head);
        writeChunk(answer.body(), 0, keepAlive);
    }

    private void writeChunk(byte[] body, int from, boolean keepAlive) {
        int length = Math.min(CHUNK_BYTES, body.length - from);
        int next = from + length;
        ByteBuf piece = Unpooled.wrappedBuffer(body, from, length);
        if (next < body.length) {
            context.writeAndFlush(new DefaultHttpContent(piece))
                    .addListener(done -> chunkWritten(done.isSuccess(), body, next, keepAlive));
        } else {
            context.writeAndFlush(new DefaultLastHttpContent(piece))
                    .addListener(done -> lastChunkWritten(done.isSuccess(), keepAlive));
        }
    }

    private void chunkWritten(boolean success, byte[] body, int next, boolean keepAlive) {
        if (success) {
            lastProgressNanos = System.nanoTime();
            writeChunk(body, next, keepAlive);
        }
    }

    private void lastChunkWritten(boolean success, boolean keepAlive) {
        writing = false;
        lastProgressNanos = System.nanoTime();
        if (!success || !keepAlive) {
            context.close();
        }
    }

    /** Closes the connection if its reader has stalled, or if it has been idle for too long. */
    void closeIfTimedOut(long nowNanos) {
        long quietNanos = nowNanos - lastProgressNanos;
        boolean stuck = writing && quietNanos > WRITE_TIMEOUT.toNanos();
        boolean idle = pendingResponse == null && !writing && quietNanos > IDLE_TIMEOUT.toNanos();
        if (stuck || idle) {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext gone) {
        if (pendingResponse != null) {
            pendingResponse.cancel(false); // the client has disconnected
            pendingResponse = null;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext from, Throwable reset) {
        from.close();
    }
}
