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
import saltstage.lab.Home;

/** Groups of real processes that are killed, wiped, held back and cut off. */
@Timeout(value = 4, unit = TimeUnit.MINUTES)
class GroupTest {
    private static final Duration CALL = Duration.ofSeconds(30);

    @TempDir
    Path dir;

    private GroupUnderTest group(String more) throws IOException, InterruptedException {
        GroupUnderTest group = new GroupUnderTest(dir, 3, List.of(Proc.builtJar()), more).start();
        group.leader(CALL);
        return group;
    }

    private static Reply acquire(GroupClient client, String owner, long ttlMs)
            throws IOException, InterruptedException {
        return client.send(new Acquire("x", owner, ttlMs, 0, false), CALL).reply();
    }

    private static JsonNode status(GroupUnderTest group, String name)
            throws IOException, InterruptedException {
        return new GroupClient(List.of(group.places().get(group.names().indexOf(name))), Ticker.SYSTEM)
            .get("/v1/status", CALL);
    }

    /** Something that comes true, waited for far longer than it takes. */
    private interface Condition {
        boolean holds() throws IOException, InterruptedException;
    }

    private static void await(String what, Condition condition) throws IOException, InterruptedException {
        long until = System.nanoTime() + CALL.toNanos();
        while (!condition.holds()) {
            assertTrue(System.nanoTime() < until, what);
            Thread.sleep(50);
        }
    }

    @Test
    void noTwoHoldersOverlapWhileFaultsBefallThem() throws Exception {
        LeaseTrial trial = new LeaseTrial(dir, 3, 3, 7_000, List.of(Proc.builtJar()));
        LeaseTrial.Verdict verdict = trial.play(5, trial.script(5));
        assertEquals(List.of(), verdict.broken(), verdict.toString());
        assertTrue(verdict.acts() > 0 && verdict.grants() > 0, verdict.toString());
    }

    @Test
    void windowsOfTwoRegionsLeaveTheFloorWhileAgentAndLeaderAreKilled() throws Exception {
        try (WindowTrial trial = new WindowTrial(dir, List.of(Proc.builtJar()))) {
            trial.play("OUT", "kill-agent");
            trial.play("DRAINING", "kill-leader");
            assertEquals(List.of(), trial.broken());
            assertTrue(trial.least() < 12_000, "something was out");
        }
    }

    @Test
    void realRelaysGoThroughMaintenanceOneRegionAfterTheOtherAndCutNobodyOff() throws Exception {
        DemoFleetCommand demo = CommandLine.populateCommand(new DemoFleetCommand(), "--clients", "20");
        assertEquals(0, demo.call(), () -> String.valueOf(demo.broken()));
    }

    @Test
    void leaderIsReplacedThoughEachFollowerHadAskedForVotesAndHeardItAgain() throws Exception {
        try (GroupUnderTest group = group("")) {
            String leader = group.leader(CALL);
            int term = status(group, leader).path("term").asInt();
            for (String follower : group.names()) {
                if (!follower.equals(leader)) {
                    losesItsLeaderForAWhile(group, leader, follower);
                }
            }
            assertEquals(term, status(group, leader).path("term").asInt(), "it led all the time");
            group.proc(leader).kill();
            assertFalse(leader.equals(group.leader(CALL)));
        }
    }

    /** One direction is silent until the follower has noticed; the other follower still hears the leader. */
    private static void losesItsLeaderForAWhile(GroupUnderTest group, String leader, String follower)
            throws IOException, InterruptedException {
        group.link(leader, follower).ways(FaultProxy.Way.SILENT, FaultProxy.Way.CLEAR);
        await(follower + " misses its leader",
            () -> !status(group, follower).path("leader").asText().equals(leader));
        group.link(leader, follower).heal();
        await(follower + " hears it again",
            () -> status(group, follower).path("leader").asText().equals(leader));
    }

    @Test
    void leasesOutliveTheWholeGroupButAreNeverGivenTwice() throws Exception {
        try (GroupUnderTest group = group("")) {
            GroupClient client = group.client();
            long fence = assertInstanceOf(Granted.class, acquire(client, "a", 4_000)).fence();
            for (String name : group.names()) {
                group.proc(name).kill();
            }
            for (String name : group.names()) {
                group.proc(name).start();
            }
            assertInstanceOf(Held.class, acquire(client, "b", 4_000), "its time goes on, it is not over");
            Reply[] later = new Reply[1];
            await("its time comes to an end", () -> {
                later[0] = acquire(client, "b", 4_000);
                return later[0] instanceof Granted;
            });
            assertTrue(((Granted) later[0]).fence() > fence);
        }
    }

    @Test
    void minorityServesNothingAsCurrent() throws Exception {
        try (GroupUnderTest group = group("")) {
            String leader = group.leader(CALL);
            for (String other : group.names()) {
                if (!other.equals(leader)) {
                    group.proc(other).kill();
                }
            }
            GroupClient alone = new GroupClient(
                List.of(group.places().get(group.names().indexOf(leader))), Ticker.SYSTEM);
            Thread.sleep(100);
            assertUnreachable(() -> alone.get("/v1/leases", Duration.ofSeconds(3)));
            assertUnreachable(() -> alone.send(new Acquire("x", "a", 1_000, 0, false),
                Duration.ofSeconds(3)));
            assertTrue(alone.get("/v1/leases?stale=1", CALL).path("stale").asBoolean());
        }
    }

    private static void assertUnreachable(Executable call) {
        assertThrows(GroupClient.GroupUnreachableException.class, call);
    }

    @Test
    void wipedReplicaIsRefusedAndOneOfANewNameTakesItsPlace() throws Exception {
        try (GroupUnderTest group = group("")) {
            await("all are known", () -> status(group, group.leader(CALL)).path("members").size() == 3);
            String victim = group.names().stream().filter(name -> {
                try {
                    return !name.equals(group.leader(CALL));
                } catch (IOException | InterruptedException impossible) {
                    throw new IllegalStateException(impossible);
                }
            }).findFirst().orElseThrow();
            group.proc(victim).kill();
            Home.delete(dir.resolve("data").resolve(victim));
            group.proc(victim).start();
            await("it ends by itself", () -> !group.proc(victim).alive());
            assertEquals(78, group.proc(victim).exitCode());
            assertTrue(Files.readString(group.proc(victim).log().toPath()).contains("other-disk"));

            group.client().post("/v1/leave",
                GroupCodec.jsonMapper().createObjectNode().put("name", victim), CALL);
            try (Proc anew = group.joining("r4")) {
                anew.start();
                await("it votes again", () -> {
                    JsonNode now = status(group, group.leader(CALL));
                    return now.path("voters").size() == 3;
                });
            }
        }
    }

    @Test
    void whateverIsAskedGetsOneErrorAndChangesNothing() throws Exception {
        try (GroupUnderTest group = new GroupUnderTest(dir, 1, List.of(Proc.builtJar()), "").start()) {
            group.leader(CALL);
            long before = status(group, "r1").path("leases").asLong();
            String acquire = "{'client':'c','seq':1,'command':{'op':'acquire','name':'x','owner':'o',"
                + "'ttlMs':999,'priority':0,'queue':false}}";
            String plan = "{'client':'c','seq':1,'command':{'op':'set-fleet','by':'b','plan':{'slotMs':1000,"
                + "'zones':{},'regions':[null],'floors':[],'mostRegions':1,'spacingMs':0,'coldPermille':0}}}";
            for (String body : List.of("", "{", "[]", "null", "{}", acquire.replace("'seq':1", "'seq':0"),
                    acquire.replace("'ttlMs':999,", ""), acquire.replace("'x'", "null"),
                    acquire.replace("'acquire'", "'tick'"), acquire.replace("'acquire'", "'never'"),
                    acquire.replace("'o'", "'o','more':1"), plan, "x".repeat(100_000))) {
                HttpResponse<String> said = post(group, "/v1/do", body.replace('\'', '"'));
                assertEquals(400, said.statusCode(), body + " got " + said.body());
                assertTrue(GroupCodec.jsonMapper().readTree(said.body()).path("error").asText().length() > 5,
                    said.body());
            }
            assertEquals(404, post(group, "/v1/never", "{}").statusCode());
            assertEquals(413, post(group, "/v1/do", "x".repeat(3 << 20)).statusCode());
            assertEquals(before, status(group, "r1").path("leases").asLong());
            assertEquals(200, post(group, "/v1/do", acquire.replace('\'', '"')).statusCode());
        }
    }

    private static HttpResponse<String> post(GroupUnderTest group, String path, String body)
            throws IOException, InterruptedException {
        HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        return http.send(HttpRequest.newBuilder(URI.create("http://" + group.places().get(0) + path))
            .POST(HttpRequest.BodyPublishers.ofString(body)).build(), HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void damagedDiskIsRefusedAndTheOthersGoOn() throws Exception {
        try (GroupUnderTest group = group("")) {
            GroupClient client = group.client();
            for (int i = 0; i < 50; i++) {
                client.send(new Acquire("l" + i, "o", 60_000, 0, false), CALL);
            }
            group.proc("r2").kill();
            List<Path> segments;
            try (Stream<Path> files = Files.list(dir.resolve("data").resolve("r2"))) {
                segments = files.filter(f -> f.getFileName().toString().contains("seg")
                    || f.getFileName().toString().endsWith(".log")).sorted().toList();
            }
            assertFalse(segments.isEmpty());
            for (Path segment : segments) { // a stretch in the middle of what is acknowledged
                byte[] bytes = Files.readAllBytes(segment);
                for (int i = 600; i < Math.min(bytes.length, 1_800); i++) {
                    bytes[i] ^= 0x55;
                }
                Files.write(segment, bytes);
            }
            group.proc("r2").start();
            await("it ends by itself", () -> !group.proc("r2").alive());
            assertTrue(group.proc("r2").exitCode() != 0);
            assertInstanceOf(Held.class,
                client.send(new Acquire("l49", "other", 1_000, 0, false), CALL).reply());
        }
    }

    @Test
    void diskThatIsFullEndsItsReplicaAndTheOthersGoOn() throws Exception {
        try (GroupUnderTest group = new GroupUnderTest(dir, 3, List.of(Proc.builtJar()),
                "  snapshot_every = 100000\n")) {
            group.proc("r2").limitFiles(4 << 10); // KiB a file: the first segment does not fit
            group.start();
            await("it ends by itself", () -> !group.proc("r2").alive());
            assertTrue(group.proc("r2").exitCode() != 0);
            assertInstanceOf(Granted.class, acquire(group.client(), "a", 1_000));
        }
    }

    @Test
    void clockOfOneReplicaThatIsAnHourOffChangesNothing() throws Exception {
        try (GroupUnderTest group = new GroupUnderTest(dir, 3, List.of(Proc.builtJar()), "")) {
            group.more("r1", "  trial {\n    wall_off_ms = 3600000\n  }\n");
            group.more("r2", "  trial {\n    clock_percent = 101\n  }\n");
            group.start();
            await("the day is known", () -> status(group, group.leader(CALL)).path("day").asLong() > 0
                && status(group, group.leader(CALL)).path("members").size() == 3);
            for (String name : group.names()) { // each leads once, the one that is off too
                if (!name.equals(group.leader(CALL))) {
                    group.client().post("/v1/transfer",
                        GroupCodec.jsonMapper().createObjectNode().put("to", name), CALL);
                }
                Thread.sleep(500);
                long off = status(group, name).path("day").asLong() - System.currentTimeMillis();
                assertTrue(Math.abs(off) < 60_000, name + " leads, and the day is off by " + off + " ms");
            }
        }
    }

    @Test
    void groupUsesWindowsOnlyOnceEveryVoterKnowsThem() throws Exception {
        try (GroupUnderTest group = new GroupUnderTest(dir, 3, List.of(Proc.builtJar()), "")) {
            group.more("r1", "  speaks = 1\n");
            group.start();
            await("all are known", () -> status(group, group.leader(CALL)).path("members").size() == 3);
            Thread.sleep(1_000); // ticks go by; the level must not move by them
            assertEquals(1, status(group, group.leader(CALL)).path("level").asInt());
            group.proc("r1").kill();
            group.more("r1", "");
            group.proc("r1").start();
            await("all know what this build does",
                () -> status(group, "r1").path("level").asInt() == GroupState.SUPPORTED_FEATURE_LEVEL);
        }
    }
}
