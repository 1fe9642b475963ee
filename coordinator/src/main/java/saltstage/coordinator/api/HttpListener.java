package saltstage.coordinator.api;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import saltstage.coordinator.group.GroupCodec;
import saltstage.log.Log;

/**
 * Serves the API over HTTP/1.1 with Netty's codec; limits the number of connections, the size of
 * requests and the idle time.
 */
public final class HttpListener implements AutoCloseable {
    private static final int MAX_CONNECTIONS = 4_000;

    /** Enough for the largest request, a renewal of thousands of leases. */
    private static final int MAX_BODY_BYTES = 1 << 20;

    private static final int READ_TIMEOUT_SECONDS = 60;

    private final NioEventLoopGroup eventLoopGroup =
            new NioEventLoopGroup(1, new DefaultThreadFactory("api", true));
    private final Channel channel;
    private final AtomicInteger connectionCount = new AtomicInteger();

    /** Starts to listen on an address. */
    public HttpListener(InetSocketAddress address, ApiHandler handler) throws IOException {
        ChannelFuture bindFuture =
                new ServerBootstrap()
                        .group(eventLoopGroup)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, 512)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel child) {
                                        if (connectionCount.incrementAndGet() > MAX_CONNECTIONS) {
                                            connectionCount.decrementAndGet();
                                            child.close();
                                            return;
                                        }
                                        child.closeFuture()
                                                .addListener(
                                                        done -> connectionCount.decrementAndGet());
                                        child.config().setTcpNoDelay(true);
                                        child.pipeline()
                                                .addLast(
                                                        new ReadTimeoutHandler(
                                                                READ_TIMEOUT_SECONDS),
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                                        new RequestHandler(handler));
                                    }
                                })
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bindFuture.isSuccess()) {
            eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            throw new IOException(
                    "cannot listen on " + address + ": " + bindFuture.cause().getMessage());
        }
        channel = bindFuture.channel();
    }

    /**
     * Handles one request of a connection at a time: the next one is read once the current one is
     * answered.
     */
    private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final ApiHandler handler;
        private boolean responsePending;

        RequestHandler(ApiHandler handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            if (responsePending) { // pipelined: responses could be reordered
                context.close();
                return;
            }
            responsePending = true;
            context.channel().config().setAutoRead(false);
            handler.handle(request)
                    .whenComplete(
                            (response, failure) ->
                                    context.executor()
                                            .execute(
                                                    () ->
                                                            writeResponse(
                                                                    context, response, keepAlive)));
        }

        private void writeResponse(
                ChannelHandlerContext context, ApiResponse apiResponse, boolean keepAlive) {
            responsePending = false;
            byte[] body;
            boolean raw = apiResponse.body() instanceof byte[];
            try {
                body =
                        raw
                                ? (byte[]) apiResponse.body()
                                : GroupCodec.jsonMapper().writeValueAsBytes(apiResponse.body());
            } catch (JsonProcessingException failure) {
                Log.error("front.fault", failure);
                context.close();
                return;
            }
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(apiResponse.status()),
                            Unpooled.wrappedBuffer(body));
            response.headers()
                    .set(
                            HttpHeaderNames.CONTENT_TYPE,
                            raw ? "application/cbor" : "application/json")
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
            HttpUtil.setKeepAlive(response, keepAlive);
            ChannelFuture writeFuture = context.writeAndFlush(response);
            if (!keepAlive) {
                writeFuture.addListener(ChannelFutureListener.CLOSE);
            }
            context.channel().config().setAutoRead(true);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close(); // a timeout, a reset or malformed HTTP; no request reached the handler
        }
    }

    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2_000);
    }
}
