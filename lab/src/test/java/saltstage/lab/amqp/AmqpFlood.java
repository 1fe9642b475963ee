package saltstage.lab.amqp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that misuse AMQP as fast as they can, each kind on its number of connections. Whenever
 * the relay closes a connection, its client connects again at once.
 */
enum AmqpFlood {
    /** Attaches with as many properties as a frame holds. */
    ATTACHES_WITH_MANY_PROPERTIES(4) {
        @Override
        void run(Flooder flooder) throws IOException {
            int handle = 0;
            byte[] attach =
                    RawAmqpClient.attachSender(
                            "LINKNAME00000000", 0x11223344, "status-report", 1_000);
            while (flooder.isRunning()) {
                flooder.write(withNameAndHandle(attach, flooder.uniqueNumber(), handle++));
            }
        }
    },

    /** Attaches under a new name and detaches in turn. */
    ATTACH_AND_DETACH(1) {
        @Override
        void run(Flooder flooder) throws IOException {
            byte[] attach =
                    RawAmqpClient.attachSender("LINKNAME00000000", 0x11223344, "status-report", 0);
            byte[] detach = RawAmqpClient.detach(0);
            while (flooder.isRunning()) {
                flooder.write(withNameAndHandle(attach, flooder.uniqueNumber(), 0));
                flooder.write(detach);
            }
        }
    },

    /** Attaches whose properties have ever new names, each followed by a detach. */
    ATTACHES_WITH_NEW_SYMBOLS(4) {
        @Override
        void run(Flooder flooder) throws IOException {
            byte[] detach = RawAmqpClient.detach(0);
            while (flooder.isRunning()) {
                int number = flooder.uniqueNumber();
                flooder.write(
                        RawAmqpClient.attachSender(
                                "l" + number, 0, "status-report", number + "-", 500));
                flooder.write(detach);
            }
        }
    },

    /** A delivery in frames that carry one byte or none. */
    TINY_TRANSFERS(1) {
        @Override
        void run(Flooder flooder) throws IOException {
            flooder.write(RawAmqpClient.attachSender("l", 0, "status-report", 0));
            flooder.pause();
            byte[] one = RawAmqpClient.transfer(0, 0, true, new byte[1]);
            byte[] none = RawAmqpClient.transfer(0, 0, true, new byte[0]);
            while (flooder.isRunning()) {
                flooder.write(flooder.random().nextBoolean() ? one : none);
            }
        }
    },

    /** Deliveries that stop half way on many links, then silence but for heartbeats. */
    HALF_DELIVERIES_ON_MANY_LINKS(60) {
        @Override
        void run(Flooder flooder) throws IOException {
            flooder.sendHalfDeliveries(20, 96 << 10);
        }
    },

    /** Larger deliveries that stop half way, one on each connection. */
    LARGE_HALF_DELIVERIES(150) {
        @Override
        void run(Flooder flooder) throws IOException {
            flooder.sendHalfDeliveries(1, 320 << 10);
        }
    },

    /** Flows that ask for an answer which is never read. */
    UNREAD_ANSWERS(20) {
        @Override
        boolean readsAnswers() {
            return false;
        }

        @Override
        void run(Flooder flooder) throws IOException {
            flooder.write(RawAmqpClient.attachReceiver("l", 0, "status-report"));
            byte[] flow = RawAmqpClient.flow(0, 1);
            while (flooder.isRunning()) {
                flooder.write(flow);
            }
        }
    },

    /**
     * Flows, dispositions, empty frames, sessions and bytes that are no frames, in seeded order.
     */
    MIXED_FRAMES(2) {
        @Override
        void run(Flooder flooder) throws IOException {
            flooder.write(RawAmqpClient.attachSender("l", 0, "status-report", 0));
            List<byte[]> frames =
                    List.of(
                            RawAmqpClient.flow(0, 1),
                            RawAmqpClient.disposition(0, 1_000_000),
                            RawAmqpClient.emptyFrame(),
                            RawAmqpClient.end(),
                            RawAmqpClient.begin(),
                            RawAmqpClient.detach(7),
                            new byte[] {0, 0, 0, 1, 2, 0, 0, 0});
            while (flooder.isRunning()) {
                byte[] frame = frames.get(flooder.random().nextInt(frames.size()));
                int repetitions = 1 + flooder.random().nextInt(200);
                for (int i = 0; i < repetitions; i++) {
                    flooder.write(frame);
                }
            }
        }
    };

    private static final int FRAME_BYTES = 8 << 10;
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);
    private static final int NAME_BYTES = 16;

    private final int connections;

    AmqpFlood(int connections) {
        this.connections = connections;
    }

    int connections() {
        return connections;
    }

    boolean readsAnswers() {
        return true;
    }

    /** Floods on one connection until it ends or the flooder is stopped. */
    abstract void run(Flooder flooder) throws IOException;

    /** Returns an attach with the name and handle replaced, which is faster than encoding it. */
    private static byte[] withNameAndHandle(byte[] attach, int number, int handle) {
        byte[] copy = attach.clone();
        int nameStart = indexOf(copy, (byte) 'L');
        String name = String.format("%0" + NAME_BYTES + "d", number);
        for (int i = 0; i < NAME_BYTES; i++) {
            copy[nameStart + i] = (byte) name.charAt(i);
        }
        int handleStart = nameStart + NAME_BYTES + 1; // after the type of the handle
        for (int i = 0; i < Integer.BYTES; i++) {
            copy[handleStart + i] = (byte) (handle >>> 8 * (Integer.BYTES - 1 - i));
        }
        return copy;
    }

    private static int indexOf(byte[] bytes, byte wanted) {
        int i = 0;
        while (bytes[i] != wanted) {
            i++;
        }
        return i;
    }

    /** The clients of one flood. */
    static final class Flooder implements AutoCloseable {
        private static final AtomicInteger LAST_NUMBER = new AtomicInteger();
        private static final int BUFFER_BYTES = 32 << 10;

        private final AmqpFlood flood;
        private final InetSocketAddress address;
        private final long seed;
        private final List<Thread> threads = new ArrayList<>();
        private final ThreadLocal<RawAmqpClient> client = new ThreadLocal<>();
        private final ThreadLocal<Random> random = new ThreadLocal<>();
        private final ThreadLocal<java.io.ByteArrayOutputStream> buffer =
                ThreadLocal.withInitial(java.io.ByteArrayOutputStream::new);
        private final AtomicInteger connectCount = new AtomicInteger();
        private volatile boolean running = true;

        Flooder(AmqpFlood flood, InetSocketAddress address, long seed) {
            this.flood = flood;
            this.address = address;
            this.seed = seed;
            for (int i = 0; i < flood.connections; i++) {
                int index = i;
                Thread thread = new Thread(() -> floodRepeatedly(index), "flood-" + i);
                thread.setDaemon(true);
                threads.add(thread);
                thread.start();
            }
        }

        private void floodRepeatedly(int index) {
            random.set(new Random(seed * 1_000 + index));
            while (running) {
                try (RawAmqpClient connection = new RawAmqpClient(address, "flood-" + index)) {
                    connectCount.incrementAndGet();
                    client.set(connection);
                    buffer.get().reset();
                    if (flood.readsAnswers()) {
                        connection.discardInput();
                    }
                    flood.run(this);
                } catch (IOException connectionEnded) {
                    pauseMillis(1);
                }
            }
        }

        boolean isRunning() {
            return running;
        }

        Random random() {
            return random.get();
        }

        int uniqueNumber() {
            return LAST_NUMBER.incrementAndGet();
        }

        /** The number of connections made, which tells how often the relay closed one. */
        int connectCount() {
            return connectCount.get();
        }

        /** Writes frames in batches, as a flood would. */
        void write(byte[] frame) throws IOException {
            java.io.ByteArrayOutputStream pending = buffer.get();
            pending.writeBytes(frame);
            if (pending.size() >= BUFFER_BYTES) {
                flush();
            }
        }

        private void flush() throws IOException {
            client.get().write(buffer.get().toByteArray());
            buffer.get().reset();
        }

        /** Waits until the relay has had time to give credit. */
        void pause() throws IOException {
            flush();
            pauseMillis(500);
        }

        private static void pauseMillis(long millis) {
            try {
                Thread.sleep(millis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void sendHalfDeliveries(int links, int bytes) throws IOException {
            for (int link = 0; link < links; link++) {
                write(RawAmqpClient.attachSender("l" + link, link, "status-report", 0));
            }
            pause();
            byte[] payload = new byte[FRAME_BYTES];
            for (int sent = 0; sent < bytes && running; sent += FRAME_BYTES) {
                for (int link = 0; link < links; link++) {
                    write(RawAmqpClient.transfer(link, link, true, payload));
                }
                flush();
            }
            while (running) {
                write(RawAmqpClient.emptyFrame());
                flush();
                pauseMillis(HEARTBEAT_INTERVAL.toMillis());
            }
        }

        @Override
        public void close() throws InterruptedException {
            running = false;
            for (Thread thread : threads) {
                thread.interrupt();
                thread.join(1_000);
            }
        }
    }
}
