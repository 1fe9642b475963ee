package saltstage.coordinator.client;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltstage.coordinator.client.ScriptedReplica.ScriptedResponse;

/**
 * Checks that an error response and a loss listener that throws do not end the thread that renews
 * leases.
 */
@Timeout(30)
class LeaseClientTest {
    private static final Duration TTL = Duration.ofMillis(800);
    private static final Duration ACQUIRE_TIMEOUT = Duration.ofSeconds(5);

    /** Three times the TTL: a lease that is not renewed is lost by then. */
    private static final long OBSERVATION_MS = 2_400;

    private final AtomicInteger renewalCount = new AtomicInteger();

    /**
     * Starts a replica that grants and renews every lease; the function may replace the response to
     * a renewal command, or return null to renew.
     */
    private ScriptedReplica startReplica(Function<JsonNode, ScriptedResponse> replacement)
            throws Exception {
        return new ScriptedReplica(
                body -> {
                    JsonNode command = body.path("command");
                    if (command.path("op").asText().equals("renew")) {
                        renewalCount.incrementAndGet();
                        ScriptedResponse response = replacement.apply(command);
                        return response != null ? response : renewedResponse(command, List.of());
                    }
                    return command.path("op").asText().equals("acquire")
                            ? new ScriptedResponse(
                                    200,
                                    Map.of(
                                            "result",
                                            "granted",
                                            "name",
                                            command.path("name").asText(),
                                            "fence",
                                            7,
                                            "ttlMs",
                                            TTL.toMillis()))
                            : new ScriptedResponse(
                                    200, Map.of("result", "done", "what", "released"));
                });
    }

    private static ScriptedResponse renewedResponse(JsonNode command, List<String> lost) {
        Map<String, Long> ttls = new HashMap<>();
        command.path("fences")
                .fieldNames()
                .forEachRemaining(name -> ttls.put(name, TTL.toMillis()));
        ttls.keySet().removeAll(lost);
        return new ScriptedResponse(
                200, Map.of("result", "renewed", "ttlMs", ttls, "lost", new ArrayList<>(lost)));
    }

    private static LeaseClient createClient(ScriptedReplica replica) {
        return new LeaseClient(
                new GroupClient(List.of(replica.address()), Ticker.SYSTEM),
                new GroupClient(List.of(replica.address()), Ticker.SYSTEM),
                Ticker.SYSTEM,
                "test");
    }

    @Test
    void renewalContinuesAfterABadRequestResponse() throws Exception {
        ScriptedResponse bad = new ScriptedResponse(400, Map.of("error", "scripted"));
        try (ScriptedReplica replica =
                        startReplica(command -> renewalCount.get() == 1 ? bad : null);
                LeaseClient client = createClient(replica)) {
            LeaseClient.Lease lease = client.acquire("a", TTL, ACQUIRE_TIMEOUT, 0, () -> {});
            Thread.sleep(OBSERVATION_MS);
            assertTrue(
                    !lease.remaining().isZero(),
                    "the lease is renewed after " + renewalCount + " renewals");
        }
    }

    @Test
    void throwingLossListenerDoesNotStopRenewalOfOtherLeases() throws Exception {
        try (ScriptedReplica replica =
                        startReplica(
                                command ->
                                        command.path("fences").size() == 2
                                                ? renewedResponse(command, List.of("a"))
                                                : null);
                LeaseClient client = createClient(replica)) {
            LeaseClient.Lease lost =
                    client.acquire(
                            "a",
                            TTL,
                            ACQUIRE_TIMEOUT,
                            0,
                            () -> {
                                throw new IllegalStateException("scripted");
                            });
            LeaseClient.Lease kept = client.acquire("b", TTL, ACQUIRE_TIMEOUT, 0, () -> {});
            Thread.sleep(OBSERVATION_MS);
            assertTrue(lost.remaining().isZero(), "the first lease is lost");
            assertTrue(
                    !kept.remaining().isZero(),
                    "the other lease is renewed after " + renewalCount + " renewals");
        }
    }
}
