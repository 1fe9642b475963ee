package saltstage.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import saltstage.persistence.ConfigurationVersions;
import saltstage.process.ProcessSupervisor.Relay;
import saltstage.process.RelayTestEnvironment.TestConnection;
import saltstage.process.RelayTestEnvironment.TestServer;
import saltstage.store.FileDisk;
import saltstage.store.Store;
import saltstage.store.StoreEventListener;

/**
 * A relay process is replaced by another that inherits the clients' listening socket, which the
 * platform holds open. Guards against clients that are lost or served by the wrong process during
 * the handover.
 */
public class UpgradeTest {
    private static final byte[] AMQP_HEADER = {'A', 'M', 'Q', 'P', 0, 1, 0, 0};

    /** An open frame with the container id "x" (AMQP 1.0, 2.7.1). */
    private static final byte[] AMQP_OPEN_FRAME = {
        0, 0, 0, 17, 2, 0, 0, 0, 0, 0x53, 0x10, (byte) 0xc0, 4, 1, (byte) 0xa1, 1, 'x'
    };

    /** How long after a change a relay may send new requests to a backend that drains. */
    private static final int DRAIN_GRACE_MS = 1_000;

    private static final int MAX_ANSWERED_CALLS = 20;
    private static final int ANSWER_PAUSE_MS = 100;

    private RelayTestEnvironment environment;
    private ProcessSupervisor platform;
    private TestServer backend;
    private Path config;
    private List<String> furtherArguments = List.of();

    @Before
    public void start() throws Exception {
        environment = new RelayTestEnvironment();
        platform = new ProcessSupervisor();
        environment.setClientPort(platform.port);
        backend = environment.startBackend();
        config = platform.directory.resolve("config.json");
        Files.writeString(
                config,
                environment.config(
                        4096,
                        RelayTestEnvironment.backendList(
                                1,
                                true,
                                RelayTestEnvironment.backendEntry(
                                        "s-1", backend.endpoint(), "ready"))));
    }

    @After
    public void stop() throws Exception {
        platform.close();
        environment.close();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private Relay launch(String name) throws Exception {
        return platform.launch(name, config, furtherArguments);
    }

    private Relay startReady(String name) throws Exception {
        Relay relay = launch(name);
        RelayTestEnvironment.await(name + " serves", () -> relay.isReady(environment));
        return relay;
    }

    @Test
    public void noNewClientIsLostAndEstablishedOnesAreMovedToTheNewProcess() throws Exception {
        Relay old = startReady("old");
        TestConnection client = environment.sendOpen("u1", 20_000);
        TestConnection backendSide = environment.establish(backend, client);
        TestConnection waiting = environment.sendOpen("u2", 20_000);
        TestConnection waitingSide = backend.accept();
        assertTrue(waitingSide.readLine().startsWith("OPEN u2 "));
        Relay next = startReady("next");
        ProcessSupervisor.signal(old.pid(), "TERM");
        RelayTestEnvironment.await(
                "the old process has stopped accepting", () -> old.hasLogged("drain.start"));
        List<TestConnection> others = new ArrayList<>();
        for (int i = 0; i < 10; i++) { // clients that connect during the handover are all served
            TestConnection newClient = environment.sendOpen("n" + i, 20_000);
            others.add(environment.establish(backend, newClient));
            Thread.sleep(20);
        }
        waitingSide.sendLine("UP r2");
        assertEquals("UP r2", waiting.readLine());
        for (TestConnection established : List.of(client, waiting)) {
            assertEquals("MOVE", established.readLine());
            assertNull(established.readLine());
        }
        assertNull(backendSide.readLine());
        RelayTestEnvironment.await(
                "the old process ends", () -> platform.exitCodes.containsKey(old.pid()));
        assertEquals(0, (int) platform.exitCodes.get(old.pid()));
        environment.establish(backend, environment.sendOpen("u9", 20_000));
        assertTrue(next.isReady(environment));
        assertTrue(old.hasLogged("succeeded=true"));
        assertFalse(
                "new clients connect to the new process and are not moved", old.hasLogged(" id=n"));
    }

    /** Writes settings with an AMQP frontend at this port, for the relays started from now on. */
    private void useAmqp(int port) throws IOException {
        Path settings = platform.directory.resolve("relay.hcl");
        Files.writeString(
                settings,
                "amqp {\n  listen = \"127.0.0.1:"
                        + port
                        + "\"\n  anonymous_tenant = \"acme\"\n}\n");
        furtherArguments = List.of("--settings", settings.toString());
    }

    /** Connects an AMQP client and returns after the relay has answered its open frame. */
    private static Socket openAmqp(int port) throws IOException {
        Socket client = new Socket("127.0.0.1", port);
        client.setSoTimeout(RelayTestEnvironment.AWAIT_TIMEOUT_MS);
        client.getOutputStream().write(AMQP_HEADER);
        client.getOutputStream().write(AMQP_OPEN_FRAME);
        DataInputStream answer = new DataInputStream(client.getInputStream());
        answer.readFully(new byte[AMQP_HEADER.length]);
        answer.readFully(new byte[answer.readInt() - Integer.BYTES]);
        return client;
    }

    private static boolean canOpenAmqp(int port) {
        try (Socket client = openAmqp(port)) {
            return client.isConnected();
        } catch (IOException refusedOrClosed) {
            return false;
        }
    }

    /** Guards against a new process that ends because the old one listens for AMQP clients. */
    @Test
    public void newProcessIsReadyBesideTheOldOneAndListensForAmqpWhenThatHasClosedItsListener()
            throws Exception {
        int amqpPort = freePort();
        useAmqp(amqpPort);
        Relay old = startReady("old");
        Socket amqpClient = openAmqp(amqpPort);
        Relay next = startReady("next");
        assertTrue(next.hasLogged("amqp.waiting"));
        assertTrue("the old process still listens", canOpenAmqp(amqpPort));
        // A line client that is established keeps the old process from ending at once.
        TestConnection lineClient = environment.sendOpen("u1", 20_000);
        environment.establish(backend, lineClient);
        ProcessSupervisor.signal(old.pid(), "TERM");
        RelayTestEnvironment.await(
                "the new process listens for AMQP clients", () -> next.hasLogged("amqp.ready"));
        assertTrue(canOpenAmqp(amqpPort));
        String lastFrames =
                new String(amqpClient.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        assertTrue(lastFrames, lastFrames.contains("amqp:connection:forced"));
        RelayTestEnvironment.await(
                "the old process ends", () -> platform.exitCodes.containsKey(old.pid()));
        assertEquals(0, (int) platform.exitCodes.get(old.pid()));
        environment.establish(backend, environment.sendOpen("u2", 20_000));
    }

    /** An address in use is an error where no other process of the relay can be its owner. */
    @Test
    public void amqpAddressInUseEndsTheStartOfARelayThatReplacesNone() throws Exception {
        try (ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            useAmqp(other.getLocalPort());
            List<String> arguments = new ArrayList<>(List.of("serve", "--config"));
            Path ownPort = platform.directory.resolve("own-port.json");
            environment.setClientPort(freePort());
            Files.writeString(
                    ownPort, environment.config(4096, RelayTestEnvironment.backendList(1, true)));
            arguments.add(ownPort.toString());
            arguments.addAll(furtherArguments);
            Process process = RelayTestEnvironment.launch(arguments.toArray(String[]::new));
            String output = new String(process.getInputStream().readAllBytes());
            assertEquals(1, process.waitFor());
            assertTrue(output, output.contains("saltstage: cannot listen on /127.0.0.1:"));
        }
    }

    /**
     * Guards against a request of a class that may not be repeated which runs twice: when its id
     * comes again after its client has left, and at the other process of a replacement.
     */
    @Test
    public void idThatMayHaveRunIsNotSentAgainByEitherProcess() throws Exception {
        Files.writeString(config, Files.readString(config).replace("retryable", "fragile"));
        Relay old = startReady("old");
        TestConnection first = environment.sendOpen("u1", 20_000);
        assertTrue(backend.accept().readLine().startsWith("OPEN u1 "));
        first.close();
        assertEquals("ERR id was used before", awaitAnswer("u1"));
        TestConnection established = environment.sendOpen("u2", 20_000);
        environment.establish(backend, established);
        Relay next = startReady("next");
        ProcessSupervisor.stop(old.pid()); // so that the new process accepts
        assertEquals("ERR id was used before", awaitAnswer("u1"));
        assertEquals("ERR id was used before", awaitAnswer("u2"));
        environment.establish(backend, environment.sendOpen("u3", 20_000));
        ProcessSupervisor.signal(old.pid(), "CONT");
        assertTrue(next.isReady(environment));
        assertTrue("nothing more was sent", backend.hasNoConnectionWithin(200));
    }

    /**
     * Guards against a new process that never persists state, as the old one had the store open.
     */
    @Test
    public void newProcessPersistsItsStateOnceTheOldOneHasEnded() throws Exception {
        Path directory = platform.directory.resolve("state");
        Path settings = platform.directory.resolve("store.hcl");
        Files.writeString(settings, "store {\n  dir = \"" + directory + "\"\n}\n");
        furtherArguments = List.of("--settings", settings.toString());
        Relay old = startReady("old");
        Files.writeString(config, Files.readString(config) + "\n"); // a second version
        Relay next = startReady("next");
        assertTrue(next.hasLogged("keep.lost"));
        ProcessSupervisor.signal(old.pid(), "TERM");
        RelayTestEnvironment.await(
                "the new process persists its configuration",
                () -> next.hasLogged("keep.configuration version=2"));
        platform.awaitEnd(old);
        platform.kill(next);
        try (Store store = Store.openToRead(new FileDisk(directory), StoreEventListener.NONE)) {
            assertEquals(2, ConfigurationVersions.all(store).size());
        }
    }

    /**
     * Guards against new requests to a backend whose drain discovery has told the other process.
     */
    @Test
    public void drainThatDiscoveryTellsOnlyTheOldProcessBindsTheNewOne() throws Exception {
        TestServer remaining = environment.startBackend();
        try (TestServer silentDiscovery = new TestServer()) {
            Relay old = startWithTwoBackends("old", environment.discovery, remaining);
            startWithTwoBackends("next", silentDiscovery, remaining);
            tellDrain(old, remaining);
            ProcessSupervisor.stop(old.pid()); // so that the new process accepts
            assertAllClientsGoTo(remaining);
        }
    }

    /** Guards against the same in the other direction, while the old process still accepts. */
    @Test
    public void drainThatDiscoveryTellsOnlyTheNewProcessBindsTheOldOne() throws Exception {
        TestServer remaining = environment.startBackend();
        try (TestServer silentDiscovery = new TestServer()) {
            startWithTwoBackends("old", silentDiscovery, remaining);
            Relay next = startWithTwoBackends("next", environment.discovery, remaining);
            tellDrain(next, remaining);
            ProcessSupervisor.stop(next.pid()); // so that the old process accepts
            assertAllClientsGoTo(remaining);
        }
    }

    /** Guards against new requests from one process to a backend suspended at the other. */
    @Test
    public void suspensionByACallToTheOldProcessBindsTheNewOne() throws Exception {
        TestServer remaining = environment.startBackend();
        Relay old = startWithTwoBackends("old", environment.discovery, remaining);
        startWithTwoBackends("next", environment.discovery, remaining);
        assertEquals("done suspended\n", environment.operatorCall(old.admin(), "SUSPEND s-1"));
        Thread.sleep(DRAIN_GRACE_MS);
        ProcessSupervisor.stop(old.pid()); // so that the new process accepts
        assertAllClientsGoTo(remaining);
    }

    /** Starts a process that knows the backends s-1 and s-2 and asks this discovery. */
    private Relay startWithTwoBackends(String name, TestServer discovery, TestServer second)
            throws Exception {
        Files.writeString(
                config, environment.config(4096, discovery, twoBackends(1, "ready", second)));
        return startReady(name);
    }

    private String twoBackends(int revision, String stateOfFirst, TestServer second) {
        return RelayTestEnvironment.backendList(
                revision,
                true,
                RelayTestEnvironment.backendEntry("s-1", backend.endpoint(), stateOfFirst),
                RelayTestEnvironment.backendEntry("s-2", second.endpoint(), "ready"));
    }

    /**
     * Tells the process that s-1 drains; returns when that has become binding. The process may have
     * given up the calls that came first, so each call is answered until it has heard one.
     */
    private void tellDrain(Relay relay, TestServer second) throws Exception {
        String list = twoBackends(2, "draining", second);
        for (int calls = 0; calls < MAX_ANSWERED_CALLS && !isTold(relay); calls++) {
            environment.answerWatch(list);
            Thread.sleep(ANSWER_PAUSE_MS);
        }
        RelayTestEnvironment.await("the process is told", () -> isTold(relay));
        Thread.sleep(DRAIN_GRACE_MS);
    }

    private static boolean isTold(Relay relay) {
        return relay.hasLogged("discovery.list rev=2");
    }

    /** With this many keys, each of two backends in use would get at least one client. */
    private void assertAllClientsGoTo(TestServer expected) throws Exception {
        for (int i = 0; i < 8; i++) {
            environment.establish(
                    expected,
                    environment
                            .connectClient()
                            .sendLine("OPEN d" + i + " key" + i + " c=chat,t=acme,d=20000"));
        }
    }

    /** Sends a request until its answer is not that an earlier one with its id is still ending. */
    private String awaitAnswer(String id) throws Exception {
        String answer = environment.sendOpen(id, 2_000).readLine();
        while ("ERR id is in use".equals(answer)) {
            Thread.sleep(10);
            answer = environment.sendOpen(id, 2_000).readLine();
        }
        return answer;
    }

    private static void assertPong(TestConnection line) {
        try {
            assertEquals("PONG", line.sendLine("PING").readLine());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    public void lineThatIsHalfReadAtTheEndIsServedByTheOldProcess() throws Exception {
        Relay old = startReady("old");
        Relay next = startReady("next");
        // A client must send its first line within 2 s, but on a busy machine processes start and
        // handle signals later than that. The new process is stopped so that the old one accepts
        // the client, and the client begins its line only after the drain has started.
        ProcessSupervisor.stop(next.pid());
        TestConnection partial = environment.connectClient();
        assertPong(partial);
        ProcessSupervisor.signal(old.pid(), "TERM");
        RelayTestEnvironment.await(
                "the old process has stopped accepting",
                () -> {
                    assertPong(partial); // each PING restarts the limit of 2 s
                    return old.hasLogged("drain.start");
                });
        partial.sendRaw("OPEN u3 ");
        Thread.sleep(200); // four intervals at which the drain checks for remaining clients
        partial.sendLine("7f3a9c21e0b4d655 c=chat,t=acme,d=20000,g=5c0f6e1a");
        TestConnection backendSide = environment.establish(backend, partial);
        assertEquals("MOVE", partial.readLine());
        assertNull(partial.readLine());
        assertNull(backendSide.readLine());
        RelayTestEnvironment.await(
                "the old process ends", () -> platform.exitCodes.containsKey(old.pid()));
        assertEquals(0, (int) platform.exitCodes.get(old.pid()));
        ProcessSupervisor.signal(next.pid(), "CONT");
        environment.establish(backend, environment.sendOpen("u9", 20_000));
    }

    @Test
    public void newProcessThatDiesBeforeItIsReadyChangesNothingAndTwoUpgradesWorkInARow()
            throws Exception {
        Relay first = startReady("first");
        Relay dead = launch("dead");
        ProcessSupervisor.signal(dead.pid(), "KILL");
        RelayTestEnvironment.await(
                "the killed process has ended", () -> platform.exitCodes.containsKey(dead.pid()));
        environment.establish(backend, environment.sendOpen("d1", 20_000));
        Relay old = first;
        for (String name : List.of("second", "third")) {
            Relay next = startReady(name);
            ProcessSupervisor.signal(old.pid(), "TERM");
            long pid = old.pid();
            RelayTestEnvironment.await(
                    "the predecessor ends", () -> platform.exitCodes.containsKey(pid));
            assertEquals(0, (int) platform.exitCodes.get(pid));
            environment.establish(backend, environment.sendOpen("to-" + name, 20_000));
            old = next;
        }
    }

    @Test
    public void descriptorThatIsNoListeningSocketEndsTheStartWithOneLine() throws Exception {
        ProcessBuilder relay =
                RelayTestEnvironment.programBuilder(
                        List.of("serve", "--config", config.toString()));
        relay.environment().put("GW_LISTEN_FD", "0");
        relay.redirectErrorStream(true).redirectInput(new java.io.File("/dev/null"));
        Process process = relay.start();
        String output = new String(process.getInputStream().readAllBytes());
        assertEquals(1, process.waitFor());
        assertTrue(output, output.contains("saltstage: descriptor 0 is no listening socket"));
        relay.environment().put("GW_LISTEN_FD", "7");
        process = relay.start();
        assertEquals(
                "saltstage: GW_LISTEN_FD: only descriptor 0 can be taken over, not '7'\n",
                new String(process.getInputStream().readAllBytes()));
        assertEquals(1, process.waitFor());
    }
}
