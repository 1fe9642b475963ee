package saltstage.lab.scale;

import saltstage.net.Connection;
import saltstage.net.ConnectionHandler;
import saltstage.net.Transport;

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

/**
 * A proxy that counts what passes, delivers it late by a fixed delay, and can be cut: while cut,
 * nothing passes and nobody is told, as between two regions that lose each other.
 */
public final class CountingLink implements AutoCloseable {
    private static final int BACKLOG = 1_024;
    private static final Duration CONNECT = Duration.ofSeconds(2);
    private static final Connection.WriteLimits BOUNDS = new Connection.WriteLimits(1 << 18, 64 << 20);

    private final Transport transport;
    private final InetSocketAddress target;
    private final Duration delay;
    private final Transport.Listener listener;
    private final LongAdder bytesToTarget = new LongAdder();
    private final LongAdder bytesFromTarget = new LongAdder();
    private final LongAdder messagesToTarget = new LongAdder();
    private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;

    /** A link to the target on a free port of loopback; the transport's loops carry it. */
    public CountingLink(Transport transport, InetSocketAddress target, Duration delay)
            throws IOException {
        this.transport = transport;
        this.target = target;
        this.delay = delay;
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        listener =
                transport.listen(any, BACKLOG, BOUNDS, accepted -> new Pair(accepted).fromClient);
    }

    /** Where clients connect. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** Bytes that clients sent. */
    public long bytesToTarget() {
        return bytesToTarget.sum();
    }

    /** Bytes that the target sent. */
    public long bytesFromTarget() {
        return bytesFromTarget.sum();
    }

    /**
     * Pieces read from clients: requests, where each is written at once and answered before the
     * next.
     */
    public long messagesToTarget() {
        return messagesToTarget.sum();
    }

    /** From now on nothing passes, and newcomers hang. */
    public void cut() {
        cut = true;
    }

    /** What was held back passes. */
    public void heal() {
        cut = false;
        pairs.forEach(Pair::resume);
    }

    /** Resets all connections that are open. */
    public void reset() {
        pairs.forEach(pair -> pair.client.loop().execute(pair::resetBoth));
    }

    @Override
    public void close() {
        listener.close();
        reset();
    }

    /** One client's connection and the one to the target; both on one loop. */
    private final class Pair implements Transport.ConnectListener {
        private final Connection client;
        private final Way fromClient = new Way(true);
        private final Way fromTarget = new Way(false);
        private Connection server;
        private boolean over;
        private boolean sideEnded;

        Pair(Connection client) {
            this.client = client;
            pairs.add(this);
            connect();
        }

        private void connect() {
            if (!cut) {
                transport.connect(client.loop(), target, CONNECT, BOUNDS, this);
            }
        }

        private void resume() {
            client.loop()
                    .execute(
                            () -> {
                                if (server == null && !over) {
                                    connect();
                                }
                                fromClient.pass();
                                fromTarget.pass();
                                if (sideEnded) {
                                    end();
                                }
                            });
        }

        @Override
        public ConnectionHandler connected(Connection connection) {
            server = connection;
            if (over) {
                connection.reset();
                return fromTarget;
            }
            fromClient.pass();
            return fromTarget;
        }

        @Override
        public void failed(IOException why) {
            resetBoth();
        }

        private void resetBoth() {
            over = true;
            pairs.remove(this);
            client.reset();
            if (server != null) {
                server.reset();
            }
        }

        /** A piece that waits until it is due; no bytes: the end of the input. */
        private record Piece(long dueNanos, ByteBuffer bytes) {}

        /** One direction. */
        private final class Way implements ConnectionHandler {
            private final boolean toTarget;
            private final Deque<Piece> waiting = new ArrayDeque<>();

            Way(boolean toTarget) {
                this.toTarget = toTarget;
            }

            private Connection sink() {
                return toTarget ? server : client;
            }

            private Connection source() {
                return toTarget ? client : server;
            }

            @Override
            public void received(Connection on, ByteBuffer bytes) {
                (toTarget ? bytesToTarget : bytesFromTarget).add(bytes.remaining());
                if (toTarget) {
                    messagesToTarget.increment();
                }
                ByteBuffer copy = ByteBuffer.allocate(bytes.remaining());
                enqueue(copy.put(bytes).flip());
            }

            private void enqueue(ByteBuffer bytes) {
                waiting.add(new Piece(System.nanoTime() + delay.toNanos(), bytes));
                if (delay.isZero()) {
                    pass();
                } else {
                    client.loop().schedule(delay, this::pass);
                }
            }

            private void pass() {
                long now = System.nanoTime();
                while (!cut
                        && sink() != null
                        && !waiting.isEmpty()
                        && waiting.peek().dueNanos() <= now) {
                    ByteBuffer bytes = waiting.poll().bytes();
                    if (bytes.hasRemaining()) {
                        sink().write(bytes);
                    } else {
                        sink().shutdownOutput();
                    }
                }
                if (!waiting.isEmpty() && waiting.peek().dueNanos() > now) {
                    client.loop()
                            .schedule(Duration.ofNanos(waiting.peek().dueNanos() - now), this::pass);
                }
            }

            @Override
            public void inputEnded(Connection on) {
                enqueue(ByteBuffer.allocate(0));
            }

            @Override
            public void writabilityChanged(Connection on, boolean now) {
                Connection from = on == client ? server : client;
                if (from != null) {
                    from.setReading(now);
                }
            }

            @Override
            public void closed(Connection on, Connection.Cause why) {
                if (on != source() || why == Connection.Cause.OURS) {
                    return;
                }
                sideEnded = true;
                if (!cut) {
                    client.loop().schedule(delay, Pair.this::end);
                }
            }
        }

        private void end() {
            over = true;
            pairs.remove(this);
            client.close();
            if (server != null) {
                server.close();
            }
        }
    }
}
