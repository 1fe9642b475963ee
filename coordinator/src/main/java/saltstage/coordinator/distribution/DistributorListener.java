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
 * The read API on HTTP/1.1 for many followers whose requests are held: one thread, bounded in
 * connections, in bytes that wait for a slow reader, and in silence.
 */
public final class DistributorListener implements AutoCloseable {
    private static final int MOST_CONNECTIONS = 4_000;
    private static final int BACKLOG = 1_024;

    /** The kernel's share of what waits for a reader; left alone it grows to megabytes. */
    private static final int SEND_BUFFER_BYTES = 128 << 10;

    private static final int MOST_BODY_BYTES = 4 << 10;
    private static final long SWEEP_MS = 250;

    private final NioEventLoopGroup group =
            new NioEventLoopGroup(1, new DefaultThreadFactory("distributor", true));
    private final DistributorHandler handler;
    private final Channel channel;

    /** Those that are open; used by the group's one thread only. */
    private final Set<FollowerConnection> connections = new HashSet<>();

    /** Listens; throws IOException where the address cannot be had. */
    public DistributorListener(InetSocketAddress address, DistributorHandler handler)
            throws IOException {
        this.handler = handler;
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                        .childHandler(new Connections())
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            throw new IOException(
                    "cannot listen on " + address + ": " + bound.cause().getMessage());
        }
        channel = bound.channel();
        group.next().scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    private final class Connections extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel child) {
            if (connections.size() >= MOST_CONNECTIONS) {
                child.close();
                return;
            }
            FollowerConnection connection = new FollowerConnection(handler);
            connections.add(connection);
            child.closeFuture().addListener(closed -> connections.remove(connection));
            child.pipeline()
                    .addLast(
                            new HttpServerCodec(),
                            new HttpObjectAggregator(MOST_BODY_BYTES),
                            connection);
        }
    }

    private void sweep() {
        handler.sweep();
        long nowNanos = System.nanoTime();
        List.copyOf(connections).forEach(connection -> connection.closeIfStuck(nowNanos));
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2_000);
    }
}
