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

/** The follower against sources on real sockets that are sound, foreign, broken, slow or silent. */
class ConfigurationClientTest {
    private static final long PATIENCE_MS = 30_000;
    private static final FollowerTimings QUICK =
            new FollowerTimings(
                    Duration.ofMillis(400),
                    Duration.ofMillis(20),
                    Duration.ofMillis(200),
                    Duration.ofMillis(300),
                    Duration.ofMillis(600));

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final List<AutoCloseable> toClose = new ArrayList<>();
    private final List<Long> applied = new CopyOnWriteArrayList<>();
    private final List<String> left = new CopyOnWriteArrayList<>();
    private final List<URI> settled = new CopyOnWriteArrayList<>();

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : toClose) {
            each.close();
        }
        scheduler.shutdownNow();
    }

    private ScriptedSource source(ScriptedSource.Script script) throws Exception {
        ScriptedSource source = new ScriptedSource(script);
        toClose.add(source);
        return source;
    }

    private ConfigurationClient follow(ScriptedSource... sources) {
        ConfigurationClient client =
                new ConfigurationClient(
                        new FollowerOptions(
                                List.of(sources).stream().map(ScriptedSource::uri).toList(),
                                "relay 1",
                                "a",
                                QUICK),
                        new FollowerResources(
                                http, scheduler, Runnable::run, Clock.systemUTC(), new Random(1)),
                        ConfigurationPersistence.NONE,
                        new ConfigurationView(),
                        new Listener());
        toClose.add(client);
        client.start();
        return client;
    }

    private final class Listener implements FollowerListener {
        @Override
        public void changesInForce(List<Change> changes) {
            changes.forEach(change -> applied.add(change.revision()));
        }

        @Override
        public void snapshotInForce(ConfigurationView view) {
            applied.add(view.revision());
        }

        @Override
        public void sourceSettled(URI source) {
            settled.add(source);
        }

        @Override
        public void sourceLeft(URI source, URI next, String reason) {
            left.add(reason);
        }
    }

    private static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + PATIENCE_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, "waited in vain until " + what);
            Thread.sleep(5);
        }
    }

    private static ServedView served(int revisions) {
        ServedView view = new ServedView();
        for (int i = 1; i <= revisions; i++) {
            view.accept(ScriptedHistory.shard("topic/" + i, "gw-" + i));
        }
        return view;
    }

    @Test
    void changesComeOnceAndInOrderAsTheyAreAccepted() throws Exception {
        ServedView view = served(3);
        ConfigurationClient client = follow(source(view));
        await("what there is", () -> client.revision() == 3);
        await("it is confirmed", () -> client.confirmedAt() != null);
        view.accept(ScriptedHistory.shard("topic/1", null));
        await("the next", () -> client.revision() == 4);
        assertEquals(List.of(1L, 2L, 3L, 4L), applied);
        assertEquals(List.of(), left);
    }

    @Test
    void aSnapshotOfManyPagesIsTakenWhole() throws Exception {
        ConfigurationView large = new ConfigurationView();
        for (int i = 0; i < 100; i++) {
            List<saltstage.configuration.Mutation> mutations = new ArrayList<>();
            for (int j = 0; j < 50; j++) {
                mutations.add(ScriptedHistory.shard("topic-" + i + "/" + j, "gw-1"));
            }
            large.accept(mutations);
        }
        ServedView view = new ServedView(large);
        ScriptedSource source = source(view);
        ConfigurationClient client = follow(source);
        await("the snapshot", () -> client.revision() == 100);
        view.accept(ScriptedHistory.shard("topic-7/3", "gw-2"));
        await("the change after it", () -> client.revision() == 101);
        assertEquals(List.of(100L, 101L), applied);
        assertTrue(source.requests() >= 4, "requests: " + source.requests());
    }

    @Test
    void anOlderSourceIsLeftAndWhatIsHeldStays() throws Exception {
        ServedView newer = served(5);
        ScriptedSource first = source(newer);
        ScriptedSource second = source(served(2));
        ConfigurationClient client = follow(first, second);
        await("the newer one is followed", () -> client.revision() == 5);
        first.close();
        await("the older one is asked", () -> left.stream().anyMatch(l -> l.startsWith("behind")));
        assertEquals(5, client.revision());
        assertEquals(List.of(1L, 2L, 3L, 4L, 5L), applied);
    }

    @Test
    void thePreferredSourceIsReturnedTo() throws Exception {
        ServedView view = served(1);
        ScriptedSource first = source((query, out) -> ScriptedSource.write(out, 500, "{}"));
        ScriptedSource second = source(view);
        follow(first, second);
        await("the second is followed", () -> settled.equals(List.of(second.uri())));
        first.script(view);
        await("the first again", () -> settled.equals(List.of(second.uri(), first.uri())));
    }

    private void fails(String reason, ScriptedSource.Script script) throws Exception {
        ConfigurationClient client = follow(source(script));
        await("it is left", () -> !left.isEmpty());
        assertTrue(left.get(0).contains(reason), left.get(0));
        assertTrue(left.get(0).indexOf('\n') < 0, "one line: " + left.get(0));
        assertEquals(0, client.revision());
        assertEquals(List.of(), applied);
    }

    @Test
    void malformedJsonChangesNothing() throws Exception {
        fails("malformed", (query, out) -> ScriptedSource.write(out, 200, "{\"revision\":7"));
    }

    @Test
    void anotherServicesJsonChangesNothing() throws Exception {
        String foreign = "{\"rev\":3,\"all\":true,\"targets\":[]}";
        fails("malformed", (query, out) -> ScriptedSource.write(out, 200, foreign));
    }

    @Test
    void anotherServicesErrorChangesNothing() throws Exception {
        String foreign = "{\"error\":\"no such page\"}";
        fails("status 410", (query, out) -> ScriptedSource.write(out, 410, foreign));
    }

    @Test
    void anOversizedAnswerIsNotHeld() throws Exception {
        byte[] part = new byte[1 << 16];
        fails(
                "an answer of over",
                (query, out) -> {
                    out.write("HTTP/1.1 200 OK\r\nContent-Length: 2000000000\r\n\r\n".getBytes());
                    while (true) {
                        out.write(part);
                    }
                });
    }

    @Test
    void aSilentSourceIsLeft() throws Exception {
        fails("no answer within", (query, out) -> Thread.sleep(PATIENCE_MS));
    }

    @Test
    void aSourceThatTricklesItsAnswerIsLeft() throws Exception {
        fails(
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
    void aSourceThatResetsIsLeft() throws Exception {
        fails(
                "",
                (query, out) -> {
                    throw new IllegalStateException("reset");
                });
    }

    @Test
    void aQuietFollowerCostsLittle() throws Exception {
        ServedView view = served(1);
        ScriptedSource source = source(view);
        List<Long> bytes = new CopyOnWriteArrayList<>(); // at each request, once its head was read
        source.script(
                (query, out) -> {
                    bytes.add(source.bytes());
                    view.answer(query, out);
                });
        follow(source);
        await("it has asked on", () -> bytes.size() >= 7);
        long perRound = (bytes.get(6) - bytes.get(2)) / 4;
        System.out.println("a quiet follower's request and answer: " + perRound + " bytes");
        assertTrue(perRound < 600, "bytes a request and answer: " + perRound);
    }
}
