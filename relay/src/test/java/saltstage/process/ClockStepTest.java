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
 * Guards against deadlines and drain times that follow the wall clock: the clock is stepped while a
 * relay runs, and both must still be spans of real time.
 */
public class ClockStepTest {
    private static final int STEP_AFTER_MS = 1_500;
    private static final int DEADLINE_MS = 1_500;

    /**
     * A request answered up to half a second after its deadline earns nothing; later it counts as
     * lost.
     */
    private static final int LOST_AFTER_MS = DEADLINE_MS + 500;

    /** The relay's own timer may expire this much before the client's deadline. */
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
        try (RelayTestEnvironment environment = new RelayTestEnvironment()) {
            TestServer backend = environment.startBackend();
            environment.platformLimits = new PlatformLimits().clockStep(seconds, STEP_AFTER_MS);
            String config =
                    environment.config(
                            1_024,
                            RelayTestEnvironment.backendList(
                                    1,
                                    true,
                                    RelayTestEnvironment.backendEntry(
                                            "s-1", backend.endpoint(), "ready")));
            environment.startWith(config);
            TestConnection established = environment.sendOpen("standing", 5_000);
            environment.establish(backend, established);
            Thread.sleep(2 * STEP_AFTER_MS);
            environment.reload(config);
            RelayTestEnvironment.await(
                    "the new configuration is read", () -> environment.hasLogged("reload.done"));
            Duration offset = Duration.between(Instant.now(), timeOf(environment, "reload.done"));
            assertEquals("the relay observes the clock step", seconds, offset.toSeconds(), 10);

            long sentAt = System.nanoTime();
            TestConnection waiting = environment.sendOpen("waiting", DEADLINE_MS);
            // The backend accepts the connection and never answers.
            assertTrue(backend.accept().readLine().startsWith("OPEN waiting"));
            waiting.socket.setSoTimeout(LOST_AFTER_MS);
            assertTrue(waiting.readLine().startsWith("BUSY"));
            long answeredMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
            assertTrue(
                    "answered after " + answeredMs, answeredMs >= DEADLINE_MS - EARLY_TOLERANCE_MS);

            ProcessSupervisor.signal(environment.process().pid(), "TERM");
            assertEquals("MOVE", established.readLine());
            assertTrue(
                    "the relay ends before SIGKILL would come",
                    environment.process().waitFor(END_WITHIN_MS, TimeUnit.MILLISECONDS));
            assertEquals(0, environment.process().exitValue());
        }
    }

    private static Instant timeOf(RelayTestEnvironment environment, String event) {
        String line =
                environment.logLines.stream()
                        .filter(logLine -> logLine.contains(event))
                        .findFirst()
                        .orElseThrow();
        return Instant.parse(line.substring(0, line.indexOf(' ')));
    }
}
