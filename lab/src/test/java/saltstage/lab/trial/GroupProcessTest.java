package saltstage.lab.trial;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import saltstage.coordinator.client.GroupClient;
import saltstage.coordinator.client.Ticker;
import saltstage.coordinator.group.GroupCodec;
import saltstage.coordinator.group.GroupState;
import saltstage.coordinator.lease.LeaseCommands.Acquire;
import saltstage.coordinator.lease.LeaseReplies.Granted;
import saltstage.coordinator.lease.LeaseReplies.Held;
import saltstage.coordinator.model.Reply;
import saltstage.lab.Installation;

/**
 * Guards against lost leases, double grants and breached capacity floors in groups of real
 * processes that are killed, lose their data, are paused or cannot reach each other.
 */
@Timeout(value = 4, unit = TimeUnit.MINUTES)
class GroupProcessTest {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);

    @TempDir Path dir;

    private GroupUnderTest startGroup(String extraSettings)
            throws IOException, InterruptedException {
        GroupUnderTest group =
                new GroupUnderTest(dir, 3, List.of(TrialProcess.coordinatorJar()), extraSettings)
                        .start();
        group.leader(CALL_TIMEOUT);
        return group;
    }

    private static Reply acquire(GroupClient client, String owner, long ttlMs)
            throws IOException, InterruptedException {
        return client.send(new Acquire("x", owner, ttlMs, 0, false), CALL_TIMEOUT).reply();
    }

    private static JsonNode status(GroupUnderTest group, String name)
            throws IOException, InterruptedException {
        return new GroupClient(
                        List.of(group.clientAddresses().get(group.names().indexOf(name))),
                        Ticker.SYSTEM)
                .get("/v1/status", CALL_TIMEOUT);
    }

    /** A condition that a test waits for, with a timeout far above the expected time. */
    private interface Condition {
        boolean holds() throws IOException, InterruptedException;
    }

    private static void await(String description, Condition condition)
            throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + CALL_TIMEOUT.toNanos();
        while (!condition.holds()) {
            assertTrue(System.nanoTime() < deadlineNanos, description);
            Thread.sleep(50);
        }
    }

    @Test
    void noTwoHoldersOverlapUnderFaults() throws Exception {
        LeaseTrial trial = new LeaseTrial(dir, 3, 3, 7_000, List.of(TrialProcess.coordinatorJar()));
        LeaseTrial.Verdict verdict = trial.run(5, trial.randomFaults(5));
        assertEquals(List.of(), verdict.violations(), verdict.toString());
        assertTrue(verdict.operationCount() > 0 && verdict.grantCount() > 0, verdict.toString());
    }

    @Test
    void windowsOfTwoRegionsKeepTheFloorWhileAgentAndLeaderAreKilled() throws Exception {
        try (WindowTrial trial = new WindowTrial(dir, List.of(TrialProcess.coordinatorJar()))) {
            trial.runCase("OUT", "kill-agent");
            trial.runCase("DRAINING", "kill-leader");
            assertEquals(List.of(), trial.violations());
            assertTrue(trial.minCapacity() < 12_000, "some node was suspended");
        }
    }

    @Test
    void regionsWithRealRelaysAreMaintainedInTurnWithoutBreakingConnections() throws Exception {
        DemoFleetCommand demo =
                CommandLine.populateCommand(new DemoFleetCommand(), "--clients", "20");
        assertEquals(0, demo.call(), () -> String.valueOf(demo.violations()));
    }

    @Test
    void leaderIsReplacedAfterEachFollowerHadTemporarilyLostIt() throws Exception {
        try (GroupUnderTest group = startGroup("")) {
            String leader = group.leader(CALL_TIMEOUT);
            int term = status(group, leader).path("term").asInt();
            for (String follower : group.names()) {
                if (!follower.equals(leader)) {
                    interruptLeader(group, leader, follower);
                }
            }
            assertEquals(
                    term, status(group, leader).path("term").asInt(), "the leader did not change");
            group.process(leader).kill();
            assertFalse(leader.equals(group.leader(CALL_TIMEOUT)));
        }
    }

    /**
     * Silences the link from the leader to a follower until the follower has noticed it. The other
     * follower still receives heartbeats from the leader.
     */
    private static void interruptLeader(GroupUnderTest group, String leader, String follower)
            throws IOException, InterruptedException {
        group.replicaLink(leader, follower)
                .setFaults(FaultProxy.DirectionFault.SILENT, FaultProxy.DirectionFault.CLEAR);
        await(
                follower + " notices that its leader is silent",
                () -> !status(group, follower).path("leader").asText().equals(leader));
        group.replicaLink(leader, follower).heal();
        await(
                follower + " recognizes the leader again",
                () -> status(group, follower).path("leader").asText().equals(leader));
    }

    @Test
    void leasesSurviveAFullRestartAndAreNeverGrantedTwice() throws Exception {
        try (GroupUnderTest group = startGroup("")) {
            GroupClient client = group.client();
            long fencingToken =
                    assertInstanceOf(Granted.class, acquire(client, "a", 4_000)).fence();
            for (String name : group.names()) {
                group.process(name).kill();
            }
            for (String name : group.names()) {
                group.process(name).start();
            }
            assertInstanceOf(
                    Held.class,
                    acquire(client, "b", 4_000),
                    "the lease continues and has not expired");
            Reply[] laterReply = new Reply[1];
            await(
                    "the lease expires",
                    () -> {
                        laterReply[0] = acquire(client, "b", 4_000);
                        return laterReply[0] instanceof Granted;
                    });
            assertTrue(((Granted) laterReply[0]).fence() > fencingToken);
        }
    }

    @Test
    void minorityAnswersOnlyStaleReads() throws Exception {
        try (GroupUnderTest group = startGroup("")) {
            String leader = group.leader(CALL_TIMEOUT);
            for (String other : group.names()) {
                if (!other.equals(leader)) {
                    group.process(other).kill();
                }
            }
            GroupClient leaderOnly =
                    new GroupClient(
                            List.of(group.clientAddresses().get(group.names().indexOf(leader))),
                            Ticker.SYSTEM);
            Thread.sleep(100);
            assertUnreachable(() -> leaderOnly.get("/v1/leases", Duration.ofSeconds(3)));
            assertUnreachable(
                    () ->
                            leaderOnly.send(
                                    new Acquire("x", "a", 1_000, 0, false), Duration.ofSeconds(3)));
            assertTrue(
                    leaderOnly.get("/v1/leases?stale=1", CALL_TIMEOUT).path("stale").asBoolean());
        }
    }

    private static void assertUnreachable(Executable call) {
        assertThrows(GroupClient.GroupUnreachableException.class, call);
    }

    @Test
    void wipedReplicaIsRejectedAndOneWithANewNameReplacesIt() throws Exception {
        try (GroupUnderTest group = startGroup("")) {
            await(
                    "all replicas are known to the leader",
                    () -> status(group, group.leader(CALL_TIMEOUT)).path("members").size() == 3);
            String victim =
                    group.names().stream()
                            .filter(
                                    name -> {
                                        try {
                                            return !name.equals(group.leader(CALL_TIMEOUT));
                                        } catch (IOException | InterruptedException failure) {
                                            throw new IllegalStateException(failure);
                                        }
                                    })
                            .findFirst()
                            .orElseThrow();
            group.process(victim).kill();
            Installation.deleteRecursively(dir.resolve("data").resolve(victim));
            group.process(victim).start();
            await("the replica stops", () -> !group.process(victim).isAlive());
            assertEquals(78, group.process(victim).exitCode());
            assertTrue(
                    Files.readString(group.process(victim).logFile().toPath())
                            .contains("other-disk"));

            group.client()
                    .post(
                            "/v1/leave",
                            GroupCodec.jsonMapper().createObjectNode().put("name", victim),
                            CALL_TIMEOUT);
            try (TrialProcess replacement = group.newJoiningProcess("r4")) {
                replacement.start();
                await(
                        "the group has three voters again",
                        () -> {
                            JsonNode status = status(group, group.leader(CALL_TIMEOUT));
                            return status.path("voters").size() == 3;
                        });
            }
        }
    }

    @Test
    void invalidRequestsGetAnErrorAndChangeNothing() throws Exception {
        try (GroupUnderTest group =
                new GroupUnderTest(dir, 1, List.of(TrialProcess.coordinatorJar()), "").start()) {
            group.leader(CALL_TIMEOUT);
            long leasesBefore = status(group, "r1").path("leases").asLong();
            String acquire =
                    "{'client':'c','seq':1,'command':{'op':'acquire','name':'x','owner':'o',"
                            + "'ttlMs':999,'priority':0,'queue':false}}";
            String plan =
                    "{'client':'c','seq':1,'command':{'op':'set-fleet','by':'b','plan':{'slotMs':1000,"
                        + "'zones':{},'regions':[null],'floors':[],"
                        + "'mostRegions':1,'spacingMs':0,'coldPermille':0}}}";
            for (String body :
                    List.of(
                            "",
                            "{",
                            "[]",
                            "null",
                            "{}",
                            acquire.replace("'seq':1", "'seq':0"),
                            acquire.replace("'ttlMs':999,", ""),
                            acquire.replace("'x'", "null"),
                            acquire.replace("'acquire'", "'tick'"),
                            acquire.replace("'acquire'", "'never'"),
                            acquire.replace("'o'", "'o','more':1"),
                            plan,
                            "x".repeat(100_000))) {
                HttpResponse<String> response = post(group, "/v1/do", body.replace('\'', '"'));
                assertEquals(400, response.statusCode(), body + " got " + response.body());
                assertTrue(
                        GroupCodec.jsonMapper()
                                        .readTree(response.body())
                                        .path("error")
                                        .asText()
                                        .length()
                                > 5,
                        response.body());
            }
            assertEquals(404, post(group, "/v1/never", "{}").statusCode());
            assertEquals(413, post(group, "/v1/do", "x".repeat(3 << 20)).statusCode());
            assertEquals(leasesBefore, status(group, "r1").path("leases").asLong());
            assertEquals(200, post(group, "/v1/do", acquire.replace('\'', '"')).statusCode());
        }
    }

    private static HttpResponse<String> post(GroupUnderTest group, String path, String body)
            throws IOException, InterruptedException {
        HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        return http.send(
                HttpRequest.newBuilder(
                                URI.create("http://" + group.clientAddresses().get(0) + path))
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void replicaWithADamagedDiskStopsAndTheOthersContinue() throws Exception {
        try (GroupUnderTest group = startGroup("")) {
            GroupClient client = group.client();
            for (int i = 0; i < 50; i++) {
                client.send(new Acquire("l" + i, "o", 60_000, 0, false), CALL_TIMEOUT);
            }
            group.process("r2").kill();
            List<Path> segments;
            try (Stream<Path> files = Files.list(dir.resolve("data").resolve("r2"))) {
                segments =
                        files.filter(
                                        file ->
                                                file.getFileName().toString().contains("seg")
                                                        || file.getFileName()
                                                                .toString()
                                                                .endsWith(".log"))
                                .sorted()
                                .toList();
            }
            assertFalse(segments.isEmpty());
            for (Path segment : segments) { // damage bytes in the middle of acknowledged entries
                byte[] bytes = Files.readAllBytes(segment);
                for (int i = 600; i < Math.min(bytes.length, 1_800); i++) {
                    bytes[i] ^= 0x55;
                }
                Files.write(segment, bytes);
            }
            group.process("r2").start();
            await("the replica stops", () -> !group.process("r2").isAlive());
            assertTrue(group.process("r2").exitCode() != 0);
            assertInstanceOf(
                    Held.class,
                    client.send(new Acquire("l49", "other", 1_000, 0, false), CALL_TIMEOUT)
                            .reply());
        }
    }

    @Test
    void replicaWithAFullDiskStopsAndTheOthersContinue() throws Exception {
        try (GroupUnderTest group =
                new GroupUnderTest(
                        dir,
                        3,
                        List.of(TrialProcess.coordinatorJar()),
                        "  snapshot_every = 100000\n")) {
            group.process("r2").limitFileSize(4 << 10); // in KiB; the first segment does not fit
            group.start();
            await("the replica stops", () -> !group.process("r2").isAlive());
            assertTrue(group.process("r2").exitCode() != 0);
            assertInstanceOf(Granted.class, acquire(group.client(), "a", 1_000));
        }
    }

    @Test
    void oneReplicasWallClockAnHourOffChangesNothing() throws Exception {
        try (GroupUnderTest group =
                new GroupUnderTest(dir, 3, List.of(TrialProcess.coordinatorJar()), "")) {
            group.setExtraSettings("r1", "  trial {\n    wall_off_ms = 3600000\n  }\n");
            group.setExtraSettings("r2", "  trial {\n    clock_percent = 101\n  }\n");
            group.start();
            await(
                    "the group knows the wall-clock time",
                    () ->
                            status(group, group.leader(CALL_TIMEOUT)).path("day").asLong() > 0
                                    && status(group, group.leader(CALL_TIMEOUT))
                                                    .path("members")
                                                    .size()
                                            == 3);
            // Each replica leads once, also the one whose clock is off.
            for (String name : group.names()) {
                if (!name.equals(group.leader(CALL_TIMEOUT))) {
                    group.client()
                            .post(
                                    "/v1/transfer",
                                    GroupCodec.jsonMapper().createObjectNode().put("to", name),
                                    CALL_TIMEOUT);
                }
                Thread.sleep(500);
                long offsetMs =
                        status(group, name).path("day").asLong() - System.currentTimeMillis();
                assertTrue(
                        Math.abs(offsetMs) < 60_000,
                        name + " leads, and the group's time is off by " + offsetMs + " ms");
            }
        }
    }

    @Test
    void groupUsesWindowsOnlyOnceEveryVoterSupportsThem() throws Exception {
        try (GroupUnderTest group =
                new GroupUnderTest(dir, 3, List.of(TrialProcess.coordinatorJar()), "")) {
            group.setExtraSettings("r1", "  speaks = 1\n");
            group.start();
            await(
                    "all replicas are known to the leader",
                    () -> status(group, group.leader(CALL_TIMEOUT)).path("members").size() == 3);
            Thread.sleep(1_000); // ticks alone must not raise the feature level
            assertEquals(1, status(group, group.leader(CALL_TIMEOUT)).path("level").asInt());
            group.process("r1").kill();
            group.setExtraSettings("r1", "");
            group.process("r1").start();
            await(
                    "all replicas are known to support the current feature level",
                    () ->
                            status(group, "r1").path("level").asInt()
                                    == GroupState.SUPPORTED_FEATURE_LEVEL);
        }
    }
}
