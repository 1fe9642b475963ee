package saltstage.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltstage.memory.MonotonicClock;
import saltstage.memory.Timers;
import saltstage.stage.Threads;
import saltstage.wire.HostList;

/**
 * Calls to discovery that cross: the test answers each when it is its turn, so every order is
 * forced.
 */
@Timeout(60)
class SubscriptionTest {
    private final List<AutoCloseable> toClose = new ArrayList<>();
    private final Timers timers = new Timers(new MonotonicClock());
    private final BlockingQueue<Long> delivered = new LinkedBlockingQueue<>();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicLong rev = new AtomicLong(4);
    private ServerSocket service;
    private Subscription subscription;

    @BeforeEach
    void begin() throws IOException {
        Threads.startLoop("timers", () -> timers.awaitNext().run());
        service = listen();
        subscription = subscribe(false);
    }

    @AfterEach
    void end() throws Exception {
        for (AutoCloseable each : toClose) {
            each.close();
        }
    }

    private ServerSocket listen() throws IOException {
        ServerSocket socket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        socket.setSoTimeout(30_000);
        toClose.add(socket);
        return socket;
    }

    private static InetSocketAddress at(ServerSocket socket) {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    private Subscription subscribe(boolean pushed) {
        return new Subscription(
                at(service),
                pushed,
                timers,
                rev::get,
                this::take,
                () -> {
                    refused.incrementAndGet();
                    if (!service.isClosed()) {
                        timers.schedule(
                                Duration.ofMillis(10),
                                subscription::ask); // the module's pause is not meant
                    }
                });
    }

    private void take(HostList list) {
        rev.set(list.rev());
        delivered.add(list.rev());
    }

    /** A call as the service sees it. */
    private final class Call {
        private final Socket socket;
        private final BufferedReader in;
        private final String request;
        private boolean begun;

        Call(ServerSocket at) throws IOException {
            socket = at.accept();
            toClose.add(socket);
            socket.setSoTimeout(30_000);
            in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            request = in.readLine();
            while (!in.readLine().isEmpty()) {
                continue;
            }
        }

        Call tells(long version) throws IOException {
            String list = "{\"rev\":" + version + ",\"all\":true,\"targets\":[]}\n";
            String head = begun ? "" : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            begun = true;
            String chunk = head + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n";
            socket.getOutputStream().write(chunk.getBytes(StandardCharsets.US_ASCII));
            return this;
        }

        void isGivenUp() throws IOException {
            try {
                assertNull(in.readLine());
            } catch (IOException reset) { // given up as well
                return;
            }
        }
    }

    private long next() throws InterruptedException {
        Long version = delivered.poll(30, TimeUnit.SECONDS);
        assertTrue(version != null, "no list was delivered");
        return version;
    }

    @Test
    void callThatHangsIsSupersededAndEndsWhenAnotherIsAnswered() throws Exception {
        subscription.ask();
        Call hangs = new Call(service);
        Call answered = new Call(service).tells(5);
        assertEquals(5, next());
        hangs.isGivenUp();
        assertEquals(
                6, answered.tells(6) == null ? 0 : next(), "the one that answered is the watch");
        assertEquals(1, refused.get(), "a superseded call is reported once");
    }

    @Test
    void lateAnswerIsTakenAndTheCallBesideItEnds() throws Exception {
        subscription.ask();
        Call late = new Call(service);
        Call beside = new Call(service);
        late.tells(5);
        assertEquals(5, next());
        beside.isGivenUp();
        late.tells(6);
        assertEquals(6, next());
    }

    @Test
    void watchThatFallsSilentAfterALateAnswerIsFollowedByANewCall() throws Exception {
        subscription.ask();
        Call late = new Call(service);
        Call beside = new Call(service);
        late.tells(5);
        assertEquals(5, next());
        beside.isGivenUp();
        late.socket.close();
        new Call(service).tells(6);
        assertEquals(6, next(), "discovery is asked again when the watch ends");
    }

    @Test
    void listThatIsOlderThanTheOneHeldIsNotTaken() throws Exception {
        subscription.ask();
        new Call(service).tells(9).tells(3).tells(10);
        assertEquals(9, next());
        assertEquals(10, next());
    }

    @Test
    void reloadAsksTheNewAddressAtOnceAndHearsTheOldOneNoMore() throws Exception {
        subscription.ask();
        Call old = new Call(service);
        ServerSocket elsewhere = listen();
        subscription.moveTo(at(elsewhere));
        Call now = new Call(elsewhere);
        old.isGivenUp();
        now.tells(7);
        assertEquals(7, next());
        assertEquals(0, refused.get(), "what ended by the reload is no failure");
        subscription.moveTo(at(elsewhere));
        now.tells(8);
        assertEquals(8, next(), "the same address again changes nothing");
    }

    @Test
    void askingTwiceMakesOneCall() throws Exception {
        subscription.ask();
        subscription.ask();
        Call only = new Call(service).tells(5);
        assertEquals(5, next());
        subscription.ask();
        service.setSoTimeout(200);
        assertThrows(IOException.class, () -> new Call(service));
        assertEquals(6, only.tells(6) == null ? 0 : next());
    }

    @Test
    void agentIsAskedAgainByItselfWithoutTheModule() throws Exception {
        subscription = subscribe(true);
        subscription.ask();
        new Call(service).socket.close();
        Call silent = new Call(service);
        Call answers = new Call(service).tells(5);
        assertEquals(5, next());
        silent.isGivenUp();
        assertEquals("GET /discovery/hosts?watch=1&after=4 HTTP/1.1", answers.request);
        assertEquals(0, refused.get());
    }

    @Test
    void callsThatHangAreBounded() throws Exception {
        subscription.ask();
        Call oldest = new Call(service);
        for (int i = 0; i < 4; i++) {
            new Call(service);
        }
        oldest.isGivenUp();
    }
}
