package saltstage.lab.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import saltstage.net.Connection;
import saltstage.net.ConnectionHandler;
import saltstage.net.Transport;

/**
 * A proxy that counts forwarded traffic, adds a fixed delay and can be cut. While it is cut it
 * forwards nothing and closes no connection, as in a network partition between two regions.
 */
public final class CountingProxy implements AutoCloseable {
    private static final int BACKLOG = 1_024;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Connection.WriteLimits WRITE_LIMITS =
            new Connection.WriteLimits(1 << 18, 64 << 20);

    private final Transport transport;
    private final InetSocketAddress target;
    private final Duration delay;
    private final Transport.Listener listener;
    private final LongAdder bytesToTarget = new LongAdder();
    private final LongAdder bytesFromTarget = new LongAdder();
    private final LongAdder messagesToTarget = new LongAdder();
    private final Set<ProxiedConnection> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;

    /**
     * Listens on a free loopback port and forwards to the target on the transport's event loops.
     */
    public CountingProxy(Transport transport, InetSocketAddress target, Duration delay)
            throws IOException {
        this.transport = transport;
        this.target = target;
        this.delay = delay;
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        listener =
                transport.listen(
                        anyPort,
                        BACKLOG,
                        WRITE_LIMITS,
                        accepted -> new ProxiedConnection(accepted).fromClient);
    }

    /** The address to which clients connect. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** The number of bytes received from clients. */
    public long bytesToTarget() {
        return bytesToTarget.sum();
    }

    /** The number of bytes received from the target. */
    public long bytesFromTarget() {
        return bytesFromTarget.sum();
    }

    /**
     * The number of reads from clients. It equals the number of requests if each request is written
     * at once and answered before the next one.
     */
    public long messagesToTarget() {
        return messagesToTarget.sum();
    }

    /** Stops forwarding; new connections are accepted but not connected to the target. */
    public void cut() {
        cut = true;
    }

    /** Forwards again, beginning with the bytes held back while the proxy was cut. */
    public void heal() {
        cut = false;
        connections.forEach(ProxiedConnection::resume);
    }

    /** Resets all open connections. */
    public void reset() {
        connections.forEach(proxied -> proxied.clientConnection.loop().execute(proxied::resetBoth));
    }

    @Override
    public void close() {
        listener.close();
        reset();
    }

    /** A client's connection and its connection to the target, both on one event loop. */
    private final class ProxiedConnection implements Transport.ConnectListener {
        private final Connection clientConnection;
        private final Direction fromClient = new Direction(true);
        private final Direction fromTarget = new Direction(false);
        private Connection targetConnection;
        private boolean ended;
        private boolean oneSideEnded;

        ProxiedConnection(Connection client) {
            this.clientConnection = client;
            connections.add(this);
            connect();
        }

        private void connect() {
            if (!cut) {
                transport.connect(
                        clientConnection.loop(), target, CONNECT_TIMEOUT, WRITE_LIMITS, this);
            }
        }

        private void resume() {
            clientConnection
                    .loop()
                    .execute(
                            () -> {
                                if (targetConnection == null && !ended) {
                                    connect();
                                }
                                fromClient.forwardDue();
                                fromTarget.forwardDue();
                                if (oneSideEnded) {
                                    closeBoth();
                                }
                            });
        }

        @Override
        public ConnectionHandler connected(Connection connection) {
            targetConnection = connection;
            if (ended) {
                connection.reset();
                return fromTarget;
            }
            fromClient.forwardDue();
            return fromTarget;
        }

        @Override
        public void failed(IOException cause) {
            resetBoth();
        }

        private void resetBoth() {
            ended = true;
            connections.remove(this);
            clientConnection.reset();
            if (targetConnection != null) {
                targetConnection.reset();
            }
        }

        /** Bytes to be forwarded when they are due; an empty buffer marks the end of the input. */
        private record DelayedBytes(long dueNanos, ByteBuffer bytes) {}

        /** One direction of a proxied connection. */
        private final class Direction implements ConnectionHandler {
            private final boolean toTarget;
            private final Deque<DelayedBytes> delayedBytes = new ArrayDeque<>();

            Direction(boolean toTarget) {
                this.toTarget = toTarget;
            }

            private Connection sink() {
                return toTarget ? targetConnection : clientConnection;
            }

            private Connection source() {
                return toTarget ? clientConnection : targetConnection;
            }

            @Override
            public void received(Connection connection, ByteBuffer bytes) {
                (toTarget ? bytesToTarget : bytesFromTarget).add(bytes.remaining());
                if (toTarget) {
                    messagesToTarget.increment();
                }
                ByteBuffer copy = ByteBuffer.allocate(bytes.remaining());
                enqueue(copy.put(bytes).flip());
            }

            private void enqueue(ByteBuffer bytes) {
                delayedBytes.add(new DelayedBytes(System.nanoTime() + delay.toNanos(), bytes));
                if (delay.isZero()) {
                    forwardDue();
                } else {
                    clientConnection.loop().schedule(delay, this::forwardDue);
                }
            }

            private void forwardDue() {
                long now = System.nanoTime();
                while (!cut
                        && sink() != null
                        && !delayedBytes.isEmpty()
                        && delayedBytes.peek().dueNanos() <= now) {
                    ByteBuffer bytes = delayedBytes.poll().bytes();
                    if (bytes.hasRemaining()) {
                        sink().write(bytes);
                    } else {
                        sink().shutdownOutput();
                    }
                }
                if (!delayedBytes.isEmpty() && delayedBytes.peek().dueNanos() > now) {
                    clientConnection
                            .loop()
                            .schedule(
                                    Duration.ofNanos(delayedBytes.peek().dueNanos() - now),
                                    this::forwardDue);
                }
            }

            @Override
            public void inputEnded(Connection connection) {
                enqueue(ByteBuffer.allocate(0));
            }

            @Override
            public void writabilityChanged(Connection connection, boolean writable) {
                Connection otherConnection =
                        connection == clientConnection ? targetConnection : clientConnection;
                if (otherConnection != null) {
                    otherConnection.setReading(writable);
                }
            }

            @Override
            public void closed(Connection connection, Connection.Cause cause) {
                if (connection != source() || cause == Connection.Cause.OURS) {
                    return;
                }
                oneSideEnded = true;
                if (!cut) {
                    clientConnection.loop().schedule(delay, ProxiedConnection.this::closeBoth);
                }
            }
        }

        private void closeBoth() {
            ended = true;
            connections.remove(this);
            clientConnection.close();
            if (targetConnection != null) {
                targetConnection.close();
            }
        }
    }
}
