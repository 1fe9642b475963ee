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
 * Three regions, two of which want to be out at once where the floor bears one. For each step of a window and
 * each fault: when the first window reaches the step, the fault befalls; then both must still be done, and
 * what the stand-ins really had must never have been under the floor.
 */
public final class WindowTrial implements AutoCloseable {
    private static final int NODES = 4;
    private static final long DRAIN_MS = 600;
    private static final long WORK_MS = 1_200;
    private static final long WARM_MS = 1_000;
    private static final long FLOOR = 9;
    private static final Duration CALL = Duration.ofSeconds(15);
    private static final Duration DONE_WITHIN = Duration.ofSeconds(60);

    /** The steps at which a fault befalls. */
    public static final List<String> STEPS = List.of("PLANNED", "DRAINING", "OUT", "WARMING", "RETURNING");
    /** The faults. */
    public static final List<String> FAULTS =
        List.of("kill-leader", "kill-agent", "pause-agent", "relay-away", "node-dead");

    private final GroupUnderTest group;
    private final GroupClient client;
    private final Map<String, StandInRegion> regions = new LinkedHashMap<>();
    private final Map<String, Proc> agents = new LinkedHashMap<>();
    private final List<String> broken = new ArrayList<>();
    private final Thread sampler = new Thread(this::sample, "sampler");
    private volatile boolean over;
    private volatile String cell = "start";
    private volatile long least = Long.MAX_VALUE;
    private int round;

    /** Starts the processes in a folder. */
    public WindowTrial(Path dir, List<Path> jars) throws IOException, InterruptedException {
        group = new GroupUnderTest(dir, 3, jars, "").start();
        StringBuilder fleet = new StringBuilder("fleet {\n  slot = \"100ms\"\n  most_regions = 3\n");
        for (String name : List.of("a", "b", "c")) {
            StandInRegion region = new StandInRegion(name, NODES, 2, WARM_MS);
            regions.put(name, region);
            fleet.append(region.fleet());
        }
        fleet.append("  floor \"all\" {\n    regions = [\"a\", \"b\", \"c\"]\n    least = ").append(FLOOR)
            .append("\n  }\n}\n");
        group.leader(Duration.ofSeconds(20));
        client = group.client();
        agree(fleet.toString());
        for (StandInRegion region : regions.values()) {
            start(dir, region, region.name());
        }
        start(dir, regions.get("a"), "a-successor");
        sampler.setDaemon(true);
        sampler.start();
    }

    private void agree(String fleet) throws IOException, InterruptedException {
        Reply agreed = null;
        for (int i = 0; i < 100 && !(agreed instanceof saltstage.coordinator.model.Acknowledgement); i++) {
            try {
                agreed = client.send(new WindowCommands.SetFleet(FleetSettings.parse("fleet.hcl", fleet,
                    Instant.now()), "trial"), CALL).reply(); // until every voter was heard to know windows
            } catch (MalformedException bad) {
                throw new IOException(bad);
            }
            Thread.sleep(100);
        }
    }

    private void start(Path dir, StandInRegion region, String as) throws IOException {
        agents.put(as, Proc.coordinator("agent-" + as, Proc.builtJar(), dir, List.of("agent", "--at",
            String.join(",", group.doors()), "--agent", region.settings(dir).toString())).start());
    }

    private void sample() {
        while (!over) {
            long now = regions.values().stream().mapToLong(r -> r.capacity(false)).sum();
            least = Math.min(least, now);
            if (now < FLOOR * 1_000) {
                synchronized (broken) {
                    if (broken.size() < 20) {
                        broken.add(cell + ": " + now + " of " + FLOOR * 1_000);
                    }
                }
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException ended) {
                return;
            }
        }
    }

    private Window find(long id) throws IOException, InterruptedException {
        for (JsonNode row : client.get("/v1/windows", CALL).path("windows")) {
            if (row.path("id").asLong() == id) {
                return GroupCodec.jsonMapper().treeToValue(row, Window.class);
            }
        }
        throw new IOException("window " + id + " is gone");
    }

    private Window propose(String region) throws IOException, InterruptedException {
        long now = System.currentTimeMillis();
        Reply reply = client.send(new WindowCommands.Propose(new WindowRequest(region,
            regions.get(region).nodes().subList(0, 3), DRAIN_MS, WORK_MS, WARM_MS, now, now + 300_000, 0,
            false, false, List.of(), List.of(), "trial", "round " + round)), CALL).reply();
        if (reply instanceof WindowReplies.Planned planned) {
            return planned.windows().get(0);
        }
        throw new IOException("not planned: " + reply);
    }

    /** Plays one cell of the table; returns how long it took to be done, in ms, or throws. */
    public long play(String step, String fault) throws IOException, InterruptedException {
        cell = step + " x " + fault;
        round++;
        long start = System.nanoTime();
        Window first = propose("a");
        Window second = propose("b");
        if (step.equals("RETURNING")) {
            reach(first.id(), "DRAINING");
            client.send(new WindowCommands.Withdraw(first.id(), "trial"), CALL);
        } else {
            reach(first.id(), step);
        }
        befall(fault);
        for (Window each : List.of(first, second)) {
            done(each.id());
        }
        if (!regions.values().stream().allMatch(StandInRegion::whole)) {
            throw new IOException(cell + ": over, and nodes are still suspended");
        }
        return (System.nanoTime() - start) / 1_000_000;
    }

    private void reach(long id, String step) throws IOException, InterruptedException {
        long until = System.nanoTime() + DONE_WITHIN.toNanos();
        while (!find(id).state().name().equals(step) && !find(id).state().name().equals("DONE")) {
            if (System.nanoTime() > until) {
                throw new IOException(cell + ": never came to " + step + ": " + find(id));
            }
            Thread.sleep(20);
        }
    }

    private void done(long id) throws IOException, InterruptedException {
        long until = System.nanoTime() + DONE_WITHIN.toNanos();
        for (Window now = find(id); now.state() != Window.State.DONE
                && now.state() != Window.State.WITHDRAWN; now = find(id)) {
            if (System.nanoTime() > until) {
                throw new IOException(cell + ": not done within " + DONE_WITHIN.toSeconds() + " s: " + now);
            }
            Thread.sleep(50);
        }
    }

    /** The agent of region a that holds its lease, else any: who waits is no target worth a fault. */
    private Proc holder() throws IOException, InterruptedException {
        String owner = client.get("/v1/lease?name=" + WindowCommands.leaseName("a"), CALL)
            .path("leases").path(0).path("owner").asText("");
        for (Proc agent : agents.values()) {
            if (agent.alive() && owner.startsWith("agent-a-" + agent.pid() + "/")) {
                return agent;
            }
        }
        return agents.get("a");
    }

    private void befall(String fault) throws IOException, InterruptedException {
        Proc agent = holder();
        switch (fault) {
            case "kill-leader" -> {
                String leader = group.leader(CALL);
                group.proc(leader).kill();
                Thread.sleep(1_500);
                group.proc(leader).start();
            }
            case "kill-agent" -> {
                agent.kill();
                Thread.sleep(300);
                agent.start();
            }
            case "pause-agent" -> { // for longer than its lease, while a second agent is there to take over
                agent.pause();
                Thread.sleep(6_000);
                agent.goOn();
            }
            case "relay-away" -> {
                regions.get("a").relayAway(0, true);
                Thread.sleep(2_000);
                regions.get("a").relayAway(0, false);
            }
            case "node-dead" -> {
                regions.get("c").dead("c1", true);
                Thread.sleep(3_000);
                regions.get("c").dead("c1", false);
            }
            default -> throw new IllegalArgumentException("no fault '" + fault + "'");
        }
    }

    /** What the witness saw under the floor. */
    public List<String> broken() {
        synchronized (broken) {
            return List.copyOf(broken);
        }
    }

    /** The least that the stand-ins had, in thousandths of a node. */
    public long least() {
        return least;
    }

    @Override
    public void close() throws IOException, InterruptedException {
        over = true;
        for (Proc agent : agents.values()) {
            agent.close();
        }
        group.close();
        for (StandInRegion region : regions.values()) {
            region.close();
        }
    }
}
