package saltstage.coordinator.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltstage.coordinator.client.ScriptedReplica.ScriptedResponse;

/**
 * Checks which replica a client calls next: an address that used to be the leader's may belong to
 * another service later, and the client must go back to the replicas it was given.
 */
@Timeout(30)
class GroupClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    @Test
    void addressThatIsNoLongerAReplicaIsNotCalledAgain() throws Exception {
        AtomicBoolean replaced = new AtomicBoolean();
        ScriptedResponse notHere = new ScriptedResponse(404, Map.of("error", "not here"));
        ScriptedResponse byLeader = new ScriptedResponse(200, Map.of("by", "leader"));
        ScriptedResponse byNamed = new ScriptedResponse(200, Map.of("by", "named"));
        try (ScriptedReplica leader =
                        new ScriptedReplica(body -> replaced.get() ? notHere : byLeader);
                ScriptedReplica named =
                        new ScriptedReplica(
                                body ->
                                        replaced.get()
                                                ? byNamed
                                                : new ScriptedResponse(
                                                        421, Map.of("leader", leader.address())))) {
            GroupClient client = new GroupClient(List.of(named.address()), Ticker.SYSTEM);
            assertEquals("leader", client.get("/v1/status", TIMEOUT).path("by").asText());
            replaced.set(true);
            assertThrows(IllegalArgumentException.class, () -> client.get("/v1/status", TIMEOUT));
            assertEquals("named", client.get("/v1/status", TIMEOUT).path("by").asText());
        }
    }
}
