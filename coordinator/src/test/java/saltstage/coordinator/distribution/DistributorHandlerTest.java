package saltstage.coordinator.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import saltstage.configuration.Change;
import saltstage.configuration.ChangesResponse;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.ConfigurationView;
import saltstage.configuration.EntryKey;
import saltstage.configuration.EntryValue;
import saltstage.configuration.ErrorResponse;
import saltstage.configuration.Mutation;
import saltstage.configuration.SnapshotPage;
import saltstage.coordinator.group.GroupCodec;

/** What followers get from a distributor, and what it tells of them. */
class DistributorHandlerTest {
    private static final long WAIT_MS = 20_000;

    private final AtomicLong nowMs = new AtomicLong();
    private final ConfigurationView writer = new ConfigurationView();
    private final DistributorHandler handler =
            new DistributorHandler("d-a1", "a1", writer, nowMs::get);

    private Change accept(String backend) {
        EntryKey key = EntryKey.parse("shard/topic-1/" + writer.revision() % 10);
        return writer.accept(List.of(new Mutation(key, new EntryValue.Shard(backend))));
    }

    private Change acceptAndServe(String backend) {
        Change change = accept(backend);
        handler.changesInForce(List.of(change));
        return change;
    }

    private CompletableFuture<HttpAnswer> ask(String name, long after, long digest, long waitMs) {
        return handler.handle(
                "/v1/configuration/changes?after="
                        + after
                        + "&digest="
                        + ConfigurationJson.text(digest)
                        + "&follower="
                        + name
                        + "&zone=a1&waitMs="
                        + waitMs,
                name);
    }

    private static ErrorResponse error(HttpAnswer answer, int status) throws Exception {
        assertEquals(status, answer.status());
        return ConfigurationJson.error(text(answer));
    }

    private static String text(HttpAnswer answer) {
        return new String(answer.body(), StandardCharsets.UTF_8);
    }

    private JsonNode zone() throws IOException {
        HttpAnswer status = handler.handle("/v1/configuration/status", "operator").join();
        return GroupCodec.jsonMapper().readTree(status.body()).path("zones").path(0);
    }

    @Test
    void givesWhatComesAfterAndHoldsWhoHasTheNewest() throws Exception {
        Change first = acceptAndServe("gw-1");
        HttpAnswer answer = ask("relay-1", 0, 0, WAIT_MS).join();
        assertEquals(200, answer.status());
        assertEquals(
                new ChangesResponse(1, first.digest(), List.of(first)),
                ConfigurationJson.changes(text(answer)));

        CompletableFuture<HttpAnswer> held = ask("relay-1", 1, first.digest(), WAIT_MS);
        assertFalse(held.isDone());
        Change second = acceptAndServe("gw-2");
        assertEquals(List.of(second), ConfigurationJson.changes(text(held.join())).changes());
    }

    @Test
    void distributorThatIsOlderThanItsFollowerSaysSo() throws Exception {
        acceptAndServe("gw-1");
        Change newer = accept("gw-2"); // accepted, but not yet here
        HttpAnswer answer = ask("relay-1", 2, newer.digest(), WAIT_MS).getNow(null);
        assertNotNull(answer, "an older source must not hold a follower");
        assertEquals(1, error(answer, 421).revision());
    }

    @Test
    void confirmationCountsOnceTheFollowerSaysThatItHasTheRevision() throws Exception {
        CompletableFuture<HttpAnswer> held = ask("relay-1", 0, 0, WAIT_MS);
        Change change = acceptAndServe("gw-1");
        assertEquals(200, held.join().status());
        assertEquals(0, zone().path("confirmed").asInt(), "sent is not confirmed");
        assertEquals(1, zone().path("behind").size());

        ask("relay-1", 1, change.digest(), WAIT_MS);
        assertEquals(1, zone().path("confirmed").asInt());
        assertEquals(0, zone().path("behind").size());
    }

    @Test
    void followerWithoutAZoneCountsInTheDistributorsOwn() throws Exception {
        String uri = "changes?after=0&digest=0000000000000000&follower=r&zone=&waitMs=0";
        assertEquals(200, handler.handle("/v1/configuration/" + uri, "c").join().status());
        assertEquals("a1", zone().path("zone").asText());
    }

    @Test
    void wrongDigestIsToldAndNotCounted() throws Exception {
        Change change = acceptAndServe("gw-1");
        assertEquals(
                ErrorResponse.DIVERGED,
                error(ask("relay-1", 1, change.digest() + 1, WAIT_MS).join(), 409).error());
        assertEquals(1, zone().path("followers").asInt());
        assertEquals(0, zone().path("confirmed").asInt());
    }

    @Test
    void changeIsEncodedOnceForAllWhoWait() {
        List<CompletableFuture<HttpAnswer>> held = new ArrayList<>();
        for (int i = 0; i < 800; i++) {
            held.add(ask("relay-" + i, 0, 0, WAIT_MS));
        }
        acceptAndServe("gw-1");
        byte[] shared = held.get(0).join().body();
        held.forEach(answer -> assertSame(shared, answer.join().body()));
    }

    @Test
    void waitEndsWithNoChanges() throws Exception {
        CompletableFuture<HttpAnswer> held = ask("relay-1", 0, 0, WAIT_MS);
        nowMs.set(WAIT_MS - 1);
        handler.sweep();
        assertFalse(held.isDone());
        nowMs.set(WAIT_MS);
        handler.sweep();
        assertEquals(
                new ChangesResponse(0, 0, List.of()), ConfigurationJson.changes(text(held.join())));
    }

    @Test
    void followerThatWentAwayIsLetGo() throws Exception {
        for (int i = 0; i < DistributorHandler.MOST_WAITING; i++) {
            ask("relay-1", 0, 0, WAIT_MS).cancel(false);
        }
        assertFalse(ask("relay-1", 0, 0, WAIT_MS).isDone());
        for (int i = 1; i < DistributorHandler.MOST_WAITING; i++) {
            ask("relay-1", 0, 0, WAIT_MS);
        }
        HttpAnswer refused = ask("relay-2", 0, 0, WAIT_MS).getNow(null);
        assertNotNull(refused, "over the bound");
        assertTrue(error(refused, 503).retryMs() > 0);
    }

    @Test
    void snapshotTakenOverWakesWhoWaitsAndTruncatesWhatIsBefore() throws Exception {
        CompletableFuture<HttpAnswer> held = ask("relay-1", 0, 0, WAIT_MS);
        accept("gw-1");
        accept("gw-2");
        handler.snapshotInForce(writer);
        assertEquals(2, error(held.join(), 410).revision());
    }

    @Test
    void snapshotComesInPagesAndOnlyToSoManyAtOnce() throws Exception {
        for (int i = 0; i < 7; i++) {
            acceptAndServe("gw-" + i);
        }
        List<SnapshotPage> pages = new ArrayList<>();
        String from = "";
        while (from != null) {
            SnapshotPage page = page("relay-0", pages.isEmpty() ? 0 : 7, from);
            pages.add(page);
            from = page.next() == null ? null : "&from=" + page.next().text();
        }
        assertEquals(3, pages.size());
        ConfigurationView whole =
                new ConfigurationView(
                        7, pages.stream().flatMap(page -> page.entries().stream()).toList());
        assertEquals(writer.digest(), whole.digest());

        for (int i = 0; i < DistributorHandler.MOST_SNAPSHOTS; i++) {
            page("relay-" + i, 0, "");
        }
        HttpAnswer refused = snapshot("relay-99", 0, "");
        assertTrue(error(refused, 503).retryMs() > 0);
        assertEquals(410, snapshot("relay-1", 3, "").status(), "not held");
    }

    private HttpAnswer snapshot(String client, long revision, String from) {
        String uri = "/v1/configuration/snapshot?limit=3&revision=" + revision + from;
        return handler.handle(uri, client).join();
    }

    private SnapshotPage page(String client, long revision, String from) throws Exception {
        HttpAnswer answer = snapshot(client, revision, from);
        assertEquals(200, answer.status(), text(answer));
        return ConfigurationJson.snapshotPage(text(answer));
    }

    @Test
    void malformedRequestsGetOneErrorAndCountNothing() throws Exception {
        String sound = "changes?after=0&digest=0000000000000000&follower=r&zone=z&waitMs=0";
        for (String uri :
                List.of(
                        sound.replace("after=0", "after=-1"),
                        sound.replace("after=0", "after=x"),
                        sound.replace("after=0", "after=9007199254740993"),
                        sound.replace("digest=0000000000000000", "digest=0"),
                        sound.replace("&digest=0000000000000000", ""),
                        sound.replace("follower=r", "follower="),
                        sound.replace("follower=r", "follower=" + "r".repeat(161)),
                        sound.replace("zone=z", "zone=%00"),
                        sound.replace("zone=z", "zone=%zz"),
                        "snapshot?revision=0&from=nothing/x",
                        "status?revision=1.5")) {
            HttpAnswer answer = handler.handle("/v1/configuration/" + uri, "c").join();
            assertTrue(error(answer, 400).error().length() > 5, uri);
        }
        assertEquals(404, handler.handle("/v1/configuration/never", "c").join().status());
        assertTrue(zone().isMissingNode());
        assertEquals(200, handler.handle("/v1/configuration/" + sound, "c").join().status());
    }
}
