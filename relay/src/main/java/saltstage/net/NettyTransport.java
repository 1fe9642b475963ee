package saltstage.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * A transport on Netty's event loops. It uses epoll if the native library loads, and the JDK's
 * selectors otherwise.
 */
public final class NettyTransport implements Transport {
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 5_000;

    private static final int MIN_READ_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 2 << 10;
    private static final int MAX_READ_BYTES = 16 << 10;

    /** Reads from one connection before the loop turns to the next. */
    private static final int READS_PER_TURN = 1;

    /** The system's text for EADDRINUSE, which both kinds of channels include in their message. */
    private static final String ADDRESS_IN_USE = "Address already in use";

    private final EventLoopGroup eventLoopGroup;
    private final Class<? extends ServerChannel> serverChannelType;
    private final Class<? extends Channel> clientChannelType;
    private final List<Loop> loops = new ArrayList<>();
    private final BiConsumer<String, Throwable> faultListener;

    /**
     * Creates a transport with this many loops. The listener receives every exception that a
     * handler throws, with the place where it was caught.
     */
    public NettyTransport(
            int threads, boolean preferEpoll, BiConsumer<String, Throwable> faultListener) {
        boolean epoll = preferEpoll && Epoll.isAvailable();
        DefaultThreadFactory threadFactory = new DefaultThreadFactory("loop", true);
        eventLoopGroup =
                epoll
                        ? new EpollEventLoopGroup(threads, threadFactory)
                        : new NioEventLoopGroup(threads, threadFactory);
        serverChannelType = epoll ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
        clientChannelType = epoll ? EpollSocketChannel.class : NioSocketChannel.class;
        this.faultListener = faultListener;
        for (EventExecutor executor : eventLoopGroup) {
            loops.add(new NettyLoop((EventLoop) executor));
        }
    }

    /** A loop on a Netty event loop. */
    record NettyLoop(EventLoop eventLoop) implements Loop {
        @Override
        public boolean isCurrentThread() {
            return eventLoop.inEventLoop();
        }

        @Override
        public void execute(Runnable task) {
            eventLoop.execute(task);
        }

        @Override
        public Timer schedule(Duration delay, Runnable task) {
            Future<?> scheduled = eventLoop.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
            return () -> scheduled.cancel(false);
        }
    }

    private Loop loopOf(Channel channel) {
        return loops.stream()
                .filter(loop -> ((NettyLoop) loop).eventLoop() == channel.eventLoop())
                .findFirst()
                .orElseThrow();
    }

    @Override
    public Listener listen(
            InetSocketAddress address,
            int backlog,
            Connection.WriteLimits limits,
            Acceptor acceptor)
            throws IOException {
        ServerBootstrap server =
                new ServerBootstrap()
                        .group(eventLoopGroup)
                        .channel(serverChannelType)
                        .option(ChannelOption.SO_BACKLOG, backlog)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        NettyConnection connection =
                                                initConnection(channel, limits);
                                        ConnectionHandler handler = acceptor.accept(connection);
                                        if (handler == null) {
                                            connection.refuse();
                                        } else {
                                            connection.setHandler(handler);
                                        }
                                    }
                                });
        ChannelFuture bound = server.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw listenFailure(address, bound.cause());
        }
        return new NettyListener(bound.channel());
    }

    /** One connection that always has input must not keep the loop from the others. */
    private static AdaptiveRecvByteBufAllocator newReadLimit() {
        AdaptiveRecvByteBufAllocator limit =
                new AdaptiveRecvByteBufAllocator(
                        MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
        limit.maxMessagesPerRead(READS_PER_TURN);
        return limit;
    }

    /** The JDK and the native library report the same system error with different exceptions. */
    private static IOException listenFailure(InetSocketAddress address, Throwable cause) {
        boolean inUse = String.valueOf(cause.getMessage()).contains(ADDRESS_IN_USE);
        return inUse
                ? new AddressInUseException(address, cause)
                : new IOException("cannot listen on " + address + ": " + cause.getMessage(), cause);
    }

    private record NettyListener(Channel channel) implements Listener {
        @Override
        public InetSocketAddress address() {
            return (InetSocketAddress) channel.localAddress();
        }

        @Override
        public void setAccepting(boolean accepting) {
            channel.config().setAutoRead(accepting);
        }

        @Override
        public void close() {
            channel.close().awaitUninterruptibly();
        }
    }

    private NettyConnection initConnection(SocketChannel channel, Connection.WriteLimits limits) {
        channel.config().setRecvByteBufAllocator(newReadLimit());
        channel.config().setTcpNoDelay(true);
        channel.config().setAllowHalfClosure(true);
        channel.config()
                .setWriteBufferWaterMark(
                        new WriteBufferWaterMark(limits.softBytes() / 2, limits.softBytes()));
        NettyConnection connection =
                new NettyConnection(channel, loopOf(channel), limits, faultListener);
        channel.pipeline().addLast(connection);
        return connection;
    }

    @Override
    public void connect(
            Loop loop,
            InetSocketAddress address,
            Duration timeout,
            Connection.WriteLimits limits,
            ConnectListener listener) {
        Bootstrap client =
                new Bootstrap()
                        .group(((NettyLoop) loop).eventLoop())
                        .channel(clientChannelType)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) Math.max(1, timeout.toMillis()))
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        initConnection(channel, limits)
                                                .setConnectListener(listener);
                                    }
                                });
        client.connect(address)
                .addListener(
                        result -> {
                            if (!result.isSuccess()) {
                                Throwable cause = result.cause();
                                listener.failed(
                                        cause instanceof IOException ioException
                                                ? ioException
                                                : new IOException(cause.getMessage(), cause));
                            }
                        });
    }

    @Override
    public List<Loop> loops() {
        return List.copyOf(loops);
    }

    @Override
    public void close() {
        eventLoopGroup
                .shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
    }
}
