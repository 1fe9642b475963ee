package saltstage.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.FilterInputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
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

    /** What happens at a named point of the relay's own socket to a client. */
    private interface Halt {
        void at(String step) throws IOException;
    }

    /** A client's socket as the relay holds it; each write, half-close and close halts first. */
    private static final class Halted extends Socket {
        private volatile Halt halt = step -> { };
        private volatile boolean closedOverUnread;

        @Override
        public OutputStream getOutputStream() throws IOException {
            return new FilterOutputStream(super.getOutputStream()) {
                @Override
                public void write(byte[] bytes, int from, int most) throws IOException {
                    halt.at(new String(bytes, from, most, StandardCharsets.ISO_8859_1).trim());
                    out.write(bytes, from, most);
                }
            };
        }

        @Override
        public InputStream getInputStream() throws IOException {
            return new FilterInputStream(super.getInputStream()) {
                @Override
                public int read(byte[] bytes, int from, int most) throws IOException {
                    int read = in.read(bytes, from, most);
                    halt.at("has read");
                    return read;
                }
            };
        }

        /** What is unread then makes the system reset the connection, and what was sent may go with it. */
        @Override
        public void close() throws IOException {
            closedOverUnread |= !isClosed() && super.getInputStream().available() > 0;
            super.close();
        }

        @Override
        public void shutdownOutput() throws IOException {
            halt.at("half-close");
            super.shutdownOutput();
        }
    }

    private interface Early {
        void with(Line line) throws IOException;
    }

    /** A client with both ends of its connection. */
    private record Client(Line line, Halted atRelay) { }

    @BeforeEach
    void begin() throws Exception {
        backend = new Service();
        begin("retryable", backend.endpoint());
    }

    private void begin(String effect, String... endpoints) throws Exception {
        peers = new Peers(suspended::contains);
        Configuration config = Configuration.of(World.config(1, "127.0.0.1:1", 4096, World.list(1, true))
            .replace("retryable", effect).replace(":200000", ":20000000")); // connections may take as long
        chain = new Chain(config, clock, timers, peers, new Counts(config.classes()), () -> { });
        Threads.loop("timers", () -> timers.next().run());
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

    private Client client() throws IOException {
        return client(line -> { });
    }

    /** A client that does this before the relay has accepted it. */
    private Client client(Early early) throws IOException {
        Halted halted = new Halted();
        try (ServerSocket door = new ServerSocket(0, 1, InetAddress.getLoopbackAddress()) {
            @Override
            public Socket accept() throws IOException {
                implAccept(halted);
                return halted;
            }
        }) {
            Line line = new Line(new Socket(door.getInetAddress(), door.getLocalPort()));
            early.with(line);
            chain.takeIn().accept(door.accept());
            return new Client(line, halted);
        }
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
        Line side = backend.accept();
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
        client.atRelay().halt = step -> {
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
        return Thread.getAllStackTraces().values().stream().anyMatch(stack -> {
            String calls = Arrays.toString(stack);
            return calls.contains("LineRelay.pump") && calls.contains("NioSocketImpl.implRead");
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
        private final List<Socket> fillers = new ArrayList<>(); // two may wait, then nobody is answered

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
        assertThrows(IOException.class, () -> left.connecting(() -> { }));
        try (Late late = new Late()) {
            Try connects = attempt();
            Socket socket = new Socket();
            connects.connecting(() -> LineConnection.close(socket));
            BlockingQueue<Exception> ended = World.aside(() -> assertThrows(IOException.class, () -> {
                LineConnection.open(socket, (InetSocketAddress) late.listener.getLocalSocketAddress(),
                    Duration.ofMinutes(10));
                connects.connected(() -> { });
            }));
            connects.giveUp();
            ended.take();
            assertTrue(socket.isClosed());
        }
    }

    private static boolean dials() {
        return Thread.getAllStackTraces().values().stream().anyMatch(stack ->
            Arrays.toString(stack).contains("LineTry.attempt") && Arrays.toString(stack).contains("connect"));
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
            peers.update(Configuration.of(World.config(1, "127.0.0.1:1", 4096,
                World.list(1, true, World.target("s-1", backend.endpoint(), "ready")))).known());
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
    void requestThatIsReadInTheMomentItsClientIsTurnedAwayIsNotSentOn() throws Exception {
        Client client = client();
        client.atRelay().halt = step -> {
            if (step.equals("has read")) {
                chain.takeIn().turnAway();
            }
        };
        client.line().say("OPEN d1 k c=chat,t=acme,d=9000");
        assertEquals("BUSY", client.line().hear());
        assertNull(client.line().hear());
        stand(client(), "d1"); // its id is free, and the backend heard of nobody before
    }

    @Test
    void whatIsUnreadAsItsClientIsTurnedAwayDoesNotTakeTheAnswerWithIt() throws Exception {
        Client client = client();
        client.atRelay().halt = step -> {
            if (step.equals("has read")) {
                client.atRelay().halt = next -> { };
                client.line().say("e1 k c=chat,t=acme,d=9000");
                chain.takeIn().turnAway();
            }
        };
        client.line().raw("OPEN ");
        assertEquals("BUSY", client.line().hear());
        assertNull(client.line().hear());
        client.line().close();
        World.await("it is hung up on", client.atRelay()::isClosed);
        assertFalse(client.atRelay().closedOverUnread);
        stand(client(), "e2");
    }

    @Test
    void clientThatIsAnsweredAsAllAreTurnedAwayHearsOneAnswer() throws Exception {
        chain.descriptors(0);
        Client client = client();
        client.atRelay().halt = step -> {
            if (step.startsWith("BUSY 1500")) {
                client.atRelay().halt = next -> { };
                chain.takeIn().turnAway();
            }
        };
        client.line().say("OPEN f1 k c=chat,t=acme,d=9000");
        assertEquals("BUSY 1500", client.line().hear());
        assertNull(client.line().hear());
    }

    @Test
    void whatIsOutAtTheEndIsGivenUpAndRefusedOnlyWhereThatIsHarmless() throws Exception {
        for (String effect : new String[] {"retryable", "fragile", "dedup", "dedup\",\"Group\":\"zone"}) {
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
