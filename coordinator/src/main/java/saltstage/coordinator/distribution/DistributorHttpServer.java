package saltstage.coordinator.distribution;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Serves the read API over HTTP/1.1 to many followers whose requests wait for changes. It uses one
 * thread and bounds the number of connections, the bytes buffered for a slow reader, and the time
 * for which a connection may be idle.
 */
public final class DistributorHttpServer implements AutoCloseable {
    private static final int MAX_CONNECTIONS = 4_000;
    private static final int ACCEPT_BACKLOG = 1_024;

    /** The kernel's send buffer; without a limit it grows to megabytes for a slow reader. */
    private static final int SEND_BUFFER_BYTES = 128 << 10;

    private static final int MAX_REQUEST_BODY_BYTES = 4 << 10;
    private static final long SWEEP_INTERVAL_MS = 250;

    private final NioEventLoopGroup eventLoopGroup =
            new NioEventLoopGroup(1, new DefaultThreadFactory("distributor", true));
    private final DistributorHandler handler;
    private final Channel serverChannel;

    /** The open connections; accessed only by the single thread of the event loop group. */
    private final Set<FollowerConnection> connections = new HashSet<>();

    /** Starts to listen; throws IOException if the address cannot be bound. */
    public DistributorHttpServer(InetSocketAddress address, DistributorHandler handler)
            throws IOException {
        this.handler = handler;
        ChannelFuture bindFuture =
                new ServerBootstrap()
                        .group(eventLoopGroup)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                        .childHandler(new ConnectionInitializer())
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bindFuture.isSuccess()) {
            eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            throw new IOException(
                    "cannot listen on " + address + ": " + bindFuture.cause().getMessage());
        }
        serverChannel = bindFuture.channel();
        eventLoopGroup
                .next()
                .scheduleAtFixedRate(
                        this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel child) {
            if (connections.size() >= MAX_CONNECTIONS) {
                child.close();
                return;
            }
            FollowerConnection connection = new FollowerConnection(handler);
            connections.add(connection);
            child.closeFuture().addListener(closed -> connections.remove(connection));
            child.pipeline()
                    .addLast(
                            new HttpServerCodec(),
                            new HttpObjectAggregator(MAX_REQUEST_BODY_BYTES),
                            connection);
        }
    }

    private void sweep() {
        handler.sweep();
        long nowNanos = System.nanoTime();
        List.copyOf(connections).forEach(connection -> connection.closeIfTimedOut(nowNanos));
    }

    /** Returns the address on which the server listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.localAddress();
    }

    @Override
    public void close() {
        serverChannel.close().awaitUninterruptibly();
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2_000);
    }
}
