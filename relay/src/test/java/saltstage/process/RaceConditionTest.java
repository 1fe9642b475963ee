package saltstage.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltstage.config.Configuration;
import saltstage.metrics.RequestCounters;
import saltstage.process.RelayTestEnvironment.TestConnection;
import saltstage.process.RelayTestEnvironment.TestServer;
import saltstage.session.Attempt;
import saltstage.session.BackendRegistry;
import saltstage.session.MonotonicClock;
import saltstage.session.RequestAttributes;
import saltstage.session.RequestContext;
import saltstage.session.Timers;
import saltstage.stage.RelayPipeline;
import saltstage.stage.Threads;
import saltstage.wire.BackendList;
import saltstage.wire.Json;
import saltstage.wire.LineConnection;

/**
 * Guards against races between two concurrent events. The stages of the pipeline run on real
 * connections, and each test halts one event at the point where the other has to occur.
 */
@Timeout(60)
class RaceConditionTest {
    private final MonotonicClock clock = new MonotonicClock();
    private final Timers timers = new Timers(clock);
    private TestServer backend;
    private final Set<String> suspended = ConcurrentHashMap.newKeySet();
    private BackendRegistry backends;
    private RelayPipeline pipeline;
    private ServerSocketChannel clientListener;
    private boolean accepting;
    private final Map<Integer, HaltingSocket> sockets = new ConcurrentHashMap<>();

    /** An action that runs at a named step of the relay's own socket to a client. */
    private interface HaltHook {
        void onStep(String step) throws IOException;
    }

    /**
     * A client's socket as the relay holds it after the client has sent its request; each write,
     * half-close and close runs a hook first.
     */
    private static final class HaltingSocket extends Socket {
        private volatile HaltHook hook = step -> {};
        private Socket socket;

        HaltingSocket wrap(SocketChannel channel) {
            socket = channel.socket();
            return this;
        }

        @Override
        public SocketChannel getChannel() {
            return socket.getChannel();
        }

        @Override
        public OutputStream getOutputStream() throws IOException {
            return new FilterOutputStream(socket.getOutputStream()) {
                @Override
                public void write(byte[] bytes, int from, int length) throws IOException {
                    hook.onStep(
                            new String(bytes, from, length, StandardCharsets.ISO_8859_1).trim());
                    out.write(bytes, from, length);
                }
            };
        }

        @Override
        public InputStream getInputStream() throws IOException {
            return socket.getInputStream();
        }

        @Override
        public SocketAddress getRemoteSocketAddress() {
            return socket.getRemoteSocketAddress();
        }

        @Override
        public void setSoTimeout(int millis) throws SocketException {
            socket.setSoTimeout(millis);
        }

        @Override
        public void setTcpNoDelay(boolean on) throws SocketException {
            socket.setTcpNoDelay(on);
        }

        @Override
        public void setSoLinger(boolean on, int seconds) throws SocketException {
            socket.setSoLinger(on, seconds);
        }

        @Override
        public void close() throws IOException {
            if (socket != null) {
                socket.close();
            }
        }

        @Override
        public void shutdownInput() throws IOException {
            socket.shutdownInput();
        }

        @Override
        public void shutdownOutput() throws IOException {
            hook.onStep("half-close");
            socket.shutdownOutput();
        }
    }

    private interface BeforeAccept {
        void run(TestConnection line) throws IOException;
    }

    /** A client with both ends of its connection. */
    private record Client(TestConnection connection, HaltingSocket relaySocket) {}

    @BeforeEach
    void startPipeline() throws Exception {
        backend = new TestServer();
        startPipeline("retryable", backend.endpoint());
    }

    private void startPipeline(String effect, String... endpoints) throws Exception {
        backends = new BackendRegistry(suspended::contains);
        // The connect timeout is raised so that connecting may take long.
        Configuration config =
                Configuration.parse(
                        RelayTestEnvironment.config(
                                        1,
                                        "127.0.0.1:1",
                                        4096,
                                        RelayTestEnvironment.backendList(1, true))
                                .replace("retryable", effect)
                                .replace(":200000", ":20000000"));
        pipeline =
                new RelayPipeline(
                        config,
                        clock,
                        timers,
                        backends,
                        new RequestCounters(config.serviceClassNames()),
                        () -> {},
                        channel -> haltingSocket(channel.socket().getPort()).wrap(channel));
        Threads.startLoop("timers", () -> timers.awaitNext().run());
        clientListener =
                ServerSocketChannel.open()
                        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        clientListener.configureBlocking(false);
        accepting = false;
        pipeline.lineFrontend().start();
        pipeline.router().start(config.knownBackends());
        for (int i = 0; i < endpoints.length; i++) {
            backendListReceived(
                    i + 2,
                    RelayTestEnvironment.backendEntry("s-" + (i + 1), endpoints[i], "ready"));
        }
    }

    /** Delivers a change of the backend list to the pipeline as discovery does. */
    private void backendListReceived(int rev, String target) throws Exception {
        BackendList list =
                BackendList.parse(
                        Json.parseObject(RelayTestEnvironment.backendList(rev, false, target)));
        pipeline.backendListReceived(backends.update(list), list);
    }

    @AfterEach
    void closeBackend() throws IOException {
        backend.close();
    }

    private HaltingSocket haltingSocket(int clientPort) {
        return sockets.computeIfAbsent(clientPort, port -> new HaltingSocket());
    }

    private Client connectClient() throws IOException {
        Client client = connectClient(line -> {});
        if (!accepting) {
            accepting = true;
            pipeline.lineFrontend().acceptor().start(clientListener);
        }
        return client;
    }

    /**
     * Connects a client and runs this action before the relay accepts it, provided that no client
     * was accepted yet.
     */
    private Client connectClient(BeforeAccept beforeAccept) throws IOException {
        Socket socket =
                new Socket(
                        InetAddress.getLoopbackAddress(), clientListener.socket().getLocalPort());
        Client client =
                new Client(new TestConnection(socket), haltingSocket(socket.getLocalPort()));
        beforeAccept.run(client.connection());
        return client;
    }

    private static void awaitEvent(BooleanSupplier condition) throws IOException {
        try {
            RelayTestEnvironment.await("the other event occurs", condition);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private TestConnection establish(Client client, String id) throws IOException {
        client.connection().sendLine("OPEN " + id + " k c=chat,t=acme,d=9000");
        return answerUp(client, id, backend.accept());
    }

    private void establish(Client client, String id, BlockingQueue<TestConnection> accepted)
            throws Exception {
        client.connection().sendLine("OPEN " + id + " k c=chat,t=acme,d=9000");
        answerUp(client, id, accepted.take());
    }

    private TestConnection answerUp(Client client, String id, TestConnection backendSide)
            throws IOException {
        assertTrue(backendSide.readLine().startsWith("OPEN " + id));
        backendSide.sendLine("UP r1");
        assertEquals("UP r1", client.connection().readLine());
        return backendSide;
    }

    @Test
    void clientSendingDuringItsMoveStillReceivesMove() throws Exception {
        Client client = connectClient();
        TestConnection backendSide = establish(client, "a1");
        CountDownLatch halfClosed = new CountDownLatch(1);
        BlockingQueue<String> forwarded = new LinkedBlockingQueue<>();
        client.relaySocket().hook =
                step -> {
                    if (step.equals("half-close")) {
                        halfClosed.countDown();
                    } else if (step.equals("MOVE")) {
                        client.connection().sendLine("M 1 in that moment");
                        RelayTestEnvironment.runInBackground(
                                () -> forwarded.add(String.valueOf(backendSide.readLine())));
                        awaitEvent(() -> !forwarded.isEmpty() || halfClosed.getCount() == 0);
                    }
                };
        pipeline.move(
                pipeline.outcomeRecorder().establishedAttempts().iterator().next(), "balance");
        assertEquals("MOVE", client.connection().readLine());
        assertNull(client.connection().readLine());
        assertEquals("M 1 in that moment", forwarded.take());
    }

    @Test
    void partialLineIsDroppedBeforeMove() throws Exception {
        Client client = connectClient();
        TestConnection backendSide = establish(client, "a2");
        backendSide.sendRaw("M 1 whole\r\nM 2 ha");
        assertEquals("M 1 whole", client.connection().readLine());
        pipeline.move(
                pipeline.outcomeRecorder().establishedAttempts().iterator().next(), "balance");
        assertEquals("MOVE", client.connection().readLine());
        assertNull(client.connection().readLine());
    }

    /** Returns whether the thread that reads from a backend waits for the rest of a line. */
    private static boolean isWaitingForRestOfLine() {
        return Thread.getAllStackTraces().values().stream()
                .anyMatch(
                        stack -> {
                            String calls = Arrays.toString(stack);
                            return calls.contains("LineForwarder.forwardLines")
                                    && calls.contains("NioSocketImpl.implRead");
                        });
    }

    @Test
    void lineCompletedDuringTheMoveIsDeliveredBeforeIt() throws Exception {
        Client client = connectClient();
        TestConnection backendSide = establish(client, "a3");
        backendSide.sendRaw("M 1 whole\r\nM 2 ha");
        assertEquals("M 1 whole", client.connection().readLine());
        RelayTestEnvironment.await(
                "the relay waits for the rest of the line",
                RaceConditionTest::isWaitingForRestOfLine);
        pipeline.move(
                pipeline.outcomeRecorder().establishedAttempts().iterator().next(), "balance");
        backendSide.sendLine("lf");
        assertEquals("M 2 half", client.connection().readLine());
        assertEquals("MOVE", client.connection().readLine());
    }

    /** A backend whose connections are not established before the test allows it. */
    private static final class SlowAcceptBackend implements AutoCloseable {
        final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());

        /** Two connections fill the listen queue; the next connection then gets no response. */
        private final List<Socket> fillers = new ArrayList<>();

        SlowAcceptBackend() throws IOException {
            listener.setSoTimeout(RelayTestEnvironment.AWAIT_TIMEOUT_MS);
            for (int i = 0; i < 2; i++) {
                fillers.add(new Socket(listener.getInetAddress(), listener.getLocalPort()));
            }
        }

        String endpoint() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        /** Returns the relay's connection, which is established now. */
        TestConnection acceptConnection() throws IOException {
            for (Socket ignored : fillers) {
                listener.accept().close();
            }
            return new TestConnection(listener.accept());
        }

        @Override
        public void close() throws IOException {
            for (Socket filler : fillers) {
                filler.close();
            }
            listener.close();
        }
    }

    @Test
    void cancelledAttemptDoesNotConnectAndAConnectingOneEndsAtOnce() throws Exception {
        Attempt cancelled = newAttempt();
        cancelled.cancel();
        assertThrows(IOException.class, () -> cancelled.connectionStarted(() -> {}));
        try (SlowAcceptBackend slowBackend = new SlowAcceptBackend()) {
            Attempt connecting = newAttempt();
            Socket socket = new Socket();
            connecting.connectionStarted(() -> LineConnection.close(socket));
            BlockingQueue<Exception> ended =
                    RelayTestEnvironment.runInBackground(
                            () ->
                                    assertThrows(
                                            IOException.class,
                                            () -> {
                                                LineConnection.connect(
                                                        socket,
                                                        (InetSocketAddress)
                                                                slowBackend.listener
                                                                        .getLocalSocketAddress(),
                                                        Duration.ofMinutes(10));
                                                connecting.connectionOpened(() -> {});
                                            }));
            connecting.cancel();
            ended.take();
            assertTrue(socket.isClosed());
        }
    }

    private static boolean isConnecting() {
        return Thread.getAllStackTraces().values().stream()
                .anyMatch(
                        stack ->
                                Arrays.toString(stack).contains("LineAttemptRunner.runAttempt")
                                        && Arrays.toString(stack).contains("connect"));
    }

    @Test
    void backendDrainedWhileConnectingIsSentNothing() throws Exception {
        try (SlowAcceptBackend slowBackend = new SlowAcceptBackend()) {
            startPipeline("retryable", slowBackend.endpoint());
            Client client = connectClient();
            client.connection().sendLine("OPEN h1 k c=chat,t=acme,d=20000");
            RelayTestEnvironment.await("the relay is connecting", RaceConditionTest::isConnecting);
            backendListReceived(
                    9,
                    RelayTestEnvironment.backendEntry("s-1", slowBackend.endpoint(), "draining"));
            assertNull(slowBackend.acceptConnection().readLine());
        }
    }

    @Test
    void backendSuspendedWhileConnectingIsSentNothing() throws Exception {
        try (SlowAcceptBackend slowBackend = new SlowAcceptBackend()) {
            startPipeline("retryable", slowBackend.endpoint());
            Client client = connectClient();
            client.connection().sendLine("OPEN h2 k c=chat,t=acme,d=20000");
            RelayTestEnvironment.await("the relay is connecting", RaceConditionTest::isConnecting);
            suspended.add("s-1");
            assertNull(slowBackend.acceptConnection().readLine());
        }
    }

    @Test
    void repeatConnectedAfterTheDeduplicationWindowIsNotSent() throws Exception {
        try (SlowAcceptBackend slowBackend = new SlowAcceptBackend()) {
            startPipeline("dedup\",\"MemorySpan\":\"100000", backend.endpoint());
            Client client = connectClient();
            client.connection().sendLine("OPEN i1 k c=chat,t=acme,d=20000");
            TestConnection first = backend.accept();
            first.readLine();
            backendListReceived(
                    9, RelayTestEnvironment.backendEntry("s-2", slowBackend.endpoint(), "ready"));
            long start = System.nanoTime();
            first.sendLine("ERR");
            RelayTestEnvironment.await(
                    "the repeated attempt is connecting", RaceConditionTest::isConnecting);
            RelayTestEnvironment.await(
                    "its deduplication window has passed",
                    () -> System.nanoTime() - start > 100_000_000);
            assertNull(slowBackend.acceptConnection().readLine());
            assertEquals("BUSY 1500", client.connection().readLine());
        }
    }

    private Attempt newAttempt() {
        BackendRegistry registry = new BackendRegistry();
        try {
            registry.update(
                    Configuration.parse(
                                    RelayTestEnvironment.config(
                                            1,
                                            "127.0.0.1:1",
                                            4096,
                                            RelayTestEnvironment.backendList(
                                                    1,
                                                    true,
                                                    RelayTestEnvironment.backendEntry(
                                                            "s-1", backend.endpoint(), "ready"))))
                            .knownBackends());
        } catch (saltstage.wire.MalformedException invalid) {
            throw new IllegalStateException(invalid);
        }
        return new RequestContext(
                        1, new RequestAttributes("x", 0, 0, "k", null, 0, false), clock.now(), null)
                .beginAttempt(registry.find("s-1"), clock.now());
    }

    @Test
    void clientThatLeftBeforeItsLineIsReadHasNoAttempt() throws Exception {
        for (int i = 0; i < 20; i++) {
            String open = "OPEN b" + i + " k c=chat,t=acme,d=9000";
            connectClient(line -> line.sendLine(open).close());
        }
        Client last = connectClient();
        establish(last, "c1"); // the first request that reaches the backend
    }

    @Test
    void requestArrivingDuringShutdownIsEitherRejectedOrForwarded() throws Exception {
        int rejected = 0;
        for (int i = 0; i < 100; i++) {
            startPipeline("retryable", backend.endpoint());
            Client client = connectClient();
            String open = "OPEN d" + i + " k c=chat,t=acme,d=9000";
            RelayTestEnvironment.runInBackground(() -> client.connection().sendLine(open));
            pipeline.lineFrontend().rejectPendingClients();
            TestConnection backendSide = null;
            String answer = null;
            BlockingQueue<TestConnection> accepted =
                    RelayTestEnvironment.runInBackground(() -> backend.accept());
            BlockingQueue<String> answers =
                    RelayTestEnvironment.runInBackground(
                            () -> String.valueOf(client.connection().readLine()));
            while (backendSide == null && answer == null) {
                backendSide = accepted.poll(1, TimeUnit.MILLISECONDS);
                answer = answers.poll(1, TimeUnit.MILLISECONDS);
            }
            if (answer != null) {
                rejected++;
                assertEquals("BUSY", answer);
                assertNull(client.connection().readLine());
                // The id is free again, and no request has reached the backend before.
                establish(connectClient(), "d" + i, accepted);
            } else {
                assertEquals(
                        "OPEN d" + i,
                        backendSide.readLine().substring(0, 6 + Integer.toString(i).length()));
                backendSide.sendLine("UP r1");
                assertEquals("UP r1", answers.take());
            }
        }
        System.out.println("rejected " + rejected + " of 100");
    }

    @Test
    void unreadInputAtShutdownDoesNotDiscardTheAnswer() throws Exception {
        for (int i = 0; i < 20; i++) {
            Client client = connectClient();
            client.connection().sendRaw("OPEN ");
            RelayTestEnvironment.await(
                    "the client is accepted", () -> pipeline.lineFrontend().clientCount() > 0);
            Thread.sleep(2 * i); // the first part of its line may be read or not
            pipeline.lineFrontend().rejectPendingClients();
            client.connection().sendLine("e1 k c=chat,t=acme,d=9000");
            assertEquals("BUSY", client.connection().readLine());
            assertNull(client.connection().readLine());
            client.connection().close();
            RelayTestEnvironment.await(
                    "the client is disconnected", () -> pipeline.lineFrontend().clientCount() == 0);
        }
        establish(connectClient(), "e2");
    }

    @Test
    void clientAnsweredDuringShutdownReceivesOneAnswer() throws Exception {
        pipeline.setDescriptorLimit(0);
        Client client = connectClient();
        client.relaySocket().hook =
                step -> {
                    if (step.startsWith("BUSY 1500")) {
                        client.relaySocket().hook = next -> {};
                        pipeline.lineFrontend().rejectPendingClients();
                    }
                };
        client.connection().sendLine("OPEN f1 k c=chat,t=acme,d=9000");
        assertEquals("BUSY 1500", client.connection().readLine());
        assertNull(client.connection().readLine());
    }

    @Test
    void clientSendingWhileItsAnswerIsWrittenStillReceivesIt() throws Exception {
        Client client = connectClient();
        client.connection().sendLine("OPEN j1 k c=chat,t=acme,d=50000");
        assertTrue(backend.accept().readLine().startsWith("OPEN j1"));
        CountDownLatch halfClosed = new CountDownLatch(1);
        client.relaySocket().hook =
                step -> {
                    if (step.equals("half-close")) {
                        halfClosed.countDown();
                    } else if (step.equals("BUSY")) {
                        client.connection().sendLine("M 1 early");
                        long start = System.nanoTime();
                        awaitEvent(
                                () ->
                                        halfClosed.getCount() == 0
                                                || System.nanoTime() - start > 200_000_000);
                    }
                };
        pipeline.rejectWaiting();
        assertEquals("BUSY", client.connection().readLine());
        assertNull(client.connection().readLine());
    }

    @Test
    void pendingAttemptsAtShutdownAreCancelledAndRejectedOnlyIfRepeatable() throws Exception {
        for (String effect :
                new String[] {"retryable", "fragile", "dedup", "dedup\",\"Group\":\"zone"}) {
            startPipeline(effect, backend.endpoint());
            Client client = connectClient();
            // The deadline is longer than the test runs.
            client.connection().sendLine("OPEN g1 k c=chat,t=acme,d=50000");
            TestConnection backendSide = backend.accept();
            assertTrue(backendSide.readLine().startsWith("OPEN g1"));
            pipeline.rejectWaiting();
            boolean repeatable = effect.equals("retryable") || effect.equals("dedup");
            assertEquals(repeatable ? "BUSY" : "ERR failed", client.connection().readLine());
            assertNull(client.connection().readLine());
            assertNull(backendSide.readLine(), "the backend must not accept the request any more");
        }
    }
}
