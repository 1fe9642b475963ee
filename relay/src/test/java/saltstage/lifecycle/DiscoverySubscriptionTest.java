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
import saltstage.session.MonotonicClock;
import saltstage.session.Timers;
import saltstage.stage.Threads;
import saltstage.wire.BackendList;

/**
 * Guards against calls to discovery that are lost, doubled or left open when several overlap. The
 * test's service answers each call at a chosen moment, so that each order is forced.
 */
@Timeout(60)
class DiscoverySubscriptionTest {
    private final List<AutoCloseable> toClose = new ArrayList<>();
    private final Timers timers = new Timers(new MonotonicClock());
    private final BlockingQueue<Long> delivered = new LinkedBlockingQueue<>();
    private final AtomicInteger failedCalls = new AtomicInteger();
    private final AtomicLong heldRevision = new AtomicLong(4);
    private ServerSocket service;
    private DiscoverySubscription subscription;

    @BeforeEach
    void setUp() throws IOException {
        Threads.startLoop("timers", () -> timers.awaitNext().run());
        service = listen();
        subscription = subscribe(false);
    }

    @AfterEach
    void tearDown() throws Exception {
        for (AutoCloseable closeable : toClose) {
            closeable.close();
        }
    }

    private ServerSocket listen() throws IOException {
        ServerSocket socket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        socket.setSoTimeout(30_000);
        toClose.add(socket);
        return socket;
    }

    private static InetSocketAddress addressOf(ServerSocket socket) {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    private DiscoverySubscription subscribe(boolean pushed) {
        return new DiscoverySubscription(
                addressOf(service),
                pushed,
                timers,
                heldRevision::get,
                this::listReceived,
                () -> {
                    failedCalls.incrementAndGet();
                    if (!service.isClosed()) {
                        timers.schedule(
                                Duration.ofMillis(10),
                                subscription::ask); // a short pause in place of the load balancer's
                    }
                });
    }

    private void listReceived(BackendList list) {
        heldRevision.set(list.revision());
        delivered.add(list.revision());
    }

    /** The service's side of a call. */
    private final class ServiceCall {
        private final Socket socket;
        private final BufferedReader in;
        private final String request;
        private boolean headSent;

        ServiceCall(ServerSocket serverSocket) throws IOException {
            socket = serverSocket.accept();
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

        ServiceCall sendList(long revision) throws IOException {
            String list = "{\"rev\":" + revision + ",\"all\":true,\"targets\":[]}\n";
            String head = headSent ? "" : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            headSent = true;
            String chunk = head + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n";
            socket.getOutputStream().write(chunk.getBytes(StandardCharsets.US_ASCII));
            return this;
        }

        void assertClosed() throws IOException {
            try {
                assertNull(in.readLine());
            } catch (IOException reset) { // a reset closes the call too
                return;
            }
        }
    }

    private long nextDelivered() throws InterruptedException {
        Long revision = delivered.poll(30, TimeUnit.SECONDS);
        assertTrue(revision != null, "no list was delivered");
        return revision;
    }

    @Test
    void callThatHangsIsSupersededAndEndsWhenAnotherIsAnswered() throws Exception {
        subscription.ask();
        ServiceCall hangs = new ServiceCall(service);
        ServiceCall answered = new ServiceCall(service).sendList(5);
        assertEquals(5, nextDelivered());
        hangs.assertClosed();
        assertEquals(
                6,
                answered.sendList(6) == null ? 0 : nextDelivered(),
                "the answered call is the watch");
        assertEquals(1, failedCalls.get(), "a superseded call is reported once");
    }

    @Test
    void lateAnswerIsTakenAndTheCallBesideItEnds() throws Exception {
        subscription.ask();
        ServiceCall late = new ServiceCall(service);
        ServiceCall second = new ServiceCall(service);
        late.sendList(5);
        assertEquals(5, nextDelivered());
        second.assertClosed();
        late.sendList(6);
        assertEquals(6, nextDelivered());
    }

    @Test
    void watchThatFallsSilentAfterALateAnswerIsFollowedByANewCall() throws Exception {
        subscription.ask();
        ServiceCall late = new ServiceCall(service);
        ServiceCall second = new ServiceCall(service);
        late.sendList(5);
        assertEquals(5, nextDelivered());
        second.assertClosed();
        late.socket.close();
        new ServiceCall(service).sendList(6);
        assertEquals(6, nextDelivered(), "discovery is asked again when the watch ends");
    }

    @Test
    void listThatIsOlderThanTheOneHeldIsNotTaken() throws Exception {
        subscription.ask();
        new ServiceCall(service).sendList(9).sendList(3).sendList(10);
        assertEquals(9, nextDelivered());
        assertEquals(10, nextDelivered());
    }

    @Test
    void reloadAsksTheNewAddressAtOnceAndIgnoresTheOldOne() throws Exception {
        subscription.ask();
        ServiceCall old = new ServiceCall(service);
        ServerSocket newService = listen();
        subscription.changeAddress(addressOf(newService));
        ServiceCall current = new ServiceCall(newService);
        old.assertClosed();
        current.sendList(7);
        assertEquals(7, nextDelivered());
        assertEquals(0, failedCalls.get(), "calls ended by the reload are no failures");
        subscription.changeAddress(addressOf(newService));
        current.sendList(8);
        assertEquals(8, nextDelivered(), "the same address again changes nothing");
    }

    @Test
    void askingTwiceMakesOneCall() throws Exception {
        subscription.ask();
        subscription.ask();
        ServiceCall only = new ServiceCall(service).sendList(5);
        assertEquals(5, nextDelivered());
        subscription.ask();
        service.setSoTimeout(200);
        assertThrows(IOException.class, () -> new ServiceCall(service));
        assertEquals(6, only.sendList(6) == null ? 0 : nextDelivered());
    }

    @Test
    void agentIsAskedAgainWithoutTheLoadBalancer() throws Exception {
        subscription = subscribe(true);
        subscription.ask();
        new ServiceCall(service).socket.close();
        ServiceCall silent = new ServiceCall(service);
        ServiceCall answering = new ServiceCall(service).sendList(5);
        assertEquals(5, nextDelivered());
        silent.assertClosed();
        assertEquals("GET /discovery/hosts?watch=1&after=4 HTTP/1.1", answering.request);
        assertEquals(0, failedCalls.get());
    }

    @Test
    void callsThatHangAreBounded() throws Exception {
        subscription.ask();
        ServiceCall oldest = new ServiceCall(service);
        for (int i = 0; i < 4; i++) {
            new ServiceCall(service);
        }
        oldest.assertClosed();
    }
}
