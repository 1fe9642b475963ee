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

/** Tests the distributor's responses to followers and its counts of confirmed revisions. */
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
        handler.applyChanges(List.of(change));
        return change;
    }

    private CompletableFuture<EncodedResponse> pollChanges(
            String name, long after, long digest, long waitMs) {
        return handler.handle(
                "/v1/configuration/changes?after="
                        + after
                        + "&digest="
                        + ConfigurationJson.formatDigest(digest)
                        + "&follower="
                        + name
                        + "&zone=a1&waitMs="
                        + waitMs,
                name);
    }

    private static ErrorResponse error(EncodedResponse response, int status) throws Exception {
        assertEquals(status, response.status());
        return ConfigurationJson.parseError(text(response));
    }

    private static String text(EncodedResponse response) {
        return new String(response.body(), StandardCharsets.UTF_8);
    }

    private JsonNode zoneStatus() throws IOException {
        EncodedResponse status = handler.handle("/v1/configuration/status", "operator").join();
        return GroupCodec.jsonMapper().readTree(status.body()).path("zones").path(0);
    }

    @Test
    void returnsLaterChangesAndHoldsFollowersThatAreUpToDate() throws Exception {
        Change first = acceptAndServe("gw-1");
        EncodedResponse response = pollChanges("relay-1", 0, 0, WAIT_MS).join();
        assertEquals(200, response.status());
        assertEquals(
                new ChangesResponse(1, first.digest(), List.of(first)),
                ConfigurationJson.parseChanges(text(response)));

        CompletableFuture<EncodedResponse> waiting =
                pollChanges("relay-1", 1, first.digest(), WAIT_MS);
        assertFalse(waiting.isDone());
        Change second = acceptAndServe("gw-2");
        assertEquals(
                List.of(second), ConfigurationJson.parseChanges(text(waiting.join())).changes());
    }

    @Test
    void distributorOlderThanItsFollowerReportsBehind() throws Exception {
        acceptAndServe("gw-1");
        Change newer = accept("gw-2"); // accepted by the group, not yet known to the distributor
        EncodedResponse response = pollChanges("relay-1", 2, newer.digest(), WAIT_MS).getNow(null);
        assertNotNull(response, "a source that is behind must answer its follower at once");
        assertEquals(1, error(response, 421).revision());
    }

    @Test
    void revisionIsConfirmedOnlyByTheFollowersNextRequest() throws Exception {
        CompletableFuture<EncodedResponse> waiting = pollChanges("relay-1", 0, 0, WAIT_MS);
        Change change = acceptAndServe("gw-1");
        assertEquals(200, waiting.join().status());
        assertEquals(
                0,
                zoneStatus().path("confirmed").asInt(),
                "sending a revision does not confirm it");
        assertEquals(1, zoneStatus().path("behind").size());

        pollChanges("relay-1", 1, change.digest(), WAIT_MS);
        assertEquals(1, zoneStatus().path("confirmed").asInt());
        assertEquals(0, zoneStatus().path("behind").size());
    }

    @Test
    void followerWithoutAZoneIsCountedInTheDistributorsZone() throws Exception {
        String uri = "changes?after=0&digest=0000000000000000&follower=r&zone=&waitMs=0";
        assertEquals(200, handler.handle("/v1/configuration/" + uri, "c").join().status());
        assertEquals("a1", zoneStatus().path("zone").asText());
    }

    @Test
    void wrongDigestIsReportedAndNotConfirmed() throws Exception {
        Change change = acceptAndServe("gw-1");
        assertEquals(
                ErrorResponse.DIVERGED,
                error(pollChanges("relay-1", 1, change.digest() + 1, WAIT_MS).join(), 409).error());
        assertEquals(1, zoneStatus().path("followers").asInt());
        assertEquals(0, zoneStatus().path("confirmed").asInt());
    }

    @Test
    void changeIsEncodedOnceForAllWaitingRequests() {
        List<CompletableFuture<EncodedResponse>> waiting = new ArrayList<>();
        for (int i = 0; i < 800; i++) {
            waiting.add(pollChanges("relay-" + i, 0, 0, WAIT_MS));
        }
        acceptAndServe("gw-1");
        byte[] shared = waiting.get(0).join().body();
        waiting.forEach(response -> assertSame(shared, response.join().body()));
    }

    @Test
    void expiredWaitReturnsNoChanges() throws Exception {
        CompletableFuture<EncodedResponse> waiting = pollChanges("relay-1", 0, 0, WAIT_MS);
        nowMs.set(WAIT_MS - 1);
        handler.sweep();
        assertFalse(waiting.isDone());
        nowMs.set(WAIT_MS);
        handler.sweep();
        assertEquals(
                new ChangesResponse(0, 0, List.of()),
                ConfigurationJson.parseChanges(text(waiting.join())));
    }

    @Test
    void cancelledRequestsAreRemovedAndWaitingOnesAreBounded() throws Exception {
        for (int i = 0; i < DistributorHandler.MAX_WAITING_REQUESTS; i++) {
            pollChanges("relay-1", 0, 0, WAIT_MS).cancel(false);
        }
        assertFalse(pollChanges("relay-1", 0, 0, WAIT_MS).isDone());
        for (int i = 1; i < DistributorHandler.MAX_WAITING_REQUESTS; i++) {
            pollChanges("relay-1", 0, 0, WAIT_MS);
        }
        EncodedResponse rejected = pollChanges("relay-2", 0, 0, WAIT_MS).getNow(null);
        assertNotNull(rejected, "the maximum number of requests is waiting");
        assertTrue(error(rejected, 503).retryMs() > 0);
    }

    @Test
    void appliedSnapshotWakesWaitingRequestsAndTruncatesTheHistory() throws Exception {
        CompletableFuture<EncodedResponse> waiting = pollChanges("relay-1", 0, 0, WAIT_MS);
        accept("gw-1");
        accept("gw-2");
        handler.applySnapshot(writer);
        assertEquals(2, error(waiting.join(), 410).revision());
    }

    @Test
    void snapshotIsPagedAndConcurrentTransfersAreBounded() throws Exception {
        for (int i = 0; i < 7; i++) {
            acceptAndServe("gw-" + i);
        }
        List<SnapshotPage> pages = new ArrayList<>();
        String from = "";
        while (from != null) {
            SnapshotPage page = requestPage("relay-0", pages.isEmpty() ? 0 : 7, from);
            pages.add(page);
            from = page.next() == null ? null : "&from=" + page.next().text();
        }
        assertEquals(3, pages.size());
        ConfigurationView assembled =
                new ConfigurationView(
                        7, pages.stream().flatMap(page -> page.entries().stream()).toList());
        assertEquals(writer.digest(), assembled.digest());

        for (int i = 0; i < DistributorHandler.MAX_SNAPSHOT_TRANSFERS; i++) {
            requestPage("relay-" + i, 0, "");
        }
        EncodedResponse rejected = requestSnapshot("relay-99", 0, "");
        assertTrue(error(rejected, 503).retryMs() > 0);
        assertEquals(
                410,
                requestSnapshot("relay-1", 3, "").status(),
                "revision 3 is no longer available");
    }

    private EncodedResponse requestSnapshot(String client, long revision, String from) {
        String uri = "/v1/configuration/snapshot?limit=3&revision=" + revision + from;
        return handler.handle(uri, client).join();
    }

    private SnapshotPage requestPage(String client, long revision, String from) throws Exception {
        EncodedResponse response = requestSnapshot(client, revision, from);
        assertEquals(200, response.status(), text(response));
        return ConfigurationJson.parseSnapshotPage(text(response));
    }

    @Test
    void malformedRequestsAreRejectedAndNotCounted() throws Exception {
        String validUri = "changes?after=0&digest=0000000000000000&follower=r&zone=z&waitMs=0";
        for (String uri :
                List.of(
                        validUri.replace("after=0", "after=-1"),
                        validUri.replace("after=0", "after=x"),
                        validUri.replace("after=0", "after=9007199254740993"),
                        validUri.replace("digest=0000000000000000", "digest=0"),
                        validUri.replace("&digest=0000000000000000", ""),
                        validUri.replace("follower=r", "follower="),
                        validUri.replace("follower=r", "follower=" + "r".repeat(161)),
                        validUri.replace("zone=z", "zone=%00"),
                        validUri.replace("zone=z", "zone=%zz"),
                        "snapshot?revision=0&from=nothing/x",
                        "status?revision=1.5")) {
            EncodedResponse response = handler.handle("/v1/configuration/" + uri, "c").join();
            assertTrue(error(response, 400).error().length() > 5, uri);
        }
        assertEquals(404, handler.handle("/v1/configuration/never", "c").join().status());
        assertTrue(zoneStatus().isMissingNode());
        assertEquals(200, handler.handle("/v1/configuration/" + validUri, "c").join().status());
    }
}
