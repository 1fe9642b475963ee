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
    public void handlerAdded(ChannelHandlerContext newContext) {
        context = newContext;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext channelContext, FullHttpRequest request) {
        if (pendingResponse != null || writing) { // the client did not wait for its response
            channelContext.close();
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
        pendingResponse =
                handler.handle(request.uri(), channelContext.channel().remoteAddress().toString());
        pendingResponse.whenComplete(
                (response, cancelled) -> {
                    if (response != null) {
                        channelContext.executor().execute(() -> writeResponse(response, keepAlive));
                    }
                });
    }

    private void writeResponse(EncodedResponse response, boolean keepAlive) {
        pendingResponse = null;
        if (!context.channel().isActive()) {
            return;
        }
        writing = true;
        lastProgressNanos = System.nanoTime();
        HttpResponse head =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(response.status()));
        head.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .setInt(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
        HttpUtil.setKeepAlive(head, keepAlive);
        context.write(head);
        writeChunk(response.body(), 0, keepAlive);
    }

    private void writeChunk(byte[] body, int offset, boolean keepAlive) {
        int length = Math.min(CHUNK_BYTES, body.length - offset);
        int nextOffset = offset + length;
        ByteBuf chunk = Unpooled.wrappedBuffer(body, offset, length);
        if (nextOffset < body.length) {
            context.writeAndFlush(new DefaultHttpContent(chunk))
                    .addListener(
                            future ->
                                    chunkWritten(future.isSuccess(), body, nextOffset, keepAlive));
        } else {
            context.writeAndFlush(new DefaultLastHttpContent(chunk))
                    .addListener(future -> lastChunkWritten(future.isSuccess(), keepAlive));
        }
    }

    private void chunkWritten(boolean success, byte[] body, int nextOffset, boolean keepAlive) {
        if (success) {
            lastProgressNanos = System.nanoTime();
            writeChunk(body, nextOffset, keepAlive);
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
        long idleNanos = nowNanos - lastProgressNanos;
        boolean stalled = writing && idleNanos > WRITE_TIMEOUT.toNanos();
        boolean idle = pendingResponse == null && !writing && idleNanos > IDLE_TIMEOUT.toNanos();
        if (stalled || idle) {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext channelContext) {
        if (pendingResponse != null) {
            pendingResponse.cancel(false); // the client has disconnected
            pendingResponse = null;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channelContext, Throwable cause) {
        channelContext.close();
    }
}
