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
import saltstage.process.World.Line;
import saltstage.process.World.Service;

/** The running program between clients and backends. */
public class ServeTest {
    private World world;
    private Service backend;

    @Before
    public void start() throws Exception {
        world = new World();
        backend = world.backend();
        world.start(World.list(1, true, World.target("s-1", backend.endpoint(), "ready")));
    }

    @After
    public void stop() throws Exception {
        world.close();
    }

    @Test
    public void upIsPassedOnThenLinesBothWaysAndByeEndsIt() throws Exception {
        Line client = world.open("a1", 20_000);
        Line side = backend.accept();
        String first = side.hear();
        assertTrue(
                first,
                first.matches("OPEN a1 7f3a9c21e0b4d655 c=chat,t=acme,d=[1-9]\\d{0,4},g=5c0f6e1a"));
        side.say("UP 77af");
        assertEquals("UP 77af", client.hear());
        client.say("M 1 hello").raw("M 2 in two");
        assertEquals("M 1 hello", side.hear());
        client.raw(" parts\r\n");
        assertEquals("M 2 in two parts", side.hear());
        side.say("LOAD 41000.5").say("M 1 hello").say("BYE").close();
        assertEquals("LOAD 41000.5", client.hear());
        assertEquals("M 1 hello", client.hear());
        assertEquals("BYE", client.hear());
        assertNull(client.hear());
    }

    @Test
    public void badFirstLinesGetOneErrorLineAndNeverReachABackend() throws Exception {
        String[] bad = {
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
        for (String line : bad) {
            Line client = world.client().raw(line);
            String answer = client.hear();
            assertTrue(line + " got " + answer, answer.startsWith("ERR "));
            assertNull(client.hear());
        }
        assertTrue(backend.nobodyComesFor(100));
        world.awaitLogged("client.malformed");
    }

    @Test
    public void slowFirstLineIsTimedOutThoughItsBytesTrickle() throws Exception {
        Line client = world.client();
        BlockingQueue<String> answer = World.aside(client::hear);
        String heard = null;
        for (int i = 0; heard == null && i < 100; i++) {
            client.raw("O");
            heard = answer.poll(300, TimeUnit.MILLISECONDS);
        }
        assertEquals("ERR first line too slow", heard);
    }

    @Test
    public void whoSaysNothingIsRefusedNotFailedAsItMayAskInThatMoment() throws Exception {
        Line client = world.client();
        assertEquals("BUSY", client.hear());
        client.say("OPEN p0 k c=chat,t=acme,d=2000");
        assertNull(client.hear());
        assertTrue(backend.nobodyComesFor(100));
    }

    @Test
    public void pingIsAnsweredAndMayGoBeforeARequest() throws Exception {
        Line client = world.client().say("PING");
        assertEquals("PONG", client.hear());
        client.say("OPEN p1 k c=chat,t=acme,d=2000");
        world.stand(backend, client);
    }

    @Test
    public void malformedAnswerIsAFailedTryAndTheLastFailureIsAnsweredAtOnce() throws Exception {
        Line client = world.open("a2", 20_000);
        Line side = backend.accept();
        side.hear();
        side.say("HELLO");
        assertTrue(client.hear().matches("BUSY 1500"));
        assertNull(client.hear());
        world.awaitLogged("try.malformed");
    }

    @Test
    public void answerThatNeverEndsIsAFailedTry() throws Exception {
        Line client = world.open("a6", 20_000);
        Line side = backend.accept();
        side.hear();
        side.raw("U".repeat(6_000));
        assertEquals("BUSY 1500", client.hear());
        assertNull(client.hear());
        assertThrows(
                "the backend is hung up on",
                IOException.class,
                () -> {
                    while (true) {
                        side.raw("P".repeat(6_000));
                    }
                });
    }

    @Test
    public void silentBackendIsGivenUpBeforeTheClientsDeadline() throws Exception {
        Line client = world.open("a3", 2_500);
        Line side = backend.accept();
        side.hear();
        assertNull("the try is closed", side.hear());
        assertTrue(client.hear().startsWith("BUSY"));
    }

    @Test
    public void clientThatLeavesTakesItsTryWithIt() throws Exception {
        Line client = world.open("a4", 20_000);
        Line side = backend.accept();
        side.hear();
        client.close();
        assertNull(side.hear());
    }

    @Test
    public void halfCloseAndResetPassToTheOtherSide() throws Exception {
        Line client = world.open("a5", 20_000);
        Line side = world.stand(backend, client);
        client.socket.shutdownOutput();
        assertNull(side.hear());
        side.say("BYE").close();
        assertEquals("BYE", client.hear());
        assertNull(client.hear());

        Line other = world.open("a6", 20_000);
        Line broken = world.stand(backend, other);
        broken.socket.setSoLinger(true, 0);
        broken.close();
        assertThrows(IOException.class, other::hear);
    }

    @Test
    public void slowReaderStallsNobodyElse() throws Exception {
        Line slow = world.open("a7", 20_000);
        Line flood = world.stand(backend, slow);
        Line other = world.open("a8", 20_000);
        Line side = world.stand(backend, other);
        String line = "M " + "y".repeat(4_000);
        BlockingQueue<Boolean> flooded =
                World.aside(
                        () -> {
                            for (int i = 0; i < 5_000; i++) {
                                flood.say(line);
                            }
                            return true;
                        });
        assertNull("the flood meets its reader's limit", flooded.poll(300, TimeUnit.MILLISECONDS));
        other.say("M 1 hello");
        assertEquals("M 1 hello", side.hear());
        side.say("M 1 hello");
        assertEquals("M 1 hello", other.hear());
        assertEquals(line, slow.hear());
    }

    @Test
    public void terminationMovesStandingClientsBetweenLinesAndTakesWhatStillComes()
            throws Exception {
        Line client = world.open("a9", 20_000);
        Line side = world.stand(backend, client);
        side.raw("M 1 half a");
        world.process().toHandle().destroy(); // Process.destroy would close the log too
        World.await("the drain begins", () -> world.logged("drain.start"));
        side.raw(" line\r\n");
        Line late = world.open("b1", 20_000);
        world.stand(backend, late);
        assertEquals("M 1 half a line", client.hear());
        assertEquals("MOVE", client.hear());
        assertNull(client.hear());
        assertEquals("MOVE", late.hear());
        client.close();
        late.close();
        assertTrue(world.waitForEnd());
        assertEquals(0, world.process().exitValue());
    }

    @Test
    public void lineThatNeverEndsDoesNotCostItsClientTheMove() throws Exception {
        Line client = world.open("a9", 20_000);
        Line side = world.stand(backend, client);
        side.raw("M 1 whole\r\nM 2 ha");
        assertEquals("M 1 whole", client.hear());
        world.process().toHandle().destroy();
        assertEquals("MOVE", client.hear());
        assertNull(client.hear());
        assertNull("the backend is let go", side.hear());
    }

    @Test
    public void whoAsksWhenTheLastHaveBeenRejectedIsAnsweredToo() throws Exception {
        Line waits = world.open("a9", 20_000);
        backend.accept().hear(); // and never answers
        world.process().toHandle().destroy();
        assertEquals("BUSY", waits.hear());
        for (int i = 0; i < 5; i++) {
            Line late = world.open("b" + i, 20_000);
            assertEquals("BUSY", late.hear());
            assertNull(late.hear());
        }
        assertTrue(world.waitForEnd());
    }

    @Test
    public void clientThatRestsAtTheEndIsToldSoAndHungUpOnWithoutAReset() throws Exception {
        Line rests = world.client();
        assertEquals("PONG", rests.say("PING").hear());
        world.process().toHandle().destroy();
        assertEquals("BUSY", rests.hear());
        rests.say("OPEN c9 k c=chat,t=acme,d=2000");
        assertNull(rests.hear());
        assertTrue(world.waitForEnd());
        assertTrue(backend.nobodyComesFor(100));
    }

    @Test
    public void clientsAreServedOnAfterTerminationBeforeTheyAreMoved() throws Exception {
        Line client = world.open("a9", 20_000);
        Line side = world.stand(backend, client);
        long before = System.nanoTime();
        world.process().toHandle().destroy();
        World.await("the drain begins", () -> world.logged("drain.start"));
        side.say("M 1 still served");
        assertEquals("M 1 still served", client.hear());
        assertEquals("MOVE", client.hear());
        long passed = (System.nanoTime() - before) / 1_000_000;
        String start =
                world.log.stream().filter(line -> line.contains("drain.start")).findFirst().get();
        long late = Long.parseLong(start.replaceAll(".*late_ms=(\\d+).*", "$1"));
        assertTrue("0.8 s at least, less " + late, passed + late >= 800);
    }

    @Test
    public void drainThatIsHeardLateCountsFromWhenItCame() throws Exception {
        Line client = world.open("a9", 20_000);
        world.stand(backend, client);
        String pid = Long.toString(world.process().pid());
        new ProcessBuilder("kill", "-STOP", pid).start().waitFor();
        world.process().toHandle().destroy();
        Thread.sleep(2_000);
        new ProcessBuilder("kill", "-CONT", pid).start().waitFor();
        World.await(
                "the drain counts what it was late",
                () ->
                        world.log.stream()
                                .anyMatch(
                                        line ->
                                                line.matches(
                                                        ".*drain.start late_ms=([2-9]\\d{2}|\\d{4})"
                                                                + " .*")));
        assertEquals("MOVE", client.hear());
    }

    @Test
    public void backendThatBringsNothingBackLosesItsClientToAMove() throws Exception {
        Line client = world.open("b2", 20_000);
        Line side = world.stand(backend, client);
        client.say("M 1 anybody");
        assertEquals("M 1 anybody", side.hear());
        assertEquals("MOVE", client.hear());
        assertNull(side.hear());
        assertFalse(world.logged("ERROR"));
    }

    @Test
    public void requestWhoseClientDoesNotWaitForItsAnswerIsFailed() throws Exception {
        Line client = world.open("e1", 20_000);
        Line side = backend.accept();
        side.hear();
        client.say("OPEN e2 k c=chat,t=acme,d=2000");
        assertEquals("ERR only one line before the answer", client.hear());
        assertNull("the try is given up", side.hear());
    }

    @Test
    public void idThatIsOpenIsNoSecondCopyAtABackend() throws Exception {
        Line first = world.open("f1", 20_000);
        Line side = world.stand(backend, first);
        assertEquals("ERR id is in use", world.open("f1", 20_000).hear());
        assertTrue(backend.nobodyComesFor(100));
        side.say("BYE").close();
        assertEquals("BYE", first.hear());
        assertNull(first.hear());
        first.close();
        World.await(
                "the id is free again",
                () -> {
                    try (Line again = world.open("f1", 20_000)) {
                        return backend.accept(100) != null;
                    } catch (IOException e) {
                        return false;
                    }
                });
    }

    @Test
    public void endlessSenderIsAnsweredAndCutOff() throws Exception {
        Line client = world.client();
        BlockingQueue<String> answer = World.aside(client::hear);
        byte[] some = "x".repeat(64 << 10).getBytes(java.nio.charset.StandardCharsets.US_ASCII);
        assertThrows(
                IOException.class,
                () -> {
                    for (int i = 0; i < 960; i++) { // 60 MB
                        client.socket.getOutputStream().write(some);
                    }
                });
        assertEquals("ERR line too long", answer.take());
    }

    @Test
    public void backendsAreProbedOnOneConnectionAndAFullOneIsPassedOver() throws Exception {
        world.close();
        world = new World();
        backend = world.backend();
        Service full = world.backend();
        String list =
                World.list(
                        1,
                        true,
                        World.target("s-1", backend.endpoint(), "ready"),
                        World.target("s-2", full.endpoint(), "ready"));
        world.startWith(
                world.config(256, list)
                        .replace("\"RetryAfter\":true", "\"RetryAfter\":true,\"Probes\":true")
                        .replace(
                                "\"Zone\":0",
                                "\"Zone\":0,\"Report\":{\"How\":\"pull\",\"Fields\":[\"x0\",\"queue\"]}"));
        BlockingQueue<Boolean> second = new LinkedBlockingQueue<>();
        String[] reports = {"x0=0.3,queue=0", "x0=1.4,queue=9"};
        for (int i = 0; i < 2; i++) {
            Line probes = (i == 0 ? backend : full).accept();
            String report = reports[i];
            World.aside(
                    () -> {
                        for (String line = probes.hear();
                                "STATS".equals(line);
                                line = probes.hear()) {
                            probes.say("PONG " + report);
                            second.add(true);
                        }
                        return false;
                    });
        }
        for (int i = 0; i < 4; i++) {
            assertTrue(second.take());
        }
        for (int i = 0; i < 12; i++) {
            String fields = " c=chat,t=acme,d=9000,g=" + i;
            world.stand(backend, world.client().say("OPEN h" + i + " k" + i + fields));
        }
        assertTrue(full.nobodyComesFor(100));
    }

    @Test
    public void silentCrowdTakesNoRoomFromClientsThatAsk() throws Exception {
        world.close();
        world = new World();
        backend = world.backend();
        String ready = World.target("s-1", backend.endpoint(), "ready");
        world.startWith(world.config(256, World.list(1, true, ready)));
        for (int i = 0; i < 300; i++) {
            world.client();
        }
        world.stand(backend, world.open("g1", 20_000));
        World.await("who came first has to go", () -> world.logged("doorway.full"));
        assertFalse(world.logged("admit.full"));
    }

    @Test
    public void clientsBeyondTheDescriptorsAreRejectedAndTheOthersStand() throws Exception {
        world.close();
        world = new World();
        backend = world.backend();
        String ready = World.target("s-1", backend.endpoint(), "ready");
        world.startWith(world.config(52, World.list(1, true, ready)));
        Line first = world.open("d1", 20_000);
        Line side = world.stand(backend, first);
        world.stand(backend, world.open("d2", 20_000));
        assertEquals("BUSY 1500", world.open("d3", 20_000).hear());
        world.awaitLogged("admit.full");
        side.say("M 1 still here");
        assertEquals("M 1 still here", first.hear());
    }

    @Test
    public void probesTakeTheirDescriptorsFromWhatRequestsMayHold() throws Exception {
        world.close();
        world = new World();
        backend = world.backend();
        String[] listed = new String[12];
        for (int i = 0; i < listed.length; i++) {
            listed[i] = World.target("s-" + i, backend.endpoint(), i == 0 ? "ready" : "draining");
        }
        world.startWith(
                world.config(64, World.list(1, true, listed))
                        .replace("\"RetryAfter\":true", "\"RetryAfter\":true,\"Probes\":true")
                        .replace(
                                "\"Zone\":0",
                                "\"Zone\":0,\"Report\":{\"How\":\"pull\",\"Fields\":[\"x0\",\"queue\"]}"));
        for (int i = 0; i < 2; i++) {
            world.open("d" + i, 20_000);
        }
        World.await(
                "two are taken",
                () -> {
                    try (Line third = world.open("d9", 20_000)) {
                        return "BUSY 1500".equals(third.hear());
                    } catch (IOException e) {
                        return false;
                    }
                });
        world.awaitLogged("admit.full");
    }

    @Test
    public void connectionsFromBeforeTheStartGoBackToTheirBackend() throws Exception {
        Line client = world.client().say("OPEN c1 k c=chat,t=acme,d=2000,at=s-1");
        Line refused = backend.accept();
        refused.close(); // it may fail at first
        Line side = world.stand(backend, client);
        side.say("M 1 here");
        assertEquals("M 1 here", client.hear());
    }
}
