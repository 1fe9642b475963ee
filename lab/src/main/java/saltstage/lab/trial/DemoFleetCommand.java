package saltstage.lab.trial;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltstage.coordinator.client.GroupClient;
import saltstage.coordinator.group.GroupCodec;
import saltstage.coordinator.model.Acknowledgement;
import saltstage.coordinator.model.Reply;
import saltstage.coordinator.settings.FleetSettings;
import saltstage.coordinator.window.Window;
import saltstage.coordinator.window.WindowCommands;
import saltstage.coordinator.window.WindowReplies;
import saltstage.coordinator.window.WindowRequest;
import saltstage.lab.Installation;

/**
 * Demonstrates a whole fleet: three coordinators and two regions, each with an agent, a relay,
 * backends and clients. Both regions request a maintenance window for most of their backends at the
 * same time, but the capacity floor allows only one of the windows. The leader and an agent are
 * killed meanwhile. Then configuration changes are propagated to followers while the leader is
 * killed. The command exits with 1 if the capacity fell below the floor, a client lost its
 * connection, maintenance work began too early, or a change was not applied.
 */
@Command(
        name = "demo-fleet",
        mixinStandardHelpOptions = true,
        description = "Maintains two regions while a leader and an agent are killed.")
public final class DemoFleetCommand implements Callable<Integer> {
    private static final int NODES_PER_REGION = 4;
    private static final long FLOOR_NODES = 5;
    private static final long DRAIN_MS = 3_000;
    private static final long WORK_MS = 4_000;
    private static final long WARM_UP_MS = 4_000;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(15);
    private static final Duration MAX_DURATION = Duration.ofSeconds(100);

    @Option(
            names = "--clients",
            defaultValue = "40",
            description = "clients in each region (default 40)")
    private int clientCount;

    private final Map<String, RealRegion> regions = new LinkedHashMap<>();
    private final Map<String, TrialProcess> agents = new LinkedHashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final List<String> unprintedEvents = new ArrayList<>();
    private long minCapacity = Long.MAX_VALUE;
    private long lastPrintedMs = -1_000;

    /** Returns the violations found; empty if every check passed. */
    public List<String> violations() {
        return violations;
    }

    @Override
    public Integer call() throws Exception {
        Path dir = Files.createTempDirectory("demo-fleet");
        try (GroupUnderTest group =
                new GroupUnderTest(dir, 3, List.of(TrialProcess.coordinatorJar()), "").start()) {
            group.leader(Duration.ofSeconds(20));
            for (String name : List.of("kita", "minami")) {
                regions.put(
                        name, new RealRegion(name, dir, NODES_PER_REGION, clientCount, WARM_UP_MS));
                agents.put(name, startAgent(name, dir, group));
            }
            runWindows(group);
            group.heal();
            try (ConfigurationDemo configuration = new ConfigurationDemo(dir, group)) {
                if (!configuration.run()) {
                    violations.add("configuration");
                }
            }
        } finally {
            for (TrialProcess agent : agents.values()) {
                agent.close();
            }
            for (RealRegion region : regions.values()) {
                region.close();
            }
        }
        System.out.println(
                "minimum capacity "
                        + minCapacity / 1_000.0
                        + " of "
                        + 2 * NODES_PER_REGION
                        + " backends, floor "
                        + FLOOR_NODES
                        + (violations.isEmpty()
                                ? ": kept"
                                : ": VIOLATIONS " + violations + ", files kept in " + dir));
        if (violations.isEmpty()) {
            Installation.deleteRecursively(dir);
        }
        return violations.isEmpty() ? 0 : 1;
    }

    private TrialProcess startAgent(String name, Path dir, GroupUnderTest group)
            throws IOException, InterruptedException {
        return TrialProcess.coordinator(
                        "agent-" + name,
                        TrialProcess.coordinatorJar(),
                        dir,
                        List.of(
                                "agent",
                                "--at",
                                String.join(",", group.clientAddresses()),
                                "--agent",
                                regions.get(name).fakeRegion().writeAgentSettings(dir).toString()))
                .start();
    }

    private void runWindows(GroupUnderTest group) throws Exception {
        GroupClient client = group.client();
        StringBuilder fleet =
                new StringBuilder("fleet {\n  slot = \"200ms\"\n  most_regions = 2\n");
        regions.values().forEach(region -> fleet.append(region.fakeRegion().fleetSettings()));
        fleet.append(
                "  floor \"all\" {\n    regions = [\"kita\", \"minami\"]\n    least = "
                        + FLOOR_NODES
                        + "\n  }\n}\n");
        Reply reply = null;
        for (int i = 0; i < 100 && !(reply instanceof Acknowledgement); i++) {
            reply =
                    client.send(
                                    new WindowCommands.SetFleet(
                                            FleetSettings.parse(
                                                    "fleet", fleet.toString(), Instant.now()),
                                            "demo"),
                                    CALL_TIMEOUT)
                            .reply();
            Thread.sleep(100);
        }
        Thread.sleep(2_000); // time for the clients to connect
        Map<Long, Window> windows = new LinkedHashMap<>();
        for (String region : regions.keySet()) {
            Window window = propose(client, region);
            windows.put(window.id(), window);
            unprintedEvents.add(
                    "proposed "
                            + window.id()
                            + " in "
                            + region
                            + ", planned for "
                            + Instant.ofEpochMilli(window.start())
                            + " ("
                            + window.why()
                            + ")");
        }
        watchWindows(group, client, windows);
    }

    private Window propose(GroupClient client, String region)
            throws IOException, InterruptedException {
        long now = System.currentTimeMillis();
        List<String> nodes =
                regions.get(region).fakeRegion().nodeNames().subList(0, NODES_PER_REGION - 1);
        WindowRequest request =
                new WindowRequest(
                        region,
                        nodes,
                        DRAIN_MS,
                        WORK_MS,
                        WARM_UP_MS,
                        now,
                        now + 600_000,
                        0,
                        false,
                        false,
                        List.of(),
                        List.of(),
                        "demo",
                        "new kernel");
        Reply reply = client.send(new WindowCommands.Propose(request), CALL_TIMEOUT).reply();
        if (reply instanceof WindowReplies.Planned planned) {
            return planned.windows().get(0);
        }
        throw new IOException("not planned: " + reply);
    }

    private void watchWindows(GroupUnderTest group, GroupClient client, Map<Long, Window> windows)
            throws Exception {
        long startNanos = System.nanoTime();
        boolean agentKilled = false;
        boolean leaderKilled = false;
        String killedLeader = null;
        for (boolean allDone = false; !allDone; Thread.sleep(250)) {
            allDone = true;
            for (JsonNode row : client.get("/v1/windows", CALL_TIMEOUT).path("windows")) {
                Window window = GroupCodec.jsonMapper().treeToValue(row, Window.class);
                Window previous = windows.put(window.id(), window);
                if (previous == null || previous.state() != window.state()) {
                    unprintedEvents.add(
                            "window " + window.id() + " " + window.state() + ": " + window.why());
                    checkEmpty(window);
                }
                allDone &= window.state() == Window.State.DONE;
                if (window.state() == Window.State.OUT && !agentKilled) {
                    agentKilled = true;
                    restartAgent(window.wish().region());
                }
                if (window.state() == Window.State.WARMING && !leaderKilled) {
                    leaderKilled = true;
                    killedLeader = group.leader(CALL_TIMEOUT);
                    group.process(killedLeader).kill();
                    unprintedEvents.add("leader " + killedLeader + " killed");
                } else if (killedLeader != null
                        && !group.process(killedLeader).isAlive()
                        && window.state() == Window.State.DONE) {
                    group.process(killedLeader).start();
                    unprintedEvents.add(killedLeader + " restarted");
                }
            }
            printStatus((System.nanoTime() - startNanos) / 1_000_000);
            if (System.nanoTime() - startNanos > MAX_DURATION.toNanos()) {
                violations.add(
                        "not done within " + MAX_DURATION.toSeconds() + " s: " + windows.values());
                return;
            }
        }
        checkNoClientBroken();
    }

    private void restartAgent(String region) throws IOException, InterruptedException {
        TrialProcess agent = agents.get(region);
        agent.kill();
        agent.start();
        unprintedEvents.add("agent of " + region + " killed and restarted");
    }

    private void checkNoClientBroken() {
        regions.forEach(
                (name, region) -> {
                    if (region.clients().brokenCount() > 0) {
                        violations.add(
                                region.clients().brokenCount()
                                        + " clients lost their connection in "
                                        + name);
                    }
                });
    }

    /** Checks that no client is connected to the nodes of a window in which work begins. */
    private void checkEmpty(Window window) {
        if (window.state() != Window.State.OUT) {
            return;
        }
        RealRegion region = regions.get(window.wish().region());
        for (String node : window.wish().nodes()) {
            if (region.establishedCount(node) > 0) {
                violations.add(
                        "window "
                                + window.id()
                                + " began work with "
                                + region.establishedCount(node)
                                + " clients at "
                                + node);
            }
        }
    }

    private void printStatus(long elapsedMs) {
        long capacity =
                regions.values().stream().mapToLong(r -> r.fakeRegion().capacity(false)).sum();
        minCapacity = Math.min(minCapacity, capacity);
        if (capacity < FLOOR_NODES * 1_000) {
            violations.add(
                    "at " + elapsedMs + " ms " + capacity + " thousandths of a backend are left");
        }
        if (unprintedEvents.isEmpty() && elapsedMs - lastPrintedMs < 1_000) {
            return;
        }
        lastPrintedMs = elapsedMs;
        StringBuilder text = new StringBuilder();
        regions.forEach(
                (name, region) ->
                        text.append(name)
                                .append(" out ")
                                .append(region.fakeRegion().suspendedNodes())
                                .append(" clients ")
                                .append(region.clients().establishedCount())
                                .append("  "));
        System.out.printf(
                "%6.2f s  %5.2f of %d, floor %d  %s%s%n",
                elapsedMs / 1_000.0,
                capacity / 1_000.0,
                2 * NODES_PER_REGION,
                FLOOR_NODES,
                text,
                unprintedEvents.isEmpty() ? "" : "  <- " + String.join("; ", unprintedEvents));
        unprintedEvents.clear();
    }
}
