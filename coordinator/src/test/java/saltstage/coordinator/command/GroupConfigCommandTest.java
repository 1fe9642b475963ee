package saltstage.coordinator.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.ErrorResponse;
import saltstage.configuration.SnapshotPage;
import saltstage.coordinator.api.ApiHandler;
import saltstage.coordinator.api.HttpListener;
import saltstage.coordinator.configuration.ConfigurationCommands;
import saltstage.coordinator.group.GroupCodec;
import saltstage.coordinator.group.GroupState;
import saltstage.coordinator.replica.Replica;
import saltstage.coordinator.replica.ReplicaSettings;
import saltstage.net.NettyTransport;
import saltstage.store.FileDisk;
import saltstage.store.Store;
import saltstage.store.StoreEventListener;
import saltstage.store.StoreOptions;

/** Tests the configuration commands and the HTTP read API against a group of one replica. */
class GroupConfigCommandTest {
    private static final int ENGINE_CLOCK_SPEED = 7;
    private static final long TEST_TIMEOUT_SECONDS = 20;
    private static final String BACKEND_VALUE = "address=10.0.0.7:4100,zone=a1";

    @TempDir Path dir;

    private final HttpClient http = HttpClient.newHttpClient();
    private final InetSocketAddress clientAddress = freeAddress();
    private Replica replica;
    private HttpListener listener;
    private String capturedOut;
    private String capturedErr;

    private static InetSocketAddress freeAddress() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @BeforeEach
    void startGroup() throws Exception {
        ReplicaSettings settings =
                new ReplicaSettings(
                        "g",
                        "a",
                        List.of("a"),
                        freeAddress(),
                        clientAddress,
                        Map.of(),
                        Map.of(),
                        dir,
                        ENGINE_CLOCK_SPEED,
                        10_000,
                        4_096,
                        GroupState.SUPPORTED_FEATURE_LEVEL,
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
                        (code, why) -> System.err.println("replica ended: " + code + " " + why));
        listener = new HttpListener(clientAddress, new ApiHandler(replica));
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TEST_TIMEOUT_SECONDS);
        while (body(get("/v1/status")).path("level").asInt()
                < ConfigurationCommands.MIN_FEATURE_LEVEL) {
            assertTrue(
                    System.nanoTime() < deadline,
                    "the feature level of the group has not risen in time");
            Thread.sleep(50);
        }
    }

    @AfterEach
    void stopGroup() throws Exception {
        listener.close();
        replica.close();
    }

    private URI uri(String path) {
        return URI.create("http://127.0.0.1:" + clientAddress.getPort() + path);
    }

    private HttpResponse<String> get(String path) throws Exception {
        return http.send(
                HttpRequest.newBuilder(uri(path)).build(), HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> post(String path, String body) throws Exception {
        return http.send(
                HttpRequest.newBuilder(uri(path))
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private static JsonNode body(HttpResponse<String> response) throws Exception {
        return GroupCodec.jsonMapper().readTree(response.body());
    }

    private int runCommand(String... arguments) {
        String[] commandLine = new String[arguments.length + 3];
        commandLine[0] = "config";
        System.arraycopy(arguments, 0, commandLine, 1, arguments.length);
        commandLine[arguments.length + 1] = "--at";
        commandLine[arguments.length + 2] = "127.0.0.1:" + clientAddress.getPort();
        PrintStream originalOut = System.out;
        PrintStream originalErr = System.err;
        ByteArrayOutputStream outBuffer = new ByteArrayOutputStream();
        ByteArrayOutputStream errBuffer = new ByteArrayOutputStream();
        System.setOut(new PrintStream(outBuffer, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(errBuffer, true, StandardCharsets.UTF_8));
        try {
            return Coordinator.run(commandLine);
        } finally {
            System.setOut(originalOut);
            System.setErr(originalErr);
            capturedOut = outBuffer.toString(StandardCharsets.UTF_8);
            capturedErr = errBuffer.toString(StandardCharsets.UTF_8);
        }
    }

    @Test
    void entriesArePutReadRejectedAndRolledBack() throws Exception {
        assertEquals(
                0,
                runCommand("put", "backend/gw-1", BACKEND_VALUE, "shard/t/1", "gw-1"),
                () -> capturedErr);
        assertEquals("revision 1, 2 changed\n", capturedOut);
        assertEquals(1, runCommand("put", "shard/t/1", "gw-2"));
        assertTrue(
                capturedErr.contains("shard/t/1: 'gw-2' is not accepted; the identifier"),
                capturedErr);
        assertEquals(1, runCommand("put", "shard/t/1", "gw-1", "--expect", "shard/t/1=7"));
        assertTrue(capturedErr.contains("it is at revision 1"), capturedErr);
        Path file = dir.resolve("change.json");
        Files.writeString(
                file, "{\"mutations\":[{\"key\":\"shard/t/2\",\"shard\":{\"backend\":\"gw-1\"}}]}");
        assertEquals(
                0,
                runCommand(
                        "put",
                        "--file",
                        file.toString(),
                        "--delete",
                        "shard/t/1",
                        "--expect",
                        "shard/t/1=1",
                        "--by",
                        "bea"));
        assertEquals(0, runCommand("get", "shard/"));
        assertEquals("shard/t/2 gw-1 (revision 2)\n", capturedOut);
        assertEquals(1, runCommand("get", "suspension/"));
        assertEquals(0, runCommand("history"));
        assertTrue(
                capturedOut.contains("bea, 2 changed\n  shard/t/1 deleted\n  shard/t/2 gw-1"),
                capturedOut);
        assertEquals(1, runCommand("rollback", "9"));
        assertEquals(0, runCommand("rollback", "1"), () -> capturedErr);
        assertEquals(0, runCommand("get", "--json"));
        SnapshotPage page = ConfigurationJson.parseSnapshotPage(capturedOut.trim());
        assertEquals(3, page.revision());
        assertEquals(2, page.entries().size());
        assertEquals(0, runCommand("rollback", "1"));
        assertTrue(capturedOut.contains("all is as it was"), capturedOut);
        assertEquals(2, runCommand("get", "--none"));
        assertEquals(1, runCommand("put", "planet/x", "1"));
    }

    @Test
    void followerRequestsGetTheDocumentedStatuses() throws Exception {
        runCommand("put", "backend/gw-1", BACKEND_VALUE);
        String zeroDigest = "0000000000000000";
        HttpResponse<String> changes =
                get("/v1/configuration/changes?after=0&digest=" + zeroDigest);
        assertEquals(200, changes.statusCode());
        String digest =
                ConfigurationJson.formatDigest(
                        ConfigurationJson.parseChanges(changes.body()).digest());
        assertError(409, "diverged", "changes?after=1&digest=" + zeroDigest);
        assertError(421, "behind", "changes?after=2&digest=" + digest);
        assertError(410, "truncated", "snapshot?revision=77");
        assertEquals(400, get("/v1/configuration/changes?after=1").statusCode());
        assertEquals(400, get("/v1/configuration/snapshot?from=x").statusCode());
        HttpResponse<String> snapshot = get("/v1/configuration/snapshot?revision=0&limit=1");
        assertEquals(
                digest,
                ConfigurationJson.formatDigest(
                        ConfigurationJson.parseSnapshotPage(snapshot.body()).digest()));
        long startNanos = System.nanoTime();
        HttpResponse<String> unchanged =
                get("/v1/configuration/changes?after=1&waitMs=300&digest=" + digest);
        assertTrue(System.nanoTime() - startNanos >= TimeUnit.MILLISECONDS.toNanos(300));
        assertEquals(0, ConfigurationJson.parseChanges(unchanged.body()).changes().size());
        CompletableFuture<HttpResponse<String>> pending =
                http.sendAsync(
                        HttpRequest.newBuilder(
                                        uri(
                                                "/v1/configuration/changes?after=1&waitMs=3000&digest="
                                                        + digest))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        runCommand("put", "shard/t/1", "gw-1");
        String pendingBody = pending.get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS).body();
        assertEquals(2, ConfigurationJson.parseChanges(pendingBody).changes().get(0).revision());
    }

    private void assertError(int status, String error, String path) throws Exception {
        HttpResponse<String> response = get("/v1/configuration/" + path);
        assertEquals(status, response.statusCode());
        assertEquals(new ErrorResponse(error, 1, 0), ConfigurationJson.parseError(response.body()));
    }

    @Test
    void reportsAreShownForTheRequestedRevision() throws Exception {
        runCommand("put", "backend/gw-1", BACKEND_VALUE);
        String report =
                "{\"distributor\":\"d1\",\"zone\":\"a1\",\"revision\":1,\"confirmedByRevision\":"
                        + "{\"1\":190,\"0\":5},\"followers\":195,\"behind\":[{\"follower\":\"r7\","
                        + "\"revision\":0,\"sinceMs\":400}]}";
        assertEquals(200, post("/v1/configuration/reports", report).statusCode());
        String reportWithoutZone = report.replace("\"zone\":\"a1\",", "");
        assertEquals(400, post("/v1/configuration/reports", reportWithoutZone).statusCode());
        JsonNode status = body(get("/v1/configuration/status"));
        assertEquals(1, status.path("asked").asLong());
        assertEquals(190, status.path("zones").path(0).path("confirmed").asInt());
        assertEquals(0, runCommand("status"));
        assertTrue(capturedOut.contains("a1 by d1: 190 of 195 have it"), capturedOut);
        assertTrue(capturedOut.contains("  r7 is at 0, behind for "), capturedOut);
    }

    @Test
    void watchPrintsEachChangeAndNoGroupIsExitCode69() throws Exception {
        runCommand("put", "backend/gw-1", BACKEND_VALUE);
        CompletableFuture<Integer> watch =
                CompletableFuture.supplyAsync(() -> runCommand("watch", "--changes", "1"));
        Thread.sleep(500);
        String change =
                "{\"client\":\"w\",\"seq\":%d,\"command\":{\"op\":\"change-configuration\",\"author\":"
                    + "\"ana\",\"expected\":{},\"mutations\":[{\"key\":\"shard/t/%d\",\"shard\":"
                    + "{\"backend\":\"gw-1\"}}]}}";
        for (int seq = 1; !watch.isDone() && seq < 100; seq++) {
            post("/v1/do", String.format(change, seq, seq));
            Thread.sleep(100);
        }
        assertEquals(0, watch.get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertTrue(capturedOut.matches("revision \\d+\n  shard/t/\\d+ gw-1\n"), capturedOut);
        String unusedAddress = "127.0.0.1:" + freeAddress().getPort();
        assertEquals(
                ExitCode.UNREACHABLE,
                Coordinator.run("config", "get", "--within", "200ms", "--at", unusedAddress));
    }
}
