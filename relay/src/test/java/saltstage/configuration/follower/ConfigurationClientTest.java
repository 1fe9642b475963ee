package saltstage.configuration.follower;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import saltstage.configuration.Change;
import saltstage.configuration.ConfigurationView;

/**
 * Guards against a follower that applies invalid responses or does not fail over. Its sources
 * listen on real sockets and are healthy, foreign, broken, slow or silent.
 */
class ConfigurationClientTest {
    private static final long TIMEOUT_MS = 30_000;
    private static final FollowerTimings FAST_TIMINGS =
            new FollowerTimings(
                    Duration.ofMillis(400),
                    Duration.ofMillis(20),
                    Duration.ofMillis(200),
                    Duration.ofMillis(300),
                    Duration.ofMillis(600));

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final List<AutoCloseable> closeables = new ArrayList<>();
    private final List<Long> appliedRevisions = new CopyOnWriteArrayList<>();
    private final List<String> failoverReasons = new CopyOnWriteArrayList<>();
    private final List<URI> connectedSources = new CopyOnWriteArrayList<>();

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable closeable : closeables) {
            closeable.close();
        }
        scheduler.shutdownNow();
    }

    private ScriptedSource startSource(ScriptedSource.Script script) throws Exception {
        ScriptedSource source = new ScriptedSource(script);
        closeables.add(source);
        return source;
    }

    private ConfigurationClient startFollower(ScriptedSource... sources) {
        ConfigurationClient client =
                new ConfigurationClient(
                        new FollowerOptions(
                                List.of(sources).stream().map(ScriptedSource::uri).toList(),
                                "relay 1",
                                "a",
                                FAST_TIMINGS),
                        new FollowerResources(
                                http, scheduler, Runnable::run, Clock.systemUTC(), new Random(1)),
                        ConfigurationPersistence.NONE,
                        new ConfigurationView(),
                        new RecordingListener());
        closeables.add(client);
        client.start();
        return client;
    }

    private final class RecordingListener implements FollowerListener {
        @Override
        public void changesApplied(List<Change> changes) {
            changes.forEach(change -> appliedRevisions.add(change.revision()));
        }

        @Override
        public void snapshotApplied(ConfigurationView view) {
            appliedRevisions.add(view.revision());
        }

        @Override
        public void sourceConnected(URI source) {
            connectedSources.add(source);
        }

        @Override
        public void sourceFailedOver(URI source, URI next, String reason) {
            failoverReasons.add(reason);
        }
    }

    private static void await(String description, BooleanSupplier condition)
            throws InterruptedException {
        long deadlineNs = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNs, "timed out waiting for " + description);
            Thread.sleep(5);
        }
    }

    private static ServedView viewWithRevisions(int revisions) {
        ServedView view = new ServedView();
        for (int i = 1; i <= revisions; i++) {
            view.accept(ScriptedHistory.shardMutation("topic/" + i, "gw-" + i));
        }
        return view;
    }

    @Test
    void changesArriveOnceAndInOrder() throws Exception {
        ServedView view = viewWithRevisions(3);
        ConfigurationClient client = startFollower(startSource(view));
        await("the existing revisions", () -> client.revision() == 3);
        await("the confirmation", () -> client.confirmedAt() != null);
        view.accept(ScriptedHistory.shardMutation("topic/1", null));
        await("the next revision", () -> client.revision() == 4);
        assertEquals(List.of(1L, 2L, 3L, 4L), appliedRevisions);
        assertEquals(List.of(), failoverReasons);
    }

    @Test
    void multiPageSnapshotIsAppliedAsAWhole() throws Exception {
        ConfigurationView large = new ConfigurationView();
        for (int i = 0; i < 100; i++) {
            List<saltstage.configuration.Mutation> mutations = new ArrayList<>();
            for (int j = 0; j < 50; j++) {
                mutations.add(ScriptedHistory.shardMutation("topic-" + i + "/" + j, "gw-1"));
            }
            large.accept(mutations);
        }
        ServedView view = new ServedView(large);
        ScriptedSource source = startSource(view);
        ConfigurationClient client = startFollower(source);
        await("the snapshot", () -> client.revision() == 100);
        view.accept(ScriptedHistory.shardMutation("topic-7/3", "gw-2"));
        await("the change after it", () -> client.revision() == 101);
        assertEquals(List.of(100L, 101L), appliedRevisions);
        assertTrue(source.requestCount() >= 4, "number of requests: " + source.requestCount());
    }

    @Test
    void failsOverFromAnOlderSourceAndKeepsItsState() throws Exception {
        ServedView newer = viewWithRevisions(5);
        ScriptedSource first = startSource(newer);
        ScriptedSource second = startSource(viewWithRevisions(2));
        ConfigurationClient client = startFollower(first, second);
        await("the revisions of the newer source", () -> client.revision() == 5);
        first.close();
        await(
                "the failover from the older source",
                () -> failoverReasons.stream().anyMatch(reason -> reason.startsWith("behind")));
        assertEquals(5, client.revision());
        assertEquals(List.of(1L, 2L, 3L, 4L, 5L), appliedRevisions);
    }

    @Test
    void returnsToThePreferredSource() throws Exception {
        ServedView view = viewWithRevisions(1);
        ScriptedSource first =
                startSource((query, out) -> ScriptedSource.writeResponse(out, 500, "{}"));
        ScriptedSource second = startSource(view);
        startFollower(first, second);
        await(
                "the connection to the second source",
                () -> connectedSources.equals(List.of(second.uri())));
        first.setScript(view);
        await(
                "the return to the first source",
                () -> connectedSources.equals(List.of(second.uri(), first.uri())));
    }

    private void assertFailsOver(String reason, ScriptedSource.Script script) throws Exception {
        ConfigurationClient client = startFollower(startSource(script));
        await("the failover", () -> !failoverReasons.isEmpty());
        assertTrue(failoverReasons.get(0).contains(reason), failoverReasons.get(0));
        assertTrue(
                failoverReasons.get(0).indexOf('\n') < 0,
                "the reason has more than one line: " + failoverReasons.get(0));
        assertEquals(0, client.revision());
        assertEquals(List.of(), appliedRevisions);
    }

    @Test
    void malformedJsonChangesNothing() throws Exception {
        assertFailsOver(
                "malformed",
                (query, out) -> ScriptedSource.writeResponse(out, 200, "{\"revision\":7"));
    }

    @Test
    void foreignJsonChangesNothing() throws Exception {
        String foreign = "{\"rev\":3,\"all\":true,\"targets\":[]}";
        assertFailsOver(
                "malformed", (query, out) -> ScriptedSource.writeResponse(out, 200, foreign));
    }

    @Test
    void foreignErrorChangesNothing() throws Exception {
        String foreign = "{\"error\":\"no such page\"}";
        assertFailsOver(
                "status 410", (query, out) -> ScriptedSource.writeResponse(out, 410, foreign));
    }

    @Test
    void oversizedResponseIsNotBuffered() throws Exception {
        byte[] part = new byte[1 << 16];
        assertFailsOver(
                "an answer of over",
                (query, out) -> {
                    out.write("HTTP/1.1 200 OK\r\nContent-Length: 2000000000\r\n\r\n".getBytes());
                    while (true) {
                        out.write(part);
                    }
                });
    }

    @Test
    void failsOverFromASilentSource() throws Exception {
        assertFailsOver("no answer within", (query, out) -> Thread.sleep(TIMEOUT_MS));
    }

    @Test
    void failsOverFromASourceThatTricklesItsResponse() throws Exception {
        assertFailsOver(
                "no answer within",
                (query, out) -> {
                    out.write("HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n".getBytes());
                    while (true) {
                        out.write(' ');
                        Thread.sleep(100);
                    }
                });
    }

    @Test
    void failsOverFromASourceThatResets() throws Exception {
        assertFailsOver(
                "",
                (query, out) -> {
                    throw new IllegalStateException("reset");
                });
    }

    @Test
    void idleFollowerUsesLittleBandwidth() throws Exception {
        ServedView view = viewWithRevisions(1);
        ScriptedSource source = startSource(view);
        List<Long> bytes = new CopyOnWriteArrayList<>(); // after each request header
        source.setScript(
                (query, out) -> {
                    bytes.add(source.byteCount());
                    view.respond(query, out);
                });
        startFollower(source);
        await("7 requests", () -> bytes.size() >= 7);
        long perRound = (bytes.get(6) - bytes.get(2)) / 4;
        System.out.println("an idle follower's request and response: " + perRound + " bytes");
        assertTrue(perRound < 600, "bytes per request and response: " + perRound);
    }
}
