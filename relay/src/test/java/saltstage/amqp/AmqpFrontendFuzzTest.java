package saltstage.amqp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.code_intelligence.jazzer.junit.FuzzTest;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HexFormat;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import saltstage.config.Configuration;
import saltstage.config.OperatorSettings;
import saltstage.session.MonotonicClock;
import saltstage.session.BackendRegistry;
import saltstage.session.Timers;
import saltstage.net.Connection;
import saltstage.net.ConnectionHandler;
import saltstage.net.Loop;
import saltstage.net.Transport;
import saltstage.stage.RelayPipeline;
import saltstage.wire.MalformedException;

/**
 * Guards against malformed input that makes a handler throw or leaves state of the client behind when its
 * connection ends. A part of a valid conversation is overwritten with arbitrary bytes, and the conversation
 * arrives in pieces of any size. {@code JAZZER_FUZZ=1 mvn test -pl relay -Dtest=AmqpFrontendFuzzTest} fuzzes;
 * without JAZZER_FUZZ, some random mutations run.
 */
class AmqpFrontendFuzzTest {
    /** Header, open, begin, attach of a sender, a transfer, a flow, detach and close (2.7). */
    private static final byte[] CONVERSATION = HexFormat.of().parseHex("414d515000010000"
        + "0000001102000000" + "005310c00401a10178"
        + "0000001402000000" + "005311c0070440435" + "27f527f"
        + "0000003802000000" + "005312c02b0aa1016c434250005000005328c00401a10173"
        + "005329c01001a10d7374617475732d7265706f7274404043"
        + "0000001b02000000" + "005314c0080543" + "43a001784342" + "005375a00141"
        + "0000001602000000" + "005313c009064352" + "7f43527f4343"
        + "0000001002000000" + "005316c003024341"
        + "0000000c02000000" + "00531845");

    /** A loop whose tasks the test runs. */
    private static final class ManualLoop implements Loop {
        private final Deque<Runnable> tasks = new ArrayDeque<>();

        @Override
        public boolean isCurrentThread() {
            return true;
        }

        @Override
        public void execute(Runnable task) {
            tasks.add(task);
        }

        @Override
        public Timer schedule(Duration delay, Runnable task) {
            return () -> true; // timers never fire
        }

        void runTasks() {
            for (int i = 0; i < 10_000 && !tasks.isEmpty(); i++) {
                tasks.poll().run();
            }
            assertTrue(tasks.isEmpty(), "tasks are still queued after 10,000 tasks were run");
        }
    }

    /** A connection without a remote side, which counts the bytes written. */
    private static final class FakeConnection implements Connection {
        private final Loop loop;
        private long writtenBytes;
        private boolean ended;

        FakeConnection(Loop loop) {
            this.loop = loop;
        }

        @Override
        public Loop loop() {
            return loop;
        }

        @Override
        public InetSocketAddress remoteAddress() {
            return new InetSocketAddress("127.0.0.1", 9);
        }

        @Override
        public void write(ByteBuffer bytes) {
            writtenBytes += bytes.remaining();
        }

        @Override
        public long unsentBytes() {
            return 0;
        }

        @Override
        public void setReading(boolean wanted) {
        }

        @Override
        public void shutdownOutput() {
            ended = true;
        }

        @Override
        public void close() {
            ended = true;
        }

        @Override
        public void reset() {
            ended = true;
        }
    }

    /** A transport whose connections are never established. */
    private static final class FakeTransport implements Transport {
        private final ManualLoop loop = new ManualLoop();

        @Override
        public Listener listen(InetSocketAddress address, int backlog, Connection.WriteLimits limits,
                Acceptor acceptor) {
            throw new IllegalStateException("the fake transport does not listen");
        }

        @Override
        public void connect(Loop loop, InetSocketAddress address, Duration timeout,
                Connection.WriteLimits limits, ConnectListener listener) {
            return; // never connects: links wait for a backend until their client has left
        }

        @Override
        public List<Loop> loops() {
            return List.of(loop);
        }

        @Override
        public void close() {
        }
    }

    private final FakeTransport transport = new FakeTransport();
    private final AmqpFrontend frontend = createFrontend();

    private AmqpFrontend createFrontend() {
        try {
            Configuration config = Configuration.parse(("{'listen':'127.0.0.1:1','discovery':'127.0.0.1:1',"
                + "'seed':'1','limits':{'sockets':256},'known':{'rev':1,'all':true,'targets':[{'uid':'s',"
                + "'endpoint':'127.0.0.1:2','state':'ready'}]},'settings':{'Services':[{'Name':"
                + "'status-report','Aim':500000,'GiveUp':2000000,'Effect':'retryable'}]}}")
                .replace('\'', '"'));
            MonotonicClock clock = new MonotonicClock();
            BackendRegistry backends = new BackendRegistry();
            backends.update(config.knownBackends());
            RelayPipeline pipeline = new RelayPipeline(config, clock, new Timers(clock), backends,
                new saltstage.metrics.RequestCounters(config.serviceClassNames()), () -> { });
            pipeline.router().start(config.knownBackends());
            return new AmqpFrontend(OperatorSettings.parse("f", "amqp {\n listen = \"127.0.0.1:1\"\n"
                + " anonymous_tenant = \"any\"\n}\n").amqp().orElseThrow(), config, pipeline, clock,
                transport);
        } catch (MalformedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The first byte is an offset, the second a piece size; the others overwrite the conversation there. */
    @FuzzTest(maxDuration = "60s")
    void neverThrowsNorLeavesAnythingBehind(byte[] data) {
        if (data.length < 3) {
            return;
        }
        byte[] conversation = CONVERSATION.clone();
        int offset = (data[0] & 0xff) % conversation.length;
        System.arraycopy(data, 2, conversation, offset,
            Math.min(data.length - 2, conversation.length - offset));
        replay(conversation, 1 + (data[1] & 0xff));
    }

    private long replay(byte[] conversation, int pieceBytes) {
        FakeConnection connection = new FakeConnection(transport.loop);
        ConnectionHandler handler = frontend.accept(connection);
        for (int i = 0; i < conversation.length && !connection.ended; i += pieceBytes) {
            handler.received(connection,
                ByteBuffer.wrap(conversation, i, Math.min(pieceBytes, conversation.length - i)));
            transport.loop.runTasks();
        }
        handler.closed(connection, Connection.Cause.RESET);
        transport.loop.runTasks();
        assertEquals(0, frontend.clientCount());
        assertEquals(0, frontend.requestCount());
        return connection.writtenBytes;
    }

    @Test
    void unchangedConversationIsAnswered() {
        assertTrue(replay(CONVERSATION, 7) > 50, "an open and a begin are answered");
    }

    @Test
    void randomMutationsNeverThrowNorLeaveAnythingBehind() {
        Random random = new Random(20261201);
        for (int i = 0; i < 4_000; i++) {
            byte[] data = new byte[3 + random.nextInt(i % 3 == 0 ? 100 : 4)];
            random.nextBytes(data);
            neverThrowsNorLeavesAnythingBehind(data);
        }
    }
}
