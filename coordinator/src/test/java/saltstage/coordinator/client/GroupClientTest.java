package saltstage.coordinator.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltstage.coordinator.client.ScriptedReplica.Answer;

/** Which replica a client turns to next. */
@Timeout(30)
class GroupClientTest {
    private static final Duration WITHIN = Duration.ofSeconds(5);

    @Test
    void addressThatIsNoReplicaAnyMoreIsNotCalledAgain() throws Exception {
        AtomicBoolean replaced = new AtomicBoolean();
        Answer notHere = new Answer(404, Map.of("error", "not here"));
        Answer byLeader = new Answer(200, Map.of("by", "leader"));
        Answer byNamed = new Answer(200, Map.of("by", "named"));
        try (ScriptedReplica leader =
                        new ScriptedReplica(asked -> replaced.get() ? notHere : byLeader);
                ScriptedReplica named =
                        new ScriptedReplica(
                                asked ->
                                        replaced.get()
                                                ? byNamed
                                                : new Answer(
                                                        421, Map.of("leader", leader.place())))) {
            GroupClient client = new GroupClient(List.of(named.place()), Ticker.SYSTEM);
            assertEquals("leader", client.get("/v1/status", WITHIN).path("by").asText());
            replaced.set(true);
            assertThrows(IllegalArgumentException.class, () -> client.get("/v1/status", WITHIN));
            assertEquals("named", client.get("/v1/status", WITHIN).path("by").asText());
        }
    }
}
