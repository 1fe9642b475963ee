package saltstage.lab.amqp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Floods the relay, under the memory that it has in service, and checks that a well-behaved client
 * is served meanwhile. Guards against clients that exhaust the memory or take all of the loop's
 * time. A longer run: {@code -Damqp.flood.seconds=120 -Damqp.flood.seed=7}.
 */
@Timeout(600)
class AmqpFloodTest {
    private static final Duration FLOOD_TIME =
            Duration.ofSeconds(Integer.getInteger("amqp.flood.seconds", 5));
    private static final long SEED = Long.getLong("amqp.flood.seed", 1);

    /** The time after which a client of the class status-report gives up. */
    private static final Duration ANSWER_TIME = Duration.ofSeconds(2);

    /** The load balancer rejects clients of a relay that has established few so far. */
    private static final int WARM_UP_DELIVERIES = 20;

    /** The platform's limit on the memory of a relay. */
    private static final int MAX_RESIDENT_MB = 192;

    @ParameterizedTest
    @EnumSource(
            value = AmqpFlood.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = "ATTACHES_WITH_NEW_SYMBOLS")
    void otherClientsAreServedAndMemoryStaysBounded(AmqpFlood flood) throws Exception {
        floodAndCheck(flood);
    }

    /** A test of its own, as it is a known failure: see KNOWN-RED.txt. */
    @Test
    void otherClientsAreServedBesideAttachesWithNewSymbols() throws Exception {
        floodAndCheck(AmqpFlood.ATTACHES_WITH_NEW_SYMBOLS);
    }

    private static void floodAndCheck(AmqpFlood flood) throws Exception {
        try (AmqpTestEnvironment env = AmqpTestEnvironment.withServiceMemory(2, "")) {
            AnswerTimeProbe probe;
            int connects;
            try (AnswerTimeProbe running = new AnswerTimeProbe(env.amqpAddress(), ANSWER_TIME)) {
                probe = running;
                env.await("the relay is warm", () -> running.served() >= WARM_UP_DELIVERIES);
                try (AmqpFlood.Flooder flooder =
                        new AmqpFlood.Flooder(flood, env.amqpAddress(), SEED)) {
                    Thread.sleep(FLOOD_TIME.toMillis());
                    connects = flooder.connectCount();
                }
            }
            int residentMb = residentMb(env.relay().pid());
            System.out.println(
                    flood
                            + ", seed "
                            + SEED
                            + ": served "
                            + probe.served()
                            + ", refused "
                            + probe.refused()
                            + ", unanswered "
                            + probe.unanswered().size()
                            + ", slowest "
                            + probe.slowest().toMillis()
                            + " ms, resident "
                            + residentMb
                            + " MB, flood's connections "
                            + connects);
            String log = env.readLog();
            assertTrue(!log.contains("OutOfMemoryError"), log);
            assertEquals(List.of(), probe.unanswered());
            assertTrue(probe.served() > probe.refused(), "refused " + probe.refusals());
            assertTrue(residentMb < MAX_RESIDENT_MB, "resident " + residentMb + " MB");
        }
    }

    private static int residentMb(long pid) throws Exception {
        return Files.readAllLines(Path.of("/proc", Long.toString(pid), "status")).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .mapToInt(line -> Integer.parseInt(line.replaceAll("\\D", "")) >> 10)
                .findFirst()
                .orElseThrow();
    }
}
