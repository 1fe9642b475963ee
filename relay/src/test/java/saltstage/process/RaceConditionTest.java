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
                public void write(byte[] bytes, int from, int most) throws IOException {
                    hook.onStep(new String(bytes, from, most, StandardCharsets.ISO_8859_1).trim());
                    out.write(bytes, from, most);
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
        BackendList told =
                BackendList.parse(
                        Json.parseObject(RelayTestEnvironment.backendList(rev, false, target)));
        pipeline.backendListReceived(backends.update(told), told);
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
    private Client connectClient(BeforeAccept early) throws IOException {
        Socket socket =
                new Socket(
                        InetAddress.getLoopbackAddress(), clientListener.socket().getLocalPort());
        Client client =
                new Client(new TestConnection(socket), haltingSocket(socket.getLocalPort()));
        early.run(client.connection());
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

    private TestConnection answerUp(Client client, String id, TestConnection side)
            throws IOException {
        assertTrue(side.readLine().startsWith("OPEN " + id));
        side.sendLine("UP r1");
        assertEquals("UP r1", client.connection().readLine());
        return side;
    }

    @Test
    void clientSendingDuringItsMoveStillReceivesMove() throws Exception {
        Client client = connectClient();
        TestConnection side = establish(client, "a1");
        CountDownLatch hungUp = new CountDownLatch(1);
        BlockingQueue<String> passedOn = new LinkedBlockingQueue<>();
        client.relaySocket().hook =
                step -> {
                    if (step.equals("half-close")) {
                        hungUp.countDown();
                    } else if (step.equals("MOVE")) {
                        client.connection().sendLine("M 1 in that moment");
                        RelayTestEnvironment.runInBackground(
                                () -> passedOn.add(String.valueOf(side.readLine())));
                        awaitEvent(() -> !passedOn.isEmpty() || hungUp.getCount() == 0);
                    }
                };
        pipeline.move(
                pipeline.outcomeRecorder().establishedAttempts().iterator().next(), "balance");
        assertEquals("MOVE", client.connection().readLine());
        assertNull(client.connection().readLine());
        assertEquals("M 1 in that moment", passedOn.take());
    }

    @Test
    void partialLineIsDroppedBeforeMove() throws Exception {
        Client client = connectClient();
        TestConnection side = establish(client, "a2");
        side.sendRaw("M 1 whole\r\nM 2 ha");
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
        TestConnection side = establish(client, "a3");
        side.sendRaw("M 1 whole\r\nM 2 ha");
        assertEquals("M 1 whole", client.connection().readLine());
        RelayTestEnvironment.await(
                "the relay waits for the rest of the line",
                RaceConditionTest::isWaitingForRestOfLine);
        pipeline.move(
                pipeline.outcomeRecorder().establishedAttempts().iterator().next(), "balance");
        side.sendLine("lf");
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
        Attempt left = newAttempt();
        left.cancel();
        assertThrows(IOException.class, () -> left.connectionStarted(() -> {}));
        try (SlowAcceptBackend late = new SlowAcceptBackend()) {
            Attempt connects = newAttempt();
            Socket socket = new Socket();
            connects.connectionStarted(() -> LineConnection.close(socket));
            BlockingQueue<Exception> ended =
                    RelayTestEnvironment.runInBackground(
                            () ->
                                    assertThrows(
                                            IOException.class,
                                            () -> {
                                                LineConnection.connect(
                                                        socket,
                                                        (InetSocketAddress)
                                                                late.listener
                                                                        .getLocalSocketAddress(),
                                                        Duration.ofMinutes(10));
                                                connects.connectionOpened(() -> {});
                                            }));
            connects.cancel();
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
        try (SlowAcceptBackend late = new SlowAcceptBackend()) {
            startPipeline("retryable", late.endpoint());
            Client client = connectClient();
            client.connection().sendLine("OPEN h1 k c=chat,t=acme,d=20000");
            RelayTestEnvironment.await("the relay is connecting", RaceConditionTest::isConnecting);
            backendListReceived(
                    9, RelayTestEnvironment.backendEntry("s-1", late.endpoint(), "draining"));
            assertNull(late.acceptConnection().readLine());
        }
    }

    @Test
    void backendSuspendedWhileConnectingIsSentNothing() throws Exception {
        try (SlowAcceptBackend late = new SlowAcceptBackend()) {
            startPipeline("retryable", late.endpoint());
            Client client = connectClient();
            client.connection().sendLine("OPEN h2 k c=chat,t=acme,d=20000");
            RelayTestEnvironment.await("the relay is connecting", RaceConditionTest::isConnecting);
            suspended.add("s-1");
            assertNull(late.acceptConnection().readLine());
        }
    }

    @Test
    void repeatConnectedAfterTheDeduplicationWindowIsNotSent() throws Exception {
        try (SlowAcceptBackend late = new SlowAcceptBackend()) {
            startPipeline("dedup\",\"MemorySpan\":\"100000", backend.endpoint());
            Client client = connectClient();
            client.connection().sendLine("OPEN i1 k c=chat,t=acme,d=20000");
            TestConnection first = backend.accept();
            first.readLine();
            backendListReceived(
                    9, RelayTestEnvironment.backendEntry("s-2", late.endpoint(), "ready"));
            long since = System.nanoTime();
            first.sendLine("ERR");
            RelayTestEnvironment.await(
                    "the repeated attempt is connecting", RaceConditionTest::isConnecting);
            RelayTestEnvironment.await(
                    "its deduplication window has passed",
                    () -> System.nanoTime() - since > 100_000_000);
            assertNull(late.acceptConnection().readLine());
            assertEquals("BUSY 1500", client.connection().readLine());
        }
    }

    private Attempt newAttempt() {
        BackendRegistry peers = new BackendRegistry();
        try {
            peers.update(
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
        } catch (saltstage.wire.MalformedException bad) {
            throw new IllegalStateException(bad);
        }
        return new RequestContext(
                        1, new RequestAttributes("x", 0, 0, "k", null, 0, false), clock.now(), null)
                .beginAttempt(peers.find("s-1"), clock.now());
    }

    @Test
    void clientThatLeftBeforeItsLineIsReadHasNoAttempt() throws Exception {
        for (int i = 0; i < 20; i++) {
            String ask = "OPEN b" + i + " k c=chat,t=acme,d=9000";
            connectClient(line -> line.sendLine(ask).close());
        }
        Client last = connectClient();
        establish(last, "c1"); // the first request that reaches the backend
    }

    @Test
    void requestArrivingDuringShutdownIsEitherRejectedOrForwarded() throws Exception {
        int refused = 0;
        for (int i = 0; i < 100; i++) {
            startPipeline("retryable", backend.endpoint());
            Client client = connectClient();
            String ask = "OPEN d" + i + " k c=chat,t=acme,d=9000";
            RelayTestEnvironment.runInBackground(() -> client.connection().sendLine(ask));
            pipeline.lineFrontend().rejectPendingClients();
            TestConnection side = null;
            String answer = null;
            BlockingQueue<TestConnection> sent =
                    RelayTestEnvironment.runInBackground(() -> backend.accept());
            BlockingQueue<String> heard =
                    RelayTestEnvironment.runInBackground(
                            () -> String.valueOf(client.connection().readLine()));
            while (side == null && answer == null) {
                side = sent.poll(1, TimeUnit.MILLISECONDS);
                answer = heard.poll(1, TimeUnit.MILLISECONDS);
            }
            if (answer != null) {
                refused++;
                assertEquals("BUSY", answer);
                assertNull(client.connection().readLine());
                // The id is free again, and no request has reached the backend before.
                establish(connectClient(), "d" + i, sent);
            } else {
                assertEquals(
                        "OPEN d" + i,
                        side.readLine().substring(0, 6 + Integer.toString(i).length()));
                side.sendLine("UP r1");
                assertEquals("UP r1", heard.take());
            }
        }
        System.out.println("rejected " + refused + " of 100");
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
        CountDownLatch hungUp = new CountDownLatch(1);
        client.relaySocket().hook =
                step -> {
                    if (step.equals("half-close")) {
                        hungUp.countDown();
                    } else if (step.equals("BUSY")) {
                        client.connection().sendLine("M 1 early");
                        long since = System.nanoTime();
                        awaitEvent(
                                () ->
                                        hungUp.getCount() == 0
                                                || System.nanoTime() - since > 200_000_000);
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
            TestConnection side = backend.accept();
            assertTrue(side.readLine().startsWith("OPEN g1"));
            pipeline.rejectWaiting();
            boolean harmless = effect.equals("retryable") || effect.equals("dedup");
            assertEquals(harmless ? "BUSY" : "ERR failed", client.connection().readLine());
            assertNull(client.connection().readLine());
            assertNull(side.readLine(), "the backend must not accept the request any more");
        }
    }
}
