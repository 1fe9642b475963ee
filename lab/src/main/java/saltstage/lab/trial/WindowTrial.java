package saltstage.lab.trial;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltstage.coordinator.client.GroupClient;
import saltstage.coordinator.group.GroupCodec;
import saltstage.coordinator.model.Reply;
import saltstage.coordinator.settings.FleetSettings;
import saltstage.coordinator.window.Window;
import saltstage.coordinator.window.WindowCommands;
import saltstage.coordinator.window.WindowReplies;
import saltstage.coordinator.window.WindowRequest;
import saltstage.wire.MalformedException;

/**
 * Runs maintenance windows in a group with three regions under faults. Two regions request windows
 * for the same time, but the capacity floor allows only one of them. Each case combines a step of a
 * window with a fault: the fault is injected when the first window reaches the step. Both windows
 * must still complete, and the capacity that the simulated regions record must never be below the
 * floor.
 */
public final class WindowTrial implements AutoCloseable {
    private static final int NODES_PER_REGION = 4;
    private static final long DRAIN_MS = 600;
    private static final long WORK_MS = 1_200;
    private static final long WARM_UP_MS = 1_000;
    private static final long FLOOR_NODES = 9;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(15);
    private static final Duration STEP_TIMEOUT = Duration.ofSeconds(60);

    /** The window steps at which a fault is injected. */
    public static final List<String> STEPS =
            List.of("PLANNED", "DRAINING", "OUT", "WARMING", "RETURNING");

    /** The faults that can be injected. */
    public static final List<String> FAULTS =
            List.of("kill-leader", "kill-agent", "pause-agent", "relay-away", "node-dead");

    private final GroupUnderTest group;
    private final GroupClient client;
    private final Map<String, FakeRegion> regions = new LinkedHashMap<>();
    private final Map<String, TrialProcess> agents = new LinkedHashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final Thread sampler = new Thread(this::sampleCapacity, "sampler");
    private volatile boolean stopped;
    private volatile String currentCase = "start";
    private volatile long minCapacity = Long.MAX_VALUE;
    private int round;

    /**
     * Starts the processes in a directory; each replica runs the jar at its position in the list.
     */
    public WindowTrial(Path dir, List<Path> jars) throws IOException, InterruptedException {
        group = new GroupUnderTest(dir, 3, jars, "").start();
        StringBuilder fleet =
                new StringBuilder("fleet {\n  slot = \"100ms\"\n  most_regions = 3\n");
        for (String name : List.of("a", "b", "c")) {
            FakeRegion region = new FakeRegion(name, NODES_PER_REGION, 2, WARM_UP_MS);
            regions.put(name, region);
            fleet.append(region.fleetSettings());
        }
        fleet.append("  floor \"all\" {\n    regions = [\"a\", \"b\", \"c\"]\n    least = ")
                .append(FLOOR_NODES)
                .append("\n  }\n}\n");
        group.leader(Duration.ofSeconds(20));
        client = group.client();
        setFleet(fleet.toString());
        for (FakeRegion region : regions.values()) {
            startAgent(dir, region, region.name());
        }
        startAgent(dir, regions.get("a"), "a-successor");
        sampler.setDaemon(true);
        sampler.start();
    }

    private void setFleet(String fleet) throws IOException, InterruptedException {
        Reply reply = null;
        for (int i = 0;
                i < 100 && !(reply instanceof saltstage.coordinator.model.Acknowledgement);
                i++) {
            try {
                reply =
                        client.send(
                                        new WindowCommands.SetFleet(
                                                FleetSettings.parse(
                                                        "fleet.hcl", fleet, Instant.now()),
                                                "trial"),
                                        CALL_TIMEOUT)
                                .reply(); // rejected until every voter supports windows
            } catch (MalformedException malformed) {
                throw new IOException(malformed);
            }
            Thread.sleep(100);
        }
    }

    private void startAgent(Path dir, FakeRegion region, String agentName) throws IOException {
        agents.put(
                agentName,
                TrialProcess.coordinator(
                                "agent-" + agentName,
                                TrialProcess.coordinatorJar(),
                                dir,
                                List.of(
                                        "agent",
                                        "--at",
                                        String.join(",", group.clientLinkAddresses()),
                                        "--agent",
                                        region.writeAgentSettings(dir).toString()))
                        .start());
    }

    private void sampleCapacity() {
        while (!stopped) {
            long capacity = regions.values().stream().mapToLong(r -> r.capacity(false)).sum();
            minCapacity = Math.min(minCapacity, capacity);
            if (capacity < FLOOR_NODES * 1_000) {
                synchronized (violations) {
                    if (violations.size() < 20) {
                        violations.add(
                                currentCase + ": " + capacity + " of " + FLOOR_NODES * 1_000);
                    }
                }
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private Window findWindow(long id) throws IOException, InterruptedException {
        for (JsonNode row : client.get("/v1/windows", CALL_TIMEOUT).path("windows")) {
            if (row.path("id").asLong() == id) {
                return GroupCodec.jsonMapper().treeToValue(row, Window.class);
            }
        }
        throw new IOException("window " + id + " is gone");
    }

    private Window propose(String region) throws IOException, InterruptedException {
        long now = System.currentTimeMillis();
        Reply reply =
                client.send(
                                new WindowCommands.Propose(
                                        new WindowRequest(
                                                region,
                                                regions.get(region).nodeNames().subList(0, 3),
                                                DRAIN_MS,
                                                WORK_MS,
                                                WARM_UP_MS,
                                                now,
                                                now + 300_000,
                                                0,
                                                false,
                                                false,
                                                List.of(),
                                                List.of(),
                                                "trial",
                                                "round " + round)),
                                CALL_TIMEOUT)
                        .reply();
        if (reply instanceof WindowReplies.Planned planned) {
            return planned.windows().get(0);
        }
        throw new IOException("not planned: " + reply);
    }

    /**
     * Runs one case and returns the milliseconds until both windows had ended.
     *
     * @throws IOException if a window does not complete or nodes stay suspended
     */
    public long runCase(String step, String fault) throws IOException, InterruptedException {
        currentCase = step + " x " + fault;
        round++;
        long startNanos = System.nanoTime();
        Window first = propose("a");
        Window second = propose("b");
        if (step.equals("RETURNING")) {
            awaitStep(first.id(), "DRAINING");
            client.send(new WindowCommands.Withdraw(first.id(), "trial"), CALL_TIMEOUT);
        } else {
            awaitStep(first.id(), step);
        }
        injectFault(fault);
        for (Window window : List.of(first, second)) {
            awaitDone(window.id());
        }
        if (!regions.values().stream().allMatch(FakeRegion::hasNoSuspendedNode)) {
            throw new IOException(
                    currentCase + ": the windows have ended, but nodes are still suspended");
        }
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private void awaitStep(long id, String step) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + STEP_TIMEOUT.toNanos();
        while (!findWindow(id).state().name().equals(step)
                && !findWindow(id).state().name().equals("DONE")) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IOException(
                        currentCase + ": never reached " + step + ": " + findWindow(id));
            }
            Thread.sleep(20);
        }
    }

    private void awaitDone(long id) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + STEP_TIMEOUT.toNanos();
        for (Window window = findWindow(id);
                window.state() != Window.State.DONE && window.state() != Window.State.WITHDRAWN;
                window = findWindow(id)) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IOException(
                        currentCase
                                + ": not done within "
                                + STEP_TIMEOUT.toSeconds()
                                + " s: "
                                + window);
            }
            Thread.sleep(50);
        }
    }

    /**
     * Returns the agent of region a that holds the region's lease, because a fault of a waiting
     * agent would test nothing. Returns the first agent of the region if none holds the lease.
     */
    private TrialProcess leaseHolder() throws IOException, InterruptedException {
        String owner =
                client.get("/v1/lease?name=" + WindowCommands.leaseName("a"), CALL_TIMEOUT)
                        .path("leases")
                        .path(0)
                        .path("owner")
                        .asText("");
        for (TrialProcess agent : agents.values()) {
            if (agent.isAlive() && owner.startsWith("agent-a-" + agent.pid() + "/")) {
                return agent;
            }
        }
        return agents.get("a");
    }

    private void injectFault(String fault) throws IOException, InterruptedException {
        TrialProcess agent = leaseHolder();
        switch (fault) {
            case "kill-leader" -> {
                String leader = group.leader(CALL_TIMEOUT);
                group.process(leader).kill();
                Thread.sleep(1_500);
                group.process(leader).start();
            }
            case "kill-agent" -> {
                agent.kill();
                Thread.sleep(300);
                agent.start();
            }
            // The pause is longer than the lease, and a second agent can take over.
            case "pause-agent" -> {
                agent.pause();
                Thread.sleep(6_000);
                agent.resume();
            }
            case "relay-away" -> {
                regions.get("a").setRelayDown(0, true);
                Thread.sleep(2_000);
                regions.get("a").setRelayDown(0, false);
            }
            case "node-dead" -> {
                regions.get("c").setNodeDown("c1", true);
                Thread.sleep(3_000);
                regions.get("c").setNodeDown("c1", false);
            }
            default -> throw new IllegalArgumentException("no fault '" + fault + "'");
        }
    }

    /** Returns the capacity samples that were below the floor. */
    public List<String> violations() {
        synchronized (violations) {
            return List.copyOf(violations);
        }
    }

    /** Returns the lowest capacity sampled, in thousandths of a node. */
    public long minCapacity() {
        return minCapacity;
    }

    @Override
    public void close() throws IOException, InterruptedException {
        stopped = true;
        for (TrialProcess agent : agents.values()) {
            agent.close();
        }
        group.close();
        for (FakeRegion region : regions.values()) {
            region.close();
        }
    }
}
