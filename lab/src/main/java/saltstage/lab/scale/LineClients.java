package saltstage.lab.scale;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

import saltstage.net.Connection;
import saltstage.net.ConnectionHandler;
import saltstage.net.Loop;
import saltstage.net.Transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that open connections through a relay, stand, and time what is delivered to them. */
final class LineClients {
    /** How a delivered line begins; the time of sending follows. */
    static final String DELIVERY = "D ";

    private static final Duration CONNECT = Duration.ofSeconds(2);
    private static final Connection.WriteLimits BOUNDS = new Connection.WriteLimits(1 << 16, 1 << 20);
    private static final long MOST_MICROS = 60_000_000;

    private final Transport transport;
    private final InetSocketAddress relay;
    private final Set<Client> up = ConcurrentHashMap.newKeySet();
    private final AtomicInteger opening = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger names = new AtomicInteger();
    private volatile Histogram setUpMicros = new ConcurrentHistogram(MOST_MICROS, 3);
    private volatile Histogram deliveryMicros = new ConcurrentHistogram(MOST_MICROS, 3);

    LineClients(Transport transport, InetSocketAddress relay) {
        this.transport = transport;
        this.relay = relay;
    }

    /** Begins to open one more connection. */
    void open() {
        int name = names.incrementAndGet();
        Loop loop = transport.loops().get(name % transport.loops().size());
        Client client = new Client("c" + name);
        opening.incrementAndGet();
        loop.execute(() -> transport.connect(loop, relay, CONNECT, BOUNDS, client));
    }

    int standing() {
        return up.size();
    }

    int opening() {
        return opening.get();
    }

    int refused() {
        return refused.get();
    }

    /** Connections that stood and ended without being asked to. */
    int lost() {
        return lost.get();
    }

    /** Takes the times of set-up, in microseconds, that were measured since the last call. */
    Histogram takeSetUps() {
        Histogram taken = setUpMicros;
        setUpMicros = new ConcurrentHistogram(MOST_MICROS, 3);
        return taken;
    }

    /** Takes the times from backend to client, in microseconds, since the last call. */
    Histogram takeDeliveries() {
        Histogram taken = deliveryMicros;
        deliveryMicros = new ConcurrentHistogram(MOST_MICROS, 3);
        return taken;
    }

    /** Ends so many of those that stand. */
    void end(int count) {
        up.stream().limit(count).forEach(Client::end);
    }

    private static long microsSince(long nanos) {
        return Math.min(MOST_MICROS, Math.max(0, (System.nanoTime() - nanos) / 1_000));
    }

    private final class Client implements ConnectionHandler, Transport.ConnectListener {
        private final String name;
        private final long begun = System.nanoTime();
        private final StringBuilder line = new StringBuilder();
        private Connection connection;
        private boolean answered;
        private volatile boolean ending;

        Client(String name) {
            this.name = name;
        }

        @Override
        public ConnectionHandler connected(Connection made) {
            connection = made;
            say("OPEN " + name + " k" + name + " c=lines,t=tenant,d=2000,g=" + name);
            return this;
        }

        private void say(String text) {
            connection.write(ByteBuffer.wrap((text + "\r\n").getBytes(StandardCharsets.US_ASCII)));
        }

        @Override
        public void failed(IOException why) {
            answer(false);
        }

        private void answer(boolean taken) {
            if (answered) {
                return;
            }
            answered = true;
            opening.decrementAndGet();
            if (taken) {
                setUpMicros.recordValue(microsSince(begun));
                up.add(this);
            } else {
                refused.incrementAndGet();
                leave();
            }
        }

        private void leave() {
            if (connection != null) {
                connection.close();
            }
        }

        private void end() {
            ending = true;
            connection.loop().execute(connection::close);
        }

        @Override
        public void received(Connection on, ByteBuffer bytes) {
            while (bytes.hasRemaining()) {
                char c = (char) bytes.get();
                if (c == '\n') {
                    heard(line.toString().trim());
                    line.setLength(0);
                } else {
                    line.append(c);
                }
            }
        }

        private void heard(String text) {
            if (text.startsWith(DELIVERY)) {
                deliveryMicros.recordValue(
                        microsSince(Long.parseLong(text.substring(DELIVERY.length()))));
            } else if (text.startsWith("UP ")) {
                answer(true);
            } else if (!answered) {
                answer(false);
            }
        }

        @Override
        public void inputEnded(Connection on) {
            on.close();
        }

        @Override
        public void closed(Connection on, Connection.Cause why) {
            answer(false);
            if (up.remove(this) && !ending) {
                lost.incrementAndGet();
            }
        }
    }
}
