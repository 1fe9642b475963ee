package saltstage.coordinator.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import saltstage.coordinator.group.GroupCodec;
import saltstage.coordinator.replica.Replica;
import saltstage.coordinator.replica.ReplicaSettings;
import saltstage.net.NettyTransport;
import saltstage.store.FileDisk;
import saltstage.store.Store;
import saltstage.store.StoreEventListener;
import saltstage.store.StoreOptions;

/**
 * Calls every route of the API on a group of one replica, and checks the statuses and the names in
 * the JSON, on which clients depend.
 */
class ApiHandlerTest {
    private static final int ENGINE_CLOCK_SPEED = 7;
    private static final long TEST_TIMEOUT_SECONDS = 20;

    @TempDir static Path dir;

    private static Replica replica;
    private static ApiHandler handler;

    /** An HTTP status, and the body as a client reads it. */
    private record Response(int status, JsonNode body) {}

    @BeforeAll
    static void startReplica() throws Exception {
        InetSocketAddress peerAddress = freeAddress();
        ReplicaSettings settings =
                new ReplicaSettings(
                        "g",
                        "a",
                        List.of("a"),
                        peerAddress,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                        Map.of(),
                        Map.of(),
                        dir,
                        ENGINE_CLOCK_SPEED,
                        10_000,
                        4_096,
                        3,
                        1,
                        System::currentTimeMillis);
        Store store =
                Store.open(new FileDisk(dir), StoreOptions.defaults(), StoreEventListener.NONE);
        NettyTransport transport =
                new NettyTransport(1, false, (where, fault) -> fault.printStackTrace());
        replica =
                new Replica(
                        settings,
                        store,
                        transport,
                        (code, reason) ->
                                System.err.println("replica ended: " + code + " " + reason));
        handler = new ApiHandler(replica);
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TEST_TIMEOUT_SECONDS);
        while (get("/v1/leases").status() != 200
                || get("/v1/status").body().path("level").asInt() < 3
                || replica.leaderClientAddress()
                        == null) { // the replica's member row is not known yet
            assertTrue(System.nanoTime() < deadline, "no leader at level 3 in time");
            Thread.sleep(50);
        }
    }

    @AfterAll
    static void stopReplica() throws Exception {
        replica.close();
    }

    private static InetSocketAddress freeAddress() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }

    private static CompletableFuture<Response> send(HttpMethod method, String uri, String body) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        method,
                        uri,
                        Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        return handler.handle(request)
                .thenApply(
                        response ->
                                new Response(
                                        response.status(),
                                        GroupCodec.jsonMapper().valueToTree(response.body())));
    }

    private static Response get(String uri) throws Exception {
        return send(HttpMethod.GET, uri, "").get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static Response post(String uri, String body) throws Exception {
        return send(HttpMethod.POST, uri, body).get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static String commandBody(String client, int seq, long waitMs, String command) {
        return "{\"client\":\"%s\",\"seq\":%d,\"waitMs\":%d,\"command\":%s}"
                .formatted(client, seq, waitMs, command);
    }

    private static String acquireCommand(String name, String owner, boolean queue) {
        return ("{\"op\":\"acquire\",\"name\":\"%s\",\"owner\":\"%s\","
                        + "\"ttlMs\":60000,\"priority\":0,\"queue\":%b}")
                .formatted(name, owner, queue);
    }

    private static void assertBadRequest(String error, Response response) {
        assertEquals(400, response.status());
        assertEquals(error, response.body().path("error").asText());
        assertEquals(0, response.body().path("retryMs").asLong());
        assertTrue(response.body().get("leader").isNull());
    }

    @Test
    void unknownRoutesAndMethodsAreRejected() throws Exception {
        Response unknown = post("/v1/none?x=1", "no JSON");
        assertEquals(404, unknown.status());
        assertEquals("no such call: POST /v1/none", unknown.body().path("error").asText());
        assertEquals(
                404,
                post("/v1/leases", "{}").status(),
                "the path has only a route for another method");
        Response put =
                send(HttpMethod.PUT, "/v1/leases", "").get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertBadRequest("GET and POST are taken", put);
    }

    @Test
    void malformedBodiesAndParametersAreReported() throws Exception {
        assertBadRequest("the body is no JSON object", post("/v1/do", "[]"));
        assertBadRequest("the body is no JSON object", post("/v1/do", ""));
        Response broken = post("/v1/do", "{");
        assertEquals(400, broken.status());
        assertTrue(broken.body().path("error").asText().startsWith("the body is no JSON: "));
        assertBadRequest("'client' takes a text", post("/v1/do", "{\"client\":\"\"}"));
        assertBadRequest("'name' takes a text", post("/v1/leave", "{}"));
        assertBadRequest("'to' takes a text", post("/v1/transfer", "{\"to\":1}"));
        assertBadRequest("'limit' takes a whole number up to 10000", get("/v1/leases?limit=10001"));
        assertBadRequest("'waitMs' takes a whole number up to 2000", get("/v1/lease?waitMs=-1"));
        assertBadRequest(
                "'from' takes a whole number up to 4102444800000", get("/v1/levels?from=x"));
    }

    @Test
    void commandsAreCheckedBeforeTheyAreProposed() throws Exception {
        String numberError =
                "'client' takes a text of up to 100 characters, 'seq' a number from 1 on";
        String acquire = acquireCommand("checked", "o", false);
        assertBadRequest(numberError, post("/v1/do", commandBody("c".repeat(101), 1, 0, acquire)));
        assertBadRequest(numberError, post("/v1/do", commandBody("c", 0, 0, acquire)));
        String commandError = "'command' takes a command for clients";
        assertBadRequest(
                commandError,
                post("/v1/do", commandBody("c", 1, 0, "{\"op\":\"forget\",\"member\":\"a\"}")));
        Response unknown = post("/v1/do", commandBody("c", 1, 0, "{\"op\":\"none\"}"));
        assertEquals(400, unknown.status());
        assertTrue(unknown.body().path("error").asText().startsWith("'command': "));
        assertEquals(0, get("/v1/leases?prefix=checked").body().path("leases").size());
    }

    @Test
    void leaseIsGrantedListedWatchedAndPassedOn() throws Exception {
        JsonNode granted =
                post("/v1/do", commandBody("g1", 1, 0, acquireCommand("p/x", "o1", false))).body();
        assertEquals("granted", granted.path("result").asText());
        Response list = get("/v1/leases?prefix=p/&limit=1&stale=1");
        assertEquals(200, list.status());
        assertTrue(list.body().path("stale").asBoolean());
        assertEquals("o1", list.body().path("leases").get(0).path("owner").asText());
        JsonNode lease = get("/v1/lease?name=p/x").body();
        assertTrue(lease.path("groupNow").isIntegralNumber());
        long revision = lease.path("leases").get(0).path("revision").asLong();
        String queuedAcquire = commandBody("g2", 1, 2_000, acquireCommand("p/x", "o2", true));
        CompletableFuture<Response> queued = send(HttpMethod.POST, "/v1/do", queuedAcquire);
        CompletableFuture<Response> watched =
                send(HttpMethod.GET, "/v1/lease?name=p/x&waitMs=2000&after=" + revision, "");
        String release =
                "{\"op\":\"release\",\"name\":\"p/x\",\"owner\":\"o1\",\"fence\":%d}"
                        .formatted(granted.path("fence").asLong());
        assertEquals(
                "released",
                post("/v1/do", commandBody("g1", 2, 0, release)).body().path("what").asText());
        Response held = queued.get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(
                "held",
                held.body().path("result").asText(),
                "the client must repeat the command to be granted the lease");
        Response changed = watched.get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(changed.body().path("leases").get(0).path("revision").asLong() > revision);
        String repeatedAcquire = commandBody("g2", 2, 0, acquireCommand("p/x", "o2", true));
        assertEquals("granted", post("/v1/do", repeatedAcquire).body().path("result").asText());
    }

    @Test
    void unchangedLeaseIsAnsweredAfterTheWait() throws Exception {
        long start = System.nanoTime();
        Response response = get("/v1/lease?name=nobody-holds-it&waitMs=300");
        assertEquals(200, response.status());
        assertEquals(0, response.body().path("leases").size());
        assertTrue(System.nanoTime() - start >= TimeUnit.MILLISECONDS.toNanos(300));
    }

    @Test
    void windowsAndLevelsAreReadWithoutAPlan() throws Exception {
        Response windows = get("/v1/windows");
        assertEquals(200, windows.status());
        assertTrue(windows.body().get("plan").isNull());
        assertEquals(0, windows.body().path("windows").size());
        assertTrue(windows.body().path("day").asLong() > 0);
        Response levels = get("/v1/levels?from=1&to=2&most=3");
        assertEquals(200, levels.status());
        assertEquals(0, levels.body().size());
    }

    @Test
    void snapshotsAreAcceptedOnceAndShownWithTheAdvice() throws Exception {
        String snapshot =
                "{\"node\":\"n1\",\"region\":\"r\",\"incarnation\":1,\"seq\":1,\"capacity\":100,"
                        + "\"delayMs\":0.5,\"setupMs\":1.5,\"tenants\":[],\"others\":7}";
        Response taken = post("/v1/snapshot", snapshot);
        assertEquals(200, taken.status());
        assertTrue(taken.body().path("taken").asBoolean());
        assertEquals(false, post("/v1/snapshot", snapshot).body().path("taken").asBoolean(true));
        Response advice = get("/v1/advice");
        assertEquals(200, advice.status());
        assertEquals(
                "n1", advice.body().path("views").get(0).path("snapshot").path("node").asText());
        assertEquals("no advisor has spoken", advice.body().path("book").path("why").asText());
        assertTrue(advice.body().path("made").isArray());
        assertTrue(advice.body().path("avoid").isArray());
        Response invalid = post("/v1/snapshot", snapshot.replace("100", "0"));
        assertEquals(400, invalid.status());
        assertTrue(invalid.body().path("error").asText().startsWith("a snapshot names its node"));
        Response unknown = post("/v1/snapshot", "{\"none\":1}");
        assertEquals(400, unknown.status());
        assertTrue(unknown.body().path("error").asText().startsWith("no snapshot: "));
    }

    @Test
    void membershipRequestsReportTheMemberStateAndRejectAnotherDisk() throws Exception {
        Response status = get("/v1/status");
        assertEquals(200, status.status());
        assertEquals("leader", status.body().path("role").asText());
        assertEquals("a", status.body().path("voters").get(0).asText());
        String self =
                "{\"name\":\"a\",\"disk\":\"%s\",\"peers\":\"127.0.0.1:1\",\"clients\":\"127.0.0.1:2\"}";
        Response joined = post("/v1/join", self.formatted(replica.diskId()));
        assertEquals("votes", joined.body().path("state").asText());
        Response otherDisk = post("/v1/join", self.formatted("other"));
        assertEquals(400, otherDisk.status());
        assertTrue(otherDisk.body().path("error").asText().startsWith("other-disk: "));
        Response left = post("/v1/leave", "{\"name\":\"never-there\"}");
        assertEquals(200, left.status());
        assertEquals("gone", left.body().path("state").asText());
        Response transferred = post("/v1/transfer", "{\"to\":\"a\"}");
        assertEquals(200, transferred.status());
        assertEquals("handed-over", transferred.body().path("state").asText());
    }

    @Test
    void backupIsASnapshotThatCanBeRead() throws Exception {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/v1/backup");
        Object body = handler.handle(request).get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS).body();
        assertEquals(3, GroupCodec.decodeSnapshot(assertInstanceOf(byte[].class, body)).level());
    }

    @Test
    void malformedPathsAreBadRequestsAndDoNotLeakRequestSlots() throws Exception {
        for (int i = 0; i <= ApiHandler.MAX_CONCURRENT_REQUESTS; i++) {
            assertEquals(400, get("/%zz").status());
        }
        assertEquals(200, get("/v1/leases").status());
    }
}
