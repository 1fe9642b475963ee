package saltstage.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import saltstage.process.RelayTestEnvironment.TestConnection;
import saltstage.process.RelayTestEnvironment.TestServer;

/**
 * The wall clock is stepped while a relay runs: its deadlines and its end are spans of real time.
 */
public class ClockStepTest {
    private static final int STEP_AFTER_MS = 1_500;
    private static final int DEADLINE_MS = 1_500;

    /** Up to half a second after its time a request earns nothing; later it is lost. */
    private static final int LOST_AFTER_MS = DEADLINE_MS + 500;

    /** The relay's own clock may run out this much sooner than the client's. */
    private static final int EARLY_TOLERANCE_MS = 200;

    private static final int END_WITHIN_MS = 3_700;

    @Test
    public void deadlinesAndDrainHoldWhenTheClockIsSteppedAnHourForward() throws Exception {
        runWithClockStep(3_600);
    }

    @Test
    public void deadlinesAndDrainHoldWhenTheClockIsSteppedAnHourBack() throws Exception {
        runWithClockStep(-3_600);
    }

    @Test
    public void deadlinesAndDrainHoldWhenTheClockIsSteppedSomeSecondsBack() throws Exception {
        runWithClockStep(-20);
    }

    private static void runWithClockStep(int seconds) throws Exception {
        try (RelayTestEnvironment world = new RelayTestEnvironment()) {
            TestServer backend = world.startBackend();
            world.platformLimits = new PlatformLimits().clockStep(seconds, STEP_AFTER_MS);
            String config =
                    world.config(
                            1_024,
                            RelayTestEnvironment.backendList(
                                    1,
                                    true,
                                    RelayTestEnvironment.backendEntry(
                                            "s-1", backend.endpoint(), "ready")));
            world.startWith(config);
            TestConnection standing = world.sendOpen("standing", 5_000);
            world.establish(backend, standing);
            Thread.sleep(2 * STEP_AFTER_MS);
            world.reload(config);
            RelayTestEnvironment.await(
                    "the new configuration is read", () -> world.hasLogged("reload.done"));
            Duration off = Duration.between(Instant.now(), timeOf(world, "reload.done"));
            assertEquals("the step was seen", seconds, off.toSeconds(), 10);

            long asked = System.nanoTime();
            TestConnection waiting = world.sendOpen("waiting", DEADLINE_MS);
            assertTrue(
                    backend.accept()
                            .readLine()
                            .startsWith("OPEN waiting")); // and hears nothing back
            waiting.socket.setSoTimeout(LOST_AFTER_MS);
            assertTrue(waiting.readLine().startsWith("BUSY"));
            long answeredMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - asked);
            assertTrue(
                    "answered after " + answeredMs, answeredMs >= DEADLINE_MS - EARLY_TOLERANCE_MS);

            ProcessSupervisor.signal(world.process().pid(), "TERM");
            assertEquals("MOVE", standing.readLine());
            assertTrue(
                    "it ends before SIGKILL would come",
                    world.process().waitFor(END_WITHIN_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, world.process().exitValue());
        }
    }

    private static Instant timeOf(RelayTestEnvironment world, String event) {
        String line =
                world.logLines.stream().filter(l -> l.contains(event)).findFirst().orElseThrow();
        return Instant.parse(line.substring(0, line.indexOf(' ')));
    }
}
