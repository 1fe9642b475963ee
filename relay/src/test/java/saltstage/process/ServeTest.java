package saltstage.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;
import saltstage.process.RelayTestEnvironment.TestConnection;
import saltstage.process.RelayTestEnvironment.TestServer;

/**
 * Tests the running program between clients and backends: how requests are answered, forwarded,
 * rejected, moved and restored.
 */
public class ServeTest {
    private RelayTestEnvironment environment;
    private TestServer backend;

    @Before
    public void start() throws Exception {
        environment = new RelayTestEnvironment();
        backend = environment.startBackend();
        environment.start(
                RelayTestEnvironment.backendList(
                        1,
                        true,
                        RelayTestEnvironment.backendEntry("s-1", backend.endpoint(), "ready")));
    }

    @After
    public void stop() throws Exception {
        environment.close();
    }

    @Test
    public void upIsForwardedThenLinesBothWaysUntilBye() throws Exception {
        TestConnection client = environment.sendOpen("a1", 20_000);
        TestConnection backendSide = backend.accept();
        String first = backendSide.readLine();
        assertTrue(
                first,
                first.matches("OPEN a1 7f3a9c21e0b4d655 c=chat,t=acme,d=[1-9]\\d{0,4},g=5c0f6e1a"));
        backendSide.sendLine("UP 77af");
        assertEquals("UP 77af", client.readLine());
        client.sendLine("M 1 hello").sendRaw("M 2 in two");
        assertEquals("M 1 hello", backendSide.readLine());
        client.sendRaw(" parts\r\n");
        assertEquals("M 2 in two parts", backendSide.readLine());
        backendSide.sendLine("LOAD 41000.5").sendLine("M 1 hello").sendLine("BYE").close();
        assertEquals("LOAD 41000.5", client.readLine());
        assertEquals("M 1 hello", client.readLine());
        assertEquals("BYE", client.readLine());
        assertNull(client.readLine());
    }

    @Test
    public void malformedFirstLinesGetOneErrorLineAndNeverReachABackend() throws Exception {
        String[] malformedLines = {
            "GET / HTTP/1.1\r\n",
            "OPEN x\r\n",
            "OPEN a b c=none,t=acme,d=9\r\n",
            "OPEN a b c=chat,t=acme,d=9\n",
            "x".repeat(9_000),
            "OPEN a b c=chat,t=acme,d=\u0007\r\n",
            "OPEN a b c=chat,t=acme,d=NaN\r\n",
            "OPEN a b c=chat,t=acme\r\n",
            "OPEN  b c=chat,t=acme,d=9\r\n",
            "OPEN a b c=chat,t=acme,d=9\r\n".repeat(300),
            "PING\r\n".repeat(300)
        };
        for (String line : malformedLines) {
            TestConnection client = environment.connectClient().sendRaw(line);
            String answer = client.readLine();
            assertTrue(line + " got " + answer, answer.startsWith("ERR "));
            assertNull(client.readLine());
        }
        assertTrue(backend.hasNoConnectionWithin(100));
        environment.awaitLogged("client.malformed");
    }

    @Test
    public void slowFirstLineTimesOutEvenIfBytesKeepArriving() throws Exception {
        TestConnection client = environment.connectClient();
        BlockingQueue<String> answer = RelayTestEnvironment.runInBackground(client::readLine);
        String received = null;
        for (int i = 0; received == null && i < 100; i++) {
            client.sendRaw("O");
            received = answer.poll(300, TimeUnit.MILLISECONDS);
        }
        assertEquals("ERR first line too slow", received);
    }

    @Test
    public void silentClientIsRejectedNotFailed() throws Exception {
        TestConnection client = environment.connectClient();
        assertEquals("BUSY", client.readLine());
        client.sendLine("OPEN p0 k c=chat,t=acme,d=2000");
        assertNull(client.readLine());
        assertTrue(backend.hasNoConnectionWithin(100));
    }

    @Test
    public void pingIsAnsweredAndMayPrecedeARequest() throws Exception {
        TestConnection client = environment.connectClient().sendLine("PING");
        assertEquals("PONG", client.readLine());
        client.sendLine("OPEN p1 k c=chat,t=acme,d=2000");
        environment.establish(backend, client);
    }

    @Test
    public void malformedAnswerFailsTheAttemptAndTheLastFailureIsAnsweredAtOnce() throws Exception {
        TestConnection client = environment.sendOpen("a2", 20_000);
        TestConnection backendSide = backend.accept();
        backendSide.readLine();
        backendSide.sendLine("HELLO");
        assertTrue(client.readLine().matches("BUSY 1500"));
        assertNull(client.readLine());
        environment.awaitLogged("try.malformed");
    }

    @Test
    public void endlessAnswerFailsTheAttempt() throws Exception {
        TestConnection client = environment.sendOpen("a6", 20_000);
        TestConnection backendSide = backend.accept();
        backendSide.readLine();
        backendSide.sendRaw("U".repeat(6_000));
        assertEquals("BUSY 1500", client.readLine());
        assertNull(client.readLine());
        assertThrows(
                "the connection to the backend is closed",
                IOException.class,
                () -> {
                    while (true) {
                        backendSide.sendRaw("P".repeat(6_000));
                    }
                });
    }

    @Test
    public void attemptAtASilentBackendIsCancelledBeforeTheClientDeadline() throws Exception {
        TestConnection client = environment.sendOpen("a3", 2_500);
        TestConnection backendSide = backend.accept();
        backendSide.readLine();
        assertNull("the attempt is closed", backendSide.readLine());
        assertTrue(client.readLine().startsWith("BUSY"));
    }

    @Test
    public void clientDisconnectCancelsItsAttempt() throws Exception {
        TestConnection client = environment.sendOpen("a4", 20_000);
        TestConnection backendSide = backend.accept();
        backendSide.readLine();
        client.close();
        assertNull(backendSide.readLine());
    }

    @Test
    public void halfCloseAndResetArePropagated() throws Exception {
        TestConnection client = environment.sendOpen("a5", 20_000);
        TestConnection backendSide = environment.establish(backend, client);
        client.socket.shutdownOutput();
        assertNull(backendSide.readLine());
        backendSide.sendLine("BYE").close();
        assertEquals("BYE", client.readLine());
        assertNull(client.readLine());

        TestConnection other = environment.sendOpen("a6", 20_000);
        TestConnection resettingBackend = environment.establish(backend, other);
        resettingBackend.socket.setSoLinger(true, 0);
        resettingBackend.close();
        assertThrows(IOException.class, other::readLine);
    }

    @Test
    public void slowReaderDoesNotBlockOthers() throws Exception {
        TestConnection slow = environment.sendOpen("a7", 20_000);
        TestConnection floodingBackend = environment.establish(backend, slow);
        TestConnection other = environment.sendOpen("a8", 20_000);
        TestConnection backendSide = environment.establish(backend, other);
        String line = "M " + "y".repeat(4_000);
        BlockingQueue<Boolean> floodDone =
                RelayTestEnvironment.runInBackground(
                        () -> {
                            for (int i = 0; i < 5_000; i++) {
                                floodingBackend.sendLine(line);
                            }
                            return true;
                        });
        assertNull("the slow reader blocks the flood", floodDone.poll(300, TimeUnit.MILLISECONDS));
        other.sendLine("M 1 hello");
        assertEquals("M 1 hello", backendSide.readLine());
        backendSide.sendLine("M 1 hello");
        assertEquals("M 1 hello", other.readLine());
        assertEquals(line, slow.readLine());
    }

    @Test
    public void terminationMovesEstablishedClientsBetweenLinesAndAcceptsLateRequests()
            throws Exception {
        TestConnection client = environment.sendOpen("a9", 20_000);
        TestConnection backendSide = environment.establish(backend, client);
        backendSide.sendRaw("M 1 half a");
        environment.process().toHandle().destroy(); // Process.destroy would also close the log
        RelayTestEnvironment.await("the drain begins", () -> environment.hasLogged("drain.start"));
        backendSide.sendRaw(" line\r\n");
        TestConnection late = environment.sendOpen("b1", 20_000);
        environment.establish(backend, late);
        assertEquals("M 1 half a line", client.readLine());
        assertEquals("MOVE", client.readLine());
        assertNull(client.readLine());
        assertEquals("MOVE", late.readLine());
        client.close();
        late.close();
        assertTrue(environment.waitForExit());
        assertEquals(0, environment.process().exitValue());
    }

    @Test
    public void endlessLineDoesNotPreventTheMove() throws Exception {
        TestConnection client = environment.sendOpen("a9", 20_000);
        TestConnection backendSide = environment.establish(backend, client);
        backendSide.sendRaw("M 1 whole\r\nM 2 ha");
        assertEquals("M 1 whole", client.readLine());
        environment.process().toHandle().destroy();
        assertEquals("MOVE", client.readLine());
        assertNull(client.readLine());
        assertNull("the connection to the backend is closed", backendSide.readLine());
    }

    @Test
    public void requestsAfterTheFinalRejectionAreAnsweredToo() throws Exception {
        TestConnection waiting = environment.sendOpen("a9", 20_000);
        backend.accept().readLine(); // the backend never answers
        environment.process().toHandle().destroy();
        assertEquals("BUSY", waiting.readLine());
        for (int i = 0; i < 5; i++) {
            TestConnection late = environment.sendOpen("b" + i, 20_000);
            assertEquals("BUSY", late.readLine());
            assertNull(late.readLine());
        }
        assertTrue(environment.waitForExit());
    }

    @Test
    public void idleClientIsRejectedAtShutdownWithoutAReset() throws Exception {
        TestConnection idle = environment.connectClient();
        assertEquals("PONG", idle.sendLine("PING").readLine());
        environment.process().toHandle().destroy();
        assertEquals("BUSY", idle.readLine());
        idle.sendLine("OPEN c9 k c=chat,t=acme,d=2000");
        assertNull(idle.readLine());
        assertTrue(environment.waitForExit());
        assertTrue(backend.hasNoConnectionWithin(100));
    }

    @Test
    public void clientsAreStillServedBetweenTerminationAndMove() throws Exception {
        TestConnection client = environment.sendOpen("a9", 20_000);
        TestConnection backendSide = environment.establish(backend, client);
        long before = System.nanoTime();
        environment.process().toHandle().destroy();
        RelayTestEnvironment.await("the drain begins", () -> environment.hasLogged("drain.start"));
        backendSide.sendLine("M 1 still served");
        assertEquals("M 1 still served", client.readLine());
        assertEquals("MOVE", client.readLine());
        long passed = (System.nanoTime() - before) / 1_000_000;
        String start =
                environment.logLines.stream()
                        .filter(line -> line.contains("drain.start"))
                        .findFirst()
                        .get();
        long late = Long.parseLong(start.replaceAll(".*late_ms=(\\d+).*", "$1"));
        assertTrue(
                "the move comes at least 0.8 s after the signal, less the lateness of " + late,
                passed + late >= 800);
    }

    @Test
    public void drainHandledLateCountsFromTheSignal() throws Exception {
        TestConnection client = environment.sendOpen("a9", 20_000);
        environment.establish(backend, client);
        String pid = Long.toString(environment.process().pid());
        new ProcessBuilder("kill", "-STOP", pid).start().waitFor();
        environment.process().toHandle().destroy();
        Thread.sleep(2_000);
        new ProcessBuilder("kill", "-CONT", pid).start().waitFor();
        RelayTestEnvironment.await(
                "the drain logs how late it starts",
                () ->
                        environment.logLines.stream()
                                .anyMatch(
                                        line ->
                                                line.matches(
                                                        ".*drain.start late_ms=([2-9]\\d{2}|\\d{4})"
                                                                + " .*")));
        assertEquals("MOVE", client.readLine());
    }

    @Test
    public void clientOfAnUnresponsiveBackendIsMoved() throws Exception {
        TestConnection client = environment.sendOpen("b2", 20_000);
        TestConnection backendSide = environment.establish(backend, client);
        client.sendLine("M 1 anybody");
        assertEquals("M 1 anybody", backendSide.readLine());
        assertEquals("MOVE", client.readLine());
        assertNull(backendSide.readLine());
        assertFalse(environment.hasLogged("ERROR"));
    }

    @Test
    public void requestFailsIfItsClientSendsBeforeTheAnswer() throws Exception {
        TestConnection client = environment.sendOpen("e1", 20_000);
        TestConnection backendSide = backend.accept();
        backendSide.readLine();
        client.sendLine("OPEN e2 k c=chat,t=acme,d=2000");
        assertEquals("ERR only one line before the answer", client.readLine());
        assertNull("the attempt is cancelled", backendSide.readLine());
    }

    @Test
    public void duplicateOpenIdIsNotSentToABackend() throws Exception {
        TestConnection first = environment.sendOpen("f1", 20_000);
        TestConnection backendSide = environment.establish(backend, first);
        assertEquals("ERR id is in use", environment.sendOpen("f1", 20_000).readLine());
        assertTrue(backend.hasNoConnectionWithin(100));
        backendSide.sendLine("BYE").close();
        assertEquals("BYE", first.readLine());
        assertNull(first.readLine());
        first.close();
        RelayTestEnvironment.await(
                "the id is free again",
                () -> {
                    try (TestConnection again = environment.sendOpen("f1", 20_000)) {
                        return backend.accept(100) != null;
                    } catch (IOException e) {
                        return false;
                    }
                });
    }

    @Test
    public void endlessSenderIsAnsweredAndCutOff() throws Exception {
        TestConnection client = environment.connectClient();
        BlockingQueue<String> answer = RelayTestEnvironment.runInBackground(client::readLine);
        byte[] block = "x".repeat(64 << 10).getBytes(java.nio.charset.StandardCharsets.US_ASCII);
        assertThrows(
                IOException.class,
                () -> {
                    for (int i = 0; i < 960; i++) { // 60 MB
                        client.socket.getOutputStream().write(block);
                    }
                });
        assertEquals("ERR line too long", answer.take());
    }

    @Test
    public void backendsAreProbedOnOneConnectionAndAnOverloadedOneIsSkipped() throws Exception {
        environment.close();
        environment = new RelayTestEnvironment();
        backend = environment.startBackend();
        TestServer overloaded = environment.startBackend();
        String list =
                RelayTestEnvironment.backendList(
                        1,
                        true,
                        RelayTestEnvironment.backendEntry("s-1", backend.endpoint(), "ready"),
                        RelayTestEnvironment.backendEntry("s-2", overloaded.endpoint(), "ready"));
        environment.startWith(
                environment
                        .config(256, list)
                        .replace("\"RetryAfter\":true", "\"RetryAfter\":true,\"Probes\":true")
                        .replace(
                                "\"Zone\":0",
                                "\"Zone\":0,\"Report\":{\"How\":\"pull\",\"Fields\":[\"x0\",\"queue\"]}"));
        BlockingQueue<Boolean> answeredProbes = new LinkedBlockingQueue<>();
        String[] reports = {"x0=0.3,queue=0", "x0=1.4,queue=9"};
        for (int i = 0; i < 2; i++) {
            TestConnection probes = (i == 0 ? backend : overloaded).accept();
            String report = reports[i];
            RelayTestEnvironment.runInBackground(
                    () -> {
                        for (String line = probes.readLine();
                                "STATS".equals(line);
                                line = probes.readLine()) {
                            probes.sendLine("PONG " + report);
                            answeredProbes.add(true);
                        }
                        return false;
                    });
        }
        for (int i = 0; i < 4; i++) {
            assertTrue(answeredProbes.take());
        }
        for (int i = 0; i < 12; i++) {
            String fields = " c=chat,t=acme,d=9000,g=" + i;
            environment.establish(
                    backend,
                    environment.connectClient().sendLine("OPEN h" + i + " k" + i + fields));
        }
        assertTrue(overloaded.hasNoConnectionWithin(100));
    }

    @Test
    public void idleConnectionsTakeNoCapacityFromRequests() throws Exception {
        environment.close();
        environment = new RelayTestEnvironment();
        backend = environment.startBackend();
        String ready = RelayTestEnvironment.backendEntry("s-1", backend.endpoint(), "ready");
        environment.startWith(
                environment.config(256, RelayTestEnvironment.backendList(1, true, ready)));
        for (int i = 0; i < 300; i++) {
            environment.connectClient();
        }
        environment.establish(backend, environment.sendOpen("g1", 20_000));
        RelayTestEnvironment.await(
                "the oldest pending client is evicted",
                () -> environment.hasLogged("doorway.full"));
        assertFalse(environment.hasLogged("admit.full"));
    }

    @Test
    public void requestsBeyondTheDescriptorLimitAreRejectedAndTheOthersStayEstablished()
            throws Exception {
        environment.close();
        environment = new RelayTestEnvironment();
        backend = environment.startBackend();
        String ready = RelayTestEnvironment.backendEntry("s-1", backend.endpoint(), "ready");
        environment.startWith(
                environment.config(52, RelayTestEnvironment.backendList(1, true, ready)));
        TestConnection first = environment.sendOpen("d1", 20_000);
        TestConnection backendSide = environment.establish(backend, first);
        environment.establish(backend, environment.sendOpen("d2", 20_000));
        assertEquals("BUSY 1500", environment.sendOpen("d3", 20_000).readLine());
        environment.awaitLogged("admit.full");
        backendSide.sendLine("M 1 still here");
        assertEquals("M 1 still here", first.readLine());
    }

    @Test
    public void probeConnectionsReduceTheRequestLimit() throws Exception {
        environment.close();
        environment = new RelayTestEnvironment();
        backend = environment.startBackend();
        String[] listed = new String[12];
        for (int i = 0; i < listed.length; i++) {
            listed[i] =
                    RelayTestEnvironment.backendEntry(
                            "s-" + i, backend.endpoint(), i == 0 ? "ready" : "draining");
        }
        environment.startWith(
                environment
                        .config(64, RelayTestEnvironment.backendList(1, true, listed))
                        .replace("\"RetryAfter\":true", "\"RetryAfter\":true,\"Probes\":true")
                        .replace(
                                "\"Zone\":0",
                                "\"Zone\":0,\"Report\":{\"How\":\"pull\",\"Fields\":[\"x0\",\"queue\"]}"));
        for (int i = 0; i < 2; i++) {
            environment.sendOpen("d" + i, 20_000);
        }
        RelayTestEnvironment.await(
                "two requests are accepted",
                () -> {
                    try (TestConnection third = environment.sendOpen("d9", 20_000)) {
                        return "BUSY 1500".equals(third.readLine());
                    } catch (IOException e) {
                        return false;
                    }
                });
        environment.awaitLogged("admit.full");
    }

    @Test
    public void connectionsOpenBeforeTheStartAreRestoredToTheirBackend() throws Exception {
        TestConnection client =
                environment.connectClient().sendLine("OPEN c1 k c=chat,t=acme,d=2000,at=s-1");
        TestConnection failedAttempt = backend.accept();
        failedAttempt.close(); // the first attempt may fail
        TestConnection backendSide = environment.establish(backend, client);
        backendSide.sendLine("M 1 here");
        assertEquals("M 1 here", client.readLine());
    }
}
