package saltstage.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import saltstage.net.Connection;
import saltstage.net.ConnectionHandler;
import saltstage.net.Loop;
import saltstage.net.Transport;

/**
 * Clients that open connections through a relay, keep them established, and measure the latency of
 * the lines delivered to them.
 */
final class LineClients {
    /** Prefix of a delivered line; the send time in nanoseconds follows. */
    static final String DELIVERY_PREFIX = "D ";

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Connection.WriteLimits WRITE_LIMITS =
            new Connection.WriteLimits(1 << 16, 1 << 20);
    private static final long MAX_RECORDED_MICROS = 60_000_000;

    private final Transport transport;
    private final InetSocketAddress relay;
    private final Set<Client> established = ConcurrentHashMap.newKeySet();
    private final AtomicInteger openingCount = new AtomicInteger();
    private final AtomicInteger rejectedCount = new AtomicInteger();
    private final AtomicInteger lostCount = new AtomicInteger();
    private final AtomicInteger lastClientNumber = new AtomicInteger();
    private volatile Histogram setupMicros = new ConcurrentHistogram(MAX_RECORDED_MICROS, 3);
    private volatile Histogram deliveryMicros = new ConcurrentHistogram(MAX_RECORDED_MICROS, 3);

    LineClients(Transport transport, InetSocketAddress relay) {
        this.transport = transport;
        this.relay = relay;
    }

    /** Starts to open one more connection; the result arrives asynchronously. */
    void open() {
        int number = lastClientNumber.incrementAndGet();
        Loop loop = transport.loops().get(number % transport.loops().size());
        Client client = new Client("c" + number);
        openingCount.incrementAndGet();
        loop.execute(() -> transport.connect(loop, relay, CONNECT_TIMEOUT, WRITE_LIMITS, client));
    }

    int establishedCount() {
        return established.size();
    }

    int openingCount() {
        return openingCount.get();
    }

    int rejectedCount() {
        return rejectedCount.get();
    }

    /** Number of established connections that ended without a call of {@link #closeSome}. */
    int lostCount() {
        return lostCount.get();
    }

    /** Returns the setup times in microseconds recorded since the last call, and resets them. */
    Histogram takeSetupMicros() {
        Histogram taken = setupMicros;
        setupMicros = new ConcurrentHistogram(MAX_RECORDED_MICROS, 3);
        return taken;
    }

    /**
     * Returns the delivery times from backend to client in microseconds recorded since the last
     * call, and resets them.
     */
    Histogram takeDeliveryMicros() {
        Histogram taken = deliveryMicros;
        deliveryMicros = new ConcurrentHistogram(MAX_RECORDED_MICROS, 3);
        return taken;
    }

    /** Closes the given number of established connections. */
    void closeSome(int count) {
        established.stream().limit(count).forEach(Client::close);
    }

    private static long microsSince(long startNanos) {
        return Math.min(MAX_RECORDED_MICROS, Math.max(0, (System.nanoTime() - startNanos) / 1_000));
    }

    private final class Client implements ConnectionHandler, Transport.ConnectListener {
        private final String name;
        private final long startedNanos = System.nanoTime();
        private final StringBuilder partialLine = new StringBuilder();
        private Connection connection;
        private boolean answered;
        private volatile boolean closing;

        Client(String name) {
            this.name = name;
        }

        @Override
        public ConnectionHandler connected(Connection newConnection) {
            connection = newConnection;
            sendLine("OPEN " + name + " k" + name + " c=lines,t=tenant,d=2000,g=" + name);
            return this;
        }

        private void sendLine(String text) {
            connection.write(ByteBuffer.wrap((text + "\r\n").getBytes(StandardCharsets.US_ASCII)));
        }

        @Override
        public void failed(IOException cause) {
            requestAnswered(false);
        }

        private void requestAnswered(boolean accepted) {
            if (answered) {
                return;
            }
            answered = true;
            openingCount.decrementAndGet();
            if (accepted) {
                setupMicros.recordValue(microsSince(startedNanos));
                established.add(this);
            } else {
                rejectedCount.incrementAndGet();
                closeIfConnected();
            }
        }

        private void closeIfConnected() {
            if (connection != null) {
                connection.close();
            }
        }

        private void close() {
            closing = true;
            connection.loop().execute(connection::close);
        }

        @Override
        public void received(Connection source, ByteBuffer bytes) {
            while (bytes.hasRemaining()) {
                char c = (char) bytes.get();
                if (c == '\n') {
                    lineReceived(partialLine.toString().trim());
                    partialLine.setLength(0);
                } else {
                    partialLine.append(c);
                }
            }
        }

        private void lineReceived(String text) {
            if (text.startsWith(DELIVERY_PREFIX)) {
                deliveryMicros.recordValue(
                        microsSince(Long.parseLong(text.substring(DELIVERY_PREFIX.length()))));
            } else if (text.startsWith("UP ")) {
                requestAnswered(true);
            } else if (!answered) {
                requestAnswered(false);
            }
        }

        @Override
        public void inputEnded(Connection source) {
            source.close();
        }

        @Override
        public void closed(Connection source, Connection.Cause cause) {
            requestAnswered(false);
            if (established.remove(this) && !closing) {
                lostCount.incrementAndGet();
            }
        }
    }
}
