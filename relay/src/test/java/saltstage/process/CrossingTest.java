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
import saltstage.memory.MonotonicClock;
import saltstage.memory.Peers;
import saltstage.memory.RequestContext;
import saltstage.memory.Terms;
import saltstage.memory.Timers;
import saltstage.memory.Try;
import saltstage.metrics.Counts;
import saltstage.process.World.Line;
import saltstage.process.World.Service;
import saltstage.stage.Chain;
import saltstage.stage.Threads;
import saltstage.wire.HostList;
import saltstage.wire.Json;
import saltstage.wire.LineConnection;

/** Two events that cross: the stages on real connections, each halted where the other must come. */
@Timeout(60)
class CrossingTest {
    private final MonotonicClock clock = new MonotonicClock();
    private final Timers timers = new Timers(clock);
    private Service backend;
    private final Set<String> suspended = ConcurrentHashMap.newKeySet();
    private Peers peers;
    private Chain chain;
    private ServerSocketChannel door;
    private boolean accepting;
    private final Map<Integer, Halted> sockets = new ConcurrentHashMap<>();

    /** What happens at a named point of the relay's own socket to a client. */
    private interface Halt {
        void at(String step) throws IOException;
    }

    /**
     * A client's socket as the relay holds it once it has asked; each write, half-close and close
     * halts.
     */
    private static final class Halted extends Socket {
        private volatile Halt halt = step -> {};
        private Socket socket;

        Halted over(SocketChannel channel) {
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
                    halt.at(new String(bytes, from, most, StandardCharsets.ISO_8859_1).trim());
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
            halt.at("half-close");
            socket.shutdownOutput();
        }
    }

    private interface Early {
        void with(Line line) throws IOException;
    }

    /** A client with both ends of its connection. */
    private record Client(Line line, Halted atRelay) {}

    @BeforeEach
    void begin() throws Exception {
        backend = new Service();
        begin("retryable", backend.endpoint());
    }

    private void begin(String effect, String... endpoints) throws Exception {
        peers = new Peers(suspended::contains);
        Configuration config =
                Configuration.of(
                        World.config(1, "127.0.0.1:1", 4096, World.list(1, true))
                                .replace("retryable", effect)
                                .replace(":200000", ":20000000")); // connections may take as long
        chain =
                new Chain(
                        config,
                        clock,
                        timers,
                        peers,
                        new Counts(config.classes()),
                        () -> {},
                        channel -> halted(channel.socket().getPort()).over(channel));
        Threads.loop("timers", () -> timers.next().run());
        door =
                ServerSocketChannel.open()
                        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        door.configureBlocking(false);
        accepting = false;
        chain.takeIn().start();
        chain.route().start(config.known());
        for (int i = 0; i < endpoints.length; i++) {
            list(i + 2, World.target("s-" + (i + 1), endpoints[i], "ready"));
        }
    }

    /** Discovery tells a change. */
    private void list(int rev, String target) throws Exception {
        HostList told = HostList.of(Json.object(World.list(rev, false, target)));
        chain.listed(peers.update(told), told);
    }

    @AfterEach
    void end() throws IOException {
        backend.close();
    }

    private Halted halted(int clientPort) {
        return sockets.computeIfAbsent(clientPort, port -> new Halted());
    }

    private Client client() throws IOException {
        Client client = client(line -> {});
        if (!accepting) {
            accepting = true;
            chain.takeIn().acceptor().start(door);
        }
        return client;
    }

    /** A client that does this before the relay has accepted it, where none was accepted yet. */
    private Client client(Early early) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), door.socket().getLocalPort());
        Client client = new Client(new Line(socket), halted(socket.getLocalPort()));
        early.with(client.line());
        return client;
    }

    private static void until(BooleanSupplier condition) throws IOException {
        try {
            World.await("the other event came", condition);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private Line stand(Client client, String id) throws IOException {
        client.line().say("OPEN " + id + " k c=chat,t=acme,d=9000");
        return up(client, id, backend.accept());
    }

    private void stand(Client client, String id, BlockingQueue<Line> accepted) throws Exception {
        client.line().say("OPEN " + id + " k c=chat,t=acme,d=9000");
        up(client, id, accepted.take());
    }

    private Line up(Client client, String id, Line side) throws IOException {
        assertTrue(side.hear().startsWith("OPEN " + id));
        side.say("UP r1");
        assertEquals("UP r1", client.line().hear());
        return side;
    }

    @Test
    void clientThatSpeaksInTheMomentOfItsMoveStillHearsIt() throws Exception {
        Client client = client();
        Line side = stand(client, "a1");
        CountDownLatch hungUp = new CountDownLatch(1);
        BlockingQueue<String> passedOn = new LinkedBlockingQueue<>();
        client.atRelay().halt =
                step -> {
                    if (step.equals("half-close")) {
                        hungUp.countDown();
                    } else if (step.equals("MOVE")) {
                        client.line().say("M 1 in that moment");
                        World.aside(() -> passedOn.add(String.valueOf(side.hear())));
                        until(() -> !passedOn.isEmpty() || hungUp.getCount() == 0);
                    }
                };
        chain.move(chain.book().standing().iterator().next(), "balance");
        assertEquals("MOVE", client.line().hear());
        assertNull(client.line().hear());
        assertEquals("M 1 in that moment", passedOn.take());
    }

    @Test
    void halfALineThatCrossesTheEndOfReadingIsDroppedBeforeMove() throws Exception {
        Client client = client();
        Line side = stand(client, "a2");
        side.raw("M 1 whole\r\nM 2 ha");
        assertEquals("M 1 whole", client.line().hear());
        chain.move(chain.book().standing().iterator().next(), "balance");
        assertEquals("MOVE", client.line().hear());
        assertNull(client.line().hear());
    }

    /** Whether the thread that reads a backend waits for more of a line. */
    private static boolean waitsForTheRest() {
        return Thread.getAllStackTraces().values().stream()
                .anyMatch(
                        stack -> {
                            String calls = Arrays.toString(stack);
                            return calls.contains("LineRelay.pump")
                                    && calls.contains("NioSocketImpl.implRead");
                        });
    }

    @Test
    void lineThatIsEndedInTheMomentOfTheMoveComesBeforeIt() throws Exception {
        Client client = client();
        Line side = stand(client, "a3");
        side.raw("M 1 whole\r\nM 2 ha");
        assertEquals("M 1 whole", client.line().hear());
        World.await("the rest is waited for", CrossingTest::waitsForTheRest);
        chain.move(chain.book().standing().iterator().next(), "balance");
        side.say("lf");
        assertEquals("M 2 half", client.line().hear());
        assertEquals("MOVE", client.line().hear());
    }

    /** A backend whose connections do not come up before the test lets them. */
    private static final class Late implements AutoCloseable {
        final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<Socket> fillers =
                new ArrayList<>(); // two may wait, then nobody is answered

        Late() throws IOException {
            listener.setSoTimeout(World.PATIENCE_MS);
            for (int i = 0; i < 2; i++) {
                fillers.add(new Socket(listener.getInetAddress(), listener.getLocalPort()));
            }
        }

        String endpoint() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        /** The relay's connection, which comes up now. */
        Line comesUp() throws IOException {
            for (Socket ignored : fillers) {
                listener.accept().close();
            }
            return new Line(listener.accept());
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
    void attemptOfAClientThatLeftIsNotBegunAndOneThatConnectsEndsAtOnce() throws Exception {
        Try left = attempt();
        left.giveUp();
        assertThrows(IOException.class, () -> left.connecting(() -> {}));
        try (Late late = new Late()) {
            Try connects = attempt();
            Socket socket = new Socket();
            connects.connecting(() -> LineConnection.close(socket));
            BlockingQueue<Exception> ended =
                    World.aside(
                            () ->
                                    assertThrows(
                                            IOException.class,
                                            () -> {
                                                LineConnection.open(
                                                        socket,
                                                        (InetSocketAddress)
                                                                late.listener
                                                                        .getLocalSocketAddress(),
                                                        Duration.ofMinutes(10));
                                                connects.connected(() -> {});
                                            }));
            connects.giveUp();
            ended.take();
            assertTrue(socket.isClosed());
        }
    }

    private static boolean dials() {
        return Thread.getAllStackTraces().values().stream()
                .anyMatch(
                        stack ->
                                Arrays.toString(stack).contains("LineTry.attempt")
                                        && Arrays.toString(stack).contains("connect"));
    }

    @Test
    void backendThatDrainsWhileItsConnectionComesUpIsSentNothing() throws Exception {
        try (Late late = new Late()) {
            begin("retryable", late.endpoint());
            Client client = client();
            client.line().say("OPEN h1 k c=chat,t=acme,d=20000");
            World.await("it is dialled", CrossingTest::dials);
            list(9, World.target("s-1", late.endpoint(), "draining"));
            assertNull(late.comesUp().hear());
        }
    }

    @Test
    void backendThatIsSuspendedWhileItsConnectionComesUpIsSentNothing() throws Exception {
        try (Late late = new Late()) {
            begin("retryable", late.endpoint());
            Client client = client();
            client.line().say("OPEN h2 k c=chat,t=acme,d=20000");
            World.await("it is dialled", CrossingTest::dials);
            suspended.add("s-1");
            assertNull(late.comesUp().hear());
        }
    }

    @Test
    void repeatWhoseConnectionComesUpAfterItsWindowIsNotSent() throws Exception {
        try (Late late = new Late()) {
            begin("dedup\",\"MemorySpan\":\"100000", backend.endpoint());
            Client client = client();
            client.line().say("OPEN i1 k c=chat,t=acme,d=20000");
            Line first = backend.accept();
            first.hear();
            list(9, World.target("s-2", late.endpoint(), "ready"));
            long since = System.nanoTime();
            first.say("ERR");
            World.await("the repeat is dialled", CrossingTest::dials);
            World.await("its window is over", () -> System.nanoTime() - since > 100_000_000);
            assertNull(late.comesUp().hear());
            assertEquals("BUSY 1500", client.line().hear());
        }
    }

    private Try attempt() {
        Peers peers = new Peers();
        try {
            peers.update(
                    Configuration.of(
                                    World.config(
                                            1,
                                            "127.0.0.1:1",
                                            4096,
                                            World.list(
                                                    1,
                                                    true,
                                                    World.target(
                                                            "s-1", backend.endpoint(), "ready"))))
                            .known());
        } catch (saltstage.wire.MalformedException bad) {
            throw new IllegalStateException(bad);
        }
        return new RequestContext(1, new Terms("x", 0, 0, "k", null, 0, false), clock.now(), null)
                .begin(peers.find("s-1"), clock.now());
    }

    @Test
    void clientThatHasLeftBeforeItsLineIsReadHasNoAttempt() throws Exception {
        for (int i = 0; i < 20; i++) {
            String ask = "OPEN b" + i + " k c=chat,t=acme,d=9000";
            client(line -> line.say(ask).close());
        }
        Client last = client();
        stand(last, "c1"); // the first that the backend hears of
    }

    @Test
    void requestThatComesInTheMomentItsClientIsTurnedAwayIsEitherRefusedOrSentOn()
            throws Exception {
        int refused = 0;
        for (int i = 0; i < 100; i++) {
            begin("retryable", backend.endpoint());
            Client client = client();
            String ask = "OPEN d" + i + " k c=chat,t=acme,d=9000";
            World.aside(() -> client.line().say(ask));
            chain.takeIn().turnAway();
            Line side = null;
            String answer = null;
            BlockingQueue<Line> sent = World.aside(() -> backend.accept());
            BlockingQueue<String> heard = World.aside(() -> String.valueOf(client.line().hear()));
            while (side == null && answer == null) {
                side = sent.poll(1, TimeUnit.MILLISECONDS);
                answer = heard.poll(1, TimeUnit.MILLISECONDS);
            }
            if (answer != null) {
                refused++;
                assertEquals("BUSY", answer);
                assertNull(client.line().hear());
                stand(
                        client(), "d" + i,
                        sent); // its id is free, and the backend heard of nobody before
            } else {
                assertEquals(
                        "OPEN d" + i, side.hear().substring(0, 6 + Integer.toString(i).length()));
                side.say("UP r1");
                assertEquals("UP r1", heard.take());
            }
        }
        System.out.println("turned away " + refused + " of 100");
    }

    @Test
    void whatIsUnreadAsItsClientIsTurnedAwayDoesNotTakeTheAnswerWithIt() throws Exception {
        for (int i = 0; i < 20; i++) {
            Client client = client();
            client.line().raw("OPEN ");
            World.await("it is there", () -> chain.takeIn().clients() > 0);
            Thread.sleep(2 * i); // half of its line is read, or not
            chain.takeIn().turnAway();
            client.line().say("e1 k c=chat,t=acme,d=9000");
            assertEquals("BUSY", client.line().hear());
            assertNull(client.line().hear());
            client.line().close();
            World.await("it is hung up on", () -> chain.takeIn().clients() == 0);
        }
        stand(client(), "e2");
    }

    @Test
    void clientThatIsAnsweredAsAllAreTurnedAwayHearsOneAnswer() throws Exception {
        chain.descriptors(0);
        Client client = client();
        client.atRelay().halt =
                step -> {
                    if (step.startsWith("BUSY 1500")) {
                        client.atRelay().halt = next -> {};
                        chain.takeIn().turnAway();
                    }
                };
        client.line().say("OPEN f1 k c=chat,t=acme,d=9000");
        assertEquals("BUSY 1500", client.line().hear());
        assertNull(client.line().hear());
    }

    @Test
    void clientThatSpeaksWhileItsAnswerIsWrittenStillHearsIt() throws Exception {
        Client client = client();
        client.line().say("OPEN j1 k c=chat,t=acme,d=50000");
        assertTrue(backend.accept().hear().startsWith("OPEN j1"));
        CountDownLatch hungUp = new CountDownLatch(1);
        client.atRelay().halt =
                step -> {
                    if (step.equals("half-close")) {
                        hungUp.countDown();
                    } else if (step.equals("BUSY")) {
                        client.line().say("M 1 early");
                        long since = System.nanoTime();
                        until(
                                () ->
                                        hungUp.getCount() == 0
                                                || System.nanoTime() - since > 200_000_000);
                    }
                };
        chain.rejectWaiting();
        assertEquals("BUSY", client.line().hear());
        assertNull(client.line().hear());
    }

    @Test
    void whatIsOutAtTheEndIsGivenUpAndRefusedOnlyWhereThatIsHarmless() throws Exception {
        for (String effect :
                new String[] {"retryable", "fragile", "dedup", "dedup\",\"Group\":\"zone"}) {
            begin(effect, backend.endpoint());
            Client client = client();
            client.line().say("OPEN g1 k c=chat,t=acme,d=50000"); // longer than the test waits
            Line side = backend.accept();
            assertTrue(side.hear().startsWith("OPEN g1"));
            chain.rejectWaiting();
            boolean harmless = effect.equals("retryable") || effect.equals("dedup");
            assertEquals(harmless ? "BUSY" : "ERR failed", client.line().hear());
            assertNull(client.line().hear());
            assertNull(side.hear(), "its backend may not take it any more");
        }
    }
}
