package saltstage.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
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
 * The transport on Netty's event loops: epoll where its library loads, else the JDK's selectors.
 */
public final class NettyTransport implements Transport {
    private static final long END_MS = 5_000;

    private final EventLoopGroup group;
    private final Class<? extends ServerChannel> serverType;
    private final Class<? extends Channel> clientType;
    private final List<Loop> loops = new ArrayList<>();
    private final BiConsumer<String, Throwable> faults;

    /** So many loops; what a handler throws is told with its place. */
    public NettyTransport(int threads, boolean epollIfThere, BiConsumer<String, Throwable> faults) {
        boolean epoll = epollIfThere && Epoll.isAvailable();
        DefaultThreadFactory daemons = new DefaultThreadFactory("loop", true);
        group =
                epoll
                        ? new EpollEventLoopGroup(threads, daemons)
                        : new NioEventLoopGroup(threads, daemons);
        serverType = epoll ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
        clientType = epoll ? EpollSocketChannel.class : NioSocketChannel.class;
        this.faults = faults;
        for (EventExecutor executor : group) {
            loops.add(new NettyLoop((EventLoop) executor));
        }
    }

    /** A loop of Netty's. */
    record NettyLoop(EventLoop events) implements Loop {
        @Override
        public boolean isCurrent() {
            return events.inEventLoop();
        }

        @Override
        public void run(Runnable task) {
            events.execute(task);
        }

        @Override
        public Timer after(Duration delay, Runnable task) {
            Future<?> due = events.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
            return () -> due.cancel(false);
        }
    }

    private Loop loopOf(Channel channel) {
        return loops.stream()
                .filter(loop -> ((NettyLoop) loop).events() == channel.eventLoop())
                .findFirst()
                .orElseThrow();
    }

    @Override
    public Listener listen(
            InetSocketAddress at, int backlog, Connection.Bounds bounds, Acceptor acceptor)
            throws IOException {
        ServerBootstrap server =
                new ServerBootstrap()
                        .group(group)
                        .channel(serverType)
                        .option(ChannelOption.SO_BACKLOG, backlog)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        NettyConnection connection = prepare(channel, bounds);
                                        Handler handler = acceptor.accept(connection);
                                        if (handler == null) {
                                            connection.refuse();
                                        } else {
                                            connection.handler(handler);
                                        }
                                    }
                                });
        ChannelFuture bound = server.bind(at).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "cannot listen on " + at + ": " + bound.cause().getMessage(), bound.cause());
        }
        return new NettyListener(bound.channel());
    }

    private record NettyListener(Channel channel) implements Listener {
        @Override
        public InetSocketAddress address() {
            return (InetSocketAddress) channel.localAddress();
        }

        @Override
        public void accepting(boolean wanted) {
            channel.config().setAutoRead(wanted);
        }

        @Override
        public void close() {
            channel.close().awaitUninterruptibly();
        }
    }

    private NettyConnection prepare(SocketChannel channel, Connection.Bounds bounds) {
        channel.config().setTcpNoDelay(true);
        channel.config().setAllowHalfClosure(true);
        channel.config()
                .setWriteBufferWaterMark(
                        new WriteBufferWaterMark(bounds.soft() / 2, bounds.soft()));
        NettyConnection connection = new NettyConnection(channel, loopOf(channel), bounds, faults);
        channel.pipeline().addLast(connection);
        return connection;
    }

    @Override
    public void connect(
            Loop on,
            InetSocketAddress to,
            Duration limit,
            Connection.Bounds bounds,
            Connecting connecting) {
        Bootstrap client =
                new Bootstrap()
                        .group(((NettyLoop) on).events())
                        .channel(clientType)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) Math.max(1, limit.toMillis()))
                        .handler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        prepare(channel, bounds).connecting(connecting);
                                    }
                                });
        client.connect(to)
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                Throwable why = done.cause();
                                connecting.failed(
                                        why instanceof IOException io
                                                ? io
                                                : new IOException(why.getMessage(), why));
                            }
                        });
    }

    @Override
    public List<Loop> loops() {
        return List.copyOf(loops);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, END_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly(END_MS);
    }
}
