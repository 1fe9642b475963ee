package saltstage.coordinator.agent;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import saltstage.coordinator.client.GroupClient;
import saltstage.coordinator.client.GroupClient.Unreachable;
import saltstage.coordinator.client.LeaseClient;
import saltstage.coordinator.group.GroupCodec;
import saltstage.coordinator.model.Command;
import saltstage.coordinator.model.Rejection;
import saltstage.coordinator.model.Reply;
import saltstage.coordinator.settings.AgentSettings;
import saltstage.coordinator.window.FleetPlan;
import saltstage.coordinator.window.Window;
import saltstage.coordinator.window.WindowCommands;
import saltstage.coordinator.window.WindowCommands.Step;
import saltstage.log.Log;

/**
 * Carries its region's windows out, step by step, each recorded by the group before the next:
 * whoever holds the region's lease after it goes on from there, and may do the step before again.
 * Before each act it makes sure that the lease is still its own. It also tells what of the region
 * is missing outside any window.
 */
public final class Agent {
    private static final Duration LEASE = Duration.ofSeconds(4);
    private static final Duration WAIT = Duration.ofSeconds(10);
    private static final Duration CALL = Duration.ofSeconds(3);
    private static final Duration ROUND = Duration.ofMillis(150);

    /** So many looks without an answer, one after the other, and a node counts as missing. */
    private static final int LOOKS = 3;

    private final AgentSettings settings;
    private final GroupClient group;
    private final LeaseClient leases;
    private final Map<String, Integer> silent = new HashMap<>();
    private final Map<Long, Process> work = new HashMap<>();
    private final Map<Long, Integer> worked = new HashMap<>();
    private long toldLost = -1;

    /** An agent of a region. */
    public Agent(AgentSettings settings, GroupClient group, LeaseClient leases) {
        this.settings = settings;
        this.group = group;
        this.leases = leases;
    }

    private record Plans(FleetPlan plan, List<Window> windows, long day) {}

    /** Serves for ever: waits for the lease, acts while it holds it. */
    public void run() throws InterruptedException {
        while (true) {
            String name = WindowCommands.leaseName(settings.region());
            try (LeaseClient.Lease lease = leases.acquire(name, LEASE, WAIT, 0, this::stopWork)) {
                Log.info("agent.holds", "region", settings.region(), "fence", lease.fence());
                toldLost = -1;
                serve(lease);
            } catch (LeaseClient.Lost lost) {
                Log.warn("agent.lost", "region", settings.region(), "why", lost.getMessage());
            } catch (LeaseClient.NotGranted | IOException notNow) {
                Log.info("agent.waits", "region", settings.region(), "why", notNow.getMessage());
                Thread.sleep(ROUND.toMillis());
            } finally {
                stopWork();
            }
        }
    }

    private synchronized void stopWork() {
        work.values().forEach(Process::destroyForcibly);
        work.clear();
        worked.clear();
    }

    private void serve(LeaseClient.Lease lease) throws LeaseClient.Lost, InterruptedException {
        while (true) {
            lease.checkStillHeld();
            try {
                JsonNode read = group.get("/v1/windows", CALL);
                Plans plans = GroupCodec.jsonMapper().treeToValue(read, Plans.class);
                List<String> out = new ArrayList<>();
                for (Window window : plans.windows()) {
                    if (!window.wish().region().equals(settings.region())) {
                        continue;
                    }
                    if (window.state().isInProgress()) {
                        out.addAll(window.wish().nodes());
                    }
                    step(window, plans, lease);
                }
                tellMissing(plans, out, lease);
            } catch (Unreachable | JsonProcessingException notNow) {
                Log.warn("agent.alone", "why", notNow.getMessage());
            }
            Thread.sleep(ROUND.toMillis());
        }
    }

    private Reply say(Command command, LeaseClient.Lease lease)
            throws LeaseClient.Lost, Unreachable, InterruptedException {
        lease.checkStillHeld();
        Reply reply = group.send(command, CALL).reply();
        if (reply instanceof Rejection no) {
            Log.info("agent.refused", "command", command, "why", no.why());
        }
        return reply;
    }

    private void step(Window window, Plans plans, LeaseClient.Lease lease)
            throws LeaseClient.Lost, Unreachable, InterruptedException {
        long id = window.id();
        long inState = plans.day() - window.since();
        switch (window.state()) {
            case PLANNED -> {
                if (window.start() <= plans.day()) {
                    say(new WindowCommands.Begin(id, leases.owner(), lease.fence()), lease);
                }
            }
            case DRAINING -> {
                if (all(window, true, lease) && inState >= window.wish().drainMs()) {
                    report(id, Step.OUT, 0, lease);
                }
            }
            case OUT -> {
                // Said again each time: a relay that was started anew may have forgotten it.
                if (all(window, true, lease)
                        && worked(window, inState, lease)
                        && all(window, false, lease)) {
                    report(id, Step.WARMING, 0, lease);
                }
            }
            case WARMING -> warm(window, plans, inState, lease);
            case RETURNING -> { // its nodes were never touched: they are warm once each relay uses
                // them again
                if (all(window, false, lease)
                        && answering(window) == window.wish().nodes().size()) {
                    report(id, Step.PROVEN, window.capacity(), lease);
                    report(id, Step.DONE, 0, lease);
                }
            }
            default -> { // nothing to do
            }
        }
    }

    private void report(long id, Step step, long proven, LeaseClient.Lease lease)
            throws LeaseClient.Lost, Unreachable, InterruptedException {
        Log.info("agent.step", "window", id, "step", step, "proven", proven);
        say(new WindowCommands.Report(id, leases.owner(), lease.fence(), step, proven), lease);
    }

    /** Each relay has said so of each node, now. */
    private boolean all(Window window, boolean suspend, LeaseClient.Lease lease)
            throws LeaseClient.Lost {
        boolean all = true;
        for (InetSocketAddress relay : settings.relays().values()) {
            for (String node : window.wish().nodes()) {
                lease.checkStillHeld();
                all &= RelayClient.done(relay, suspend, node);
            }
        }
        return all;
    }

    private int answering(Window window) {
        int answering = 0;
        for (String node : window.wish().nodes()) {
            InetSocketAddress at = settings.nodes().get(node);
            answering += at != null && RelayClient.answers(at) ? 1 : 0;
        }
        return answering;
    }

    /**
     * Whether what is to be done at the nodes is done: the command has ended well, or the time is
     * over.
     */
    private synchronized boolean worked(Window window, long inState, LeaseClient.Lease lease) {
        if (settings.work().isEmpty()) {
            return inState >= window.wish().workMs();
        }
        Process running = work.get(window.id());
        if (running == null) {
            start(window, lease);
            return false;
        }
        if (running.isAlive()) {
            return false;
        }
        if (running.exitValue() != 0) {
            int tries = worked.merge(window.id(), 1, Integer::sum);
            Log.warn(
                    "agent.work-failed",
                    "window",
                    window.id(),
                    "exit",
                    running.exitValue(),
                    "tries",
                    tries);
            work.remove(window.id()); // again at the next round: it must bear that
            return false;
        }
        return true;
    }

    private void start(Window window, LeaseClient.Lease lease) {
        try {
            ProcessBuilder builder = new ProcessBuilder(settings.work()).inheritIO();
            builder.environment().put("SALTSTAGE_WINDOW", Long.toString(window.id()));
            builder.environment().put("SALTSTAGE_NODES", String.join(" ", window.wish().nodes()));
            builder.environment().put("SALTSTAGE_FENCE", Long.toString(lease.fence()));
            work.put(window.id(), builder.start());
        } catch (IOException notStarted) {
            Log.warn("agent.work-failed", "window", window.id(), "why", notStarted.getMessage());
        }
    }

    /**
     * What is proven grows with the time that the nodes have been back, as long as all of them
     * answer.
     */
    private void warm(Window window, Plans plans, long inState, LeaseClient.Lease lease)
            throws LeaseClient.Lost, Unreachable, InterruptedException {
        if (!all(window, false, lease) || answering(window) < window.wish().nodes().size()) {
            return;
        }
        long warmMs = window.wish().warmMs();
        long cold = window.capacity() * plans.plan().coldPermille() / 1_000;
        if (warmMs == 0 || inState >= warmMs) {
            report(window.id(), Step.PROVEN, window.capacity(), lease);
            report(window.id(), Step.DONE, 0, lease);
            return;
        }
        long back = cold + (window.capacity() - cold) * inState / warmMs;
        if (back - window.proven() >= window.capacity() / 8) {
            report(window.id(), Step.PROVEN, back, lease);
        }
    }

    /**
     * Nodes that do not answer and are in no window are missing; the group must know before it
     * plans on.
     */
    private void tellMissing(Plans plans, List<String> out, LeaseClient.Lease lease)
            throws LeaseClient.Lost, Unreachable, InterruptedException {
        if (plans.plan() == null) {
            return;
        }
        long lost = 0;
        for (FleetPlan.Region region : plans.plan().regions()) {
            for (FleetPlan.Node node : region.nodes()) {
                InetSocketAddress at = settings.nodes().get(node.id());
                if (!region.name().equals(settings.region())
                        || out.contains(node.id())
                        || at == null) {
                    continue;
                }
                int looks = RelayClient.answers(at) ? 0 : silent.getOrDefault(node.id(), 0) + 1;
                silent.put(node.id(), looks);
                lost += looks >= LOOKS ? node.capacity() : 0;
            }
        }
        if (lost != toldLost
                && say(
                                new WindowCommands.Outage(
                                        settings.region(), lost, leases.owner(), lease.fence()),
                                lease)
                        instanceof saltstage.coordinator.model.Acknowledgement) {
            Log.info("agent.missing", "region", settings.region(), "lost", lost);
            toldLost = lost;
        }
    }
}
