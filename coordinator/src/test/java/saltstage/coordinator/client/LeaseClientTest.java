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
import saltstage.coordinator.client.ScriptedReplica.Answer;

/** What may happen to the thread that renews leases. */
@Timeout(30)
class LeaseClientTest {
    private static final Duration TTL = Duration.ofMillis(800);
    private static final Duration WAIT = Duration.ofSeconds(5);

    /** Three spans: what is not renewed is lost by then. */
    private static final long WATCHED_MS = 2_400;

    private final AtomicInteger renewals = new AtomicInteger();

    /** Grants and renews all; what a renewal is answered instead, by what it asks for, or null. */
    private ScriptedReplica replica(Function<JsonNode, Answer> instead) throws Exception {
        return new ScriptedReplica(
                asked -> {
                    JsonNode command = asked.path("command");
                    if (command.path("op").asText().equals("renew")) {
                        renewals.incrementAndGet();
                        Answer answer = instead.apply(command);
                        return answer != null ? answer : renewed(command, List.of());
                    }
                    return command.path("op").asText().equals("acquire")
                            ? new Answer(
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
                            : new Answer(200, Map.of("result", "done", "what", "released"));
                });
    }

    private static Answer renewed(JsonNode command, List<String> lost) {
        Map<String, Long> ttls = new HashMap<>();
        command.path("fences")
                .fieldNames()
                .forEachRemaining(name -> ttls.put(name, TTL.toMillis()));
        ttls.keySet().removeAll(lost);
        return new Answer(
                200, Map.of("result", "renewed", "ttlMs", ttls, "lost", new ArrayList<>(lost)));
    }

    private static LeaseClient client(ScriptedReplica replica) {
        return new LeaseClient(
                new GroupClient(List.of(replica.place()), Ticker.SYSTEM),
                new GroupClient(List.of(replica.place()), Ticker.SYSTEM),
                Ticker.SYSTEM,
                "test");
    }

    @Test
    void renewalThatIsAnsweredAsABadRequestIsFollowedByOthers() throws Exception {
        Answer bad = new Answer(400, Map.of("error", "scripted"));
        try (ScriptedReplica replica = replica(command -> renewals.get() == 1 ? bad : null);
                LeaseClient client = client(replica)) {
            LeaseClient.Lease lease = client.acquire("a", TTL, WAIT, 0, () -> {});
            Thread.sleep(WATCHED_MS);
            assertTrue(
                    !lease.remaining().isZero(),
                    "the lease is renewed after " + renewals + " renewals");
        }
    }

    @Test
    void lossWhoseListenerThrowsLeavesOtherLeasesRenewed() throws Exception {
        try (ScriptedReplica replica =
                        replica(
                                command ->
                                        command.path("fences").size() == 2
                                                ? renewed(command, List.of("a"))
                                                : null);
                LeaseClient client = client(replica)) {
            LeaseClient.Lease lost =
                    client.acquire(
                            "a",
                            TTL,
                            WAIT,
                            0,
                            () -> {
                                throw new IllegalStateException("scripted");
                            });
            LeaseClient.Lease kept = client.acquire("b", TTL, WAIT, 0, () -> {});
            Thread.sleep(WATCHED_MS);
            assertTrue(lost.remaining().isZero(), "it was lost");
            assertTrue(
                    !kept.remaining().isZero(),
                    "the other is renewed after " + renewals + " renewals");
        }
    }
}
