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
import saltstage.coordinator.client.GroupClient.GroupUnreachableException;
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
    private static final Duration LEASE_TTL = Duration.ofSeconds(4);
    private static final Duration LEASE_WAIT = Duration.ofSeconds(10);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(150);

    /** So many looks without an answer, one after the other, and a node counts as missing. */
    private static final int FAILED_PINGS_UNTIL_MISSING = 3;

    private final AgentSettings settings;
    private final GroupClient groupClient;
    private final LeaseClient leaseClient;
    private final Map<String, Integer> failedPingsByNode = new HashMap<>();
    private final Map<Long, Process> workByWindow = new HashMap<>();
    private final Map<Long, Integer> workFailuresByWindow = new HashMap<>();
    private long reportedLoss = -1;

    /** An agent of a region. */
    public Agent(AgentSettings settings, GroupClient group, LeaseClient leases) {
        this.settings = settings;
        this.groupClient = group;
        this.leaseClient = leases;
    }

    private record Plans(FleetPlan plan, List<Window> windows, long day) {}

    /** Serves for ever: waits for the lease, acts while it holds it. */
    public void run() throws InterruptedException {
        while (true) {
            String name = WindowCommands.leaseName(settings.region());
            try (LeaseClient.Lease lease =
                    leaseClient.acquire(name, LEASE_TTL, LEASE_WAIT, 0, this::stopWork)) {
                Log.info("agent.holds", "region", settings.region(), "fence", lease.fencingToken());
                reportedLoss = -1;
                carryOutWindows(lease);
            } catch (LeaseClient.LeaseLostException lost) {
                Log.warn("agent.lost", "region", settings.region(), "why", lost.getMessage());
            } catch (LeaseClient.LeaseNotGrantedException | IOException notNow) {
                Log.info("agent.waits", "region", settings.region(), "why", notNow.getMessage());
                Thread.sleep(POLL_INTERVAL.toMillis());
            } finally {
                stopWork();
            }
        }
    }

    private synchronized void stopWork() {
        workByWindow.values().forEach(Process::destroyForcibly);
        workByWindow.clear();
        workFailuresByWindow.clear();
    }

    private void carryOutWindows(LeaseClient.Lease lease)
            throws LeaseClient.LeaseLostException, InterruptedException {
        while (true) {
            lease.checkStillHeld();
            try {
                JsonNode read = groupClient.get("/v1/windows", REQUEST_TIMEOUT);
                Plans plans = GroupCodec.jsonMapper().treeToValue(read, Plans.class);
                List<String> out = new ArrayList<>();
                for (Window window : plans.windows()) {
                    if (!window.wish().region().equals(settings.region())) {
                        continue;
                    }
                    if (window.state().isInProgress()) {
                        out.addAll(window.wish().nodes());
                    }
                    advanceWindow(window, plans, lease);
                }
                reportMissingNodes(plans, out, lease);
            } catch (GroupUnreachableException | JsonProcessingException notNow) {
                Log.warn("agent.alone", "why", notNow.getMessage());
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
    }

    private Reply sendCommand(Command command, LeaseClient.Lease lease)
            throws LeaseClient.LeaseLostException, GroupUnreachableException, InterruptedException {
        lease.checkStillHeld();
        Reply reply = groupClient.send(command, REQUEST_TIMEOUT).reply();
        if (reply instanceof Rejection no) {
            Log.info("agent.refused", "command", command, "why", no.why());
        }
        return reply;
    }

    private void advanceWindow(Window window, Plans plans, LeaseClient.Lease lease)
            throws LeaseClient.LeaseLostException, GroupUnreachableException, InterruptedException {
        long id = window.id();
        long inState = plans.day() - window.since();
        switch (window.state()) {
            case PLANNED -> {
                if (window.start() <= plans.day()) {
                    sendCommand(
                            new WindowCommands.Begin(id, leaseClient.owner(), lease.fencingToken()),
                            lease);
                }
            }
            case DRAINING -> {
                if (setSuspendedOnAllRelays(window, true, lease)
                        && inState >= window.wish().drainMs()) {
                    reportStep(id, Step.OUT, 0, lease);
                }
            }
            case OUT -> {
                // Said again each time: a relay that was started anew may have forgotten it.
                if (setSuspendedOnAllRelays(window, true, lease)
                        && startOrCheckWork(window, inState, lease)
                        && setSuspendedOnAllRelays(window, false, lease)) {
                    reportStep(id, Step.WARMING, 0, lease);
                }
            }
            case WARMING -> advanceWarmUp(window, plans, inState, lease);
            case RETURNING -> { // its nodes were never touched: they are warm once each relay uses
                // them again
                if (setSuspendedOnAllRelays(window, false, lease)
                        && countAnsweringNodes(window) == window.wish().nodes().size()) {
                    reportStep(id, Step.PROVEN, window.capacity(), lease);
                    reportStep(id, Step.DONE, 0, lease);
                }
            }
            default -> { // nothing to do
            }
        }
    }

    private void reportStep(long id, Step step, long proven, LeaseClient.Lease lease)
            throws LeaseClient.LeaseLostException, GroupUnreachableException, InterruptedException {
        Log.info("agent.step", "window", id, "step", step, "proven", proven);
        sendCommand(
                new WindowCommands.Report(
                        id, leaseClient.owner(), lease.fencingToken(), step, proven),
                lease);
    }

    /** Each relay has said so of each node, now. */
    private boolean setSuspendedOnAllRelays(Window window, boolean suspend, LeaseClient.Lease lease)
            throws LeaseClient.LeaseLostException {
        boolean all = true;
        for (InetSocketAddress relay : settings.relayAdminAddresses().values()) {
            for (String node : window.wish().nodes()) {
                lease.checkStillHeld();
                all &= RelayClient.setSuspended(relay, suspend, node);
            }
        }
        return all;
    }

    private int countAnsweringNodes(Window window) {
        int answering = 0;
        for (String node : window.wish().nodes()) {
            InetSocketAddress at = settings.nodeAddresses().get(node);
            answering += at != null && RelayClient.isAnswering(at) ? 1 : 0;
        }
        return answering;
    }

    /**
     * Whether what is to be done at the nodes is done: the command has ended well, or the time is
     * over.
     */
    private synchronized boolean startOrCheckWork(
            Window window, long inState, LeaseClient.Lease lease) {
        if (settings.workCommand().isEmpty()) {
            return inState >= window.wish().workMs();
        }
        Process running = workByWindow.get(window.id());
        if (running == null) {
            startWork(window, lease);
            return false;
        }
        if (running.isAlive()) {
            return false;
        }
        if (running.exitValue() != 0) {
            int tries = workFailuresByWindow.merge(window.id(), 1, Integer::sum);
            Log.warn(
                    "agent.work-failed",
                    "window",
                    window.id(),
                    "exit",
                    running.exitValue(),
                    "tries",
                    tries);
            workByWindow.remove(window.id()); // again at the next round: it must bear that
            return false;
        }
        return true;
    }

    private void startWork(Window window, LeaseClient.Lease lease) {
        try {
            ProcessBuilder builder = new ProcessBuilder(settings.workCommand()).inheritIO();
            builder.environment().put("SALTSTAGE_WINDOW", Long.toString(window.id()));
            builder.environment().put("SALTSTAGE_NODES", String.join(" ", window.wish().nodes()));
            builder.environment().put("SALTSTAGE_FENCE", Long.toString(lease.fencingToken()));
            workByWindow.put(window.id(), builder.start());
        } catch (IOException notStarted) {
            Log.warn("agent.work-failed", "window", window.id(), "why", notStarted.getMessage());
        }
    }

    /**
     * What is proven grows with the time that the nodes have been back, as long as all of them
     * answer.
     */
    private void advanceWarmUp(Window window, Plans plans, long inState, LeaseClient.Lease lease)
            throws LeaseClient.LeaseLostException, GroupUnreachableException, InterruptedException {
        if (!setSuspendedOnAllRelays(window, false, lease)
                || countAnsweringNodes(window) < window.wish().nodes().size()) {
            return;
        }
        long warmMs = window.wish().warmMs();
        long cold = window.capacity() * plans.plan().coldPermille() / 1_000;
        if (warmMs == 0 || inState >= warmMs) {
            reportStep(window.id(), Step.PROVEN, window.capacity(), lease);
            reportStep(window.id(), Step.DONE, 0, lease);
            return;
        }
        long back = cold + (window.capacity() - cold) * inState / warmMs;
        if (back - window.proven() >= window.capacity() / 8) {
            reportStep(window.id(), Step.PROVEN, back, lease);
        }
    }

    /**
     * Nodes that do not answer and are in no window are missing; the group must know before it
     * plans on.
     */
    private void reportMissingNodes(Plans plans, List<String> out, LeaseClient.Lease lease)
            throws LeaseClient.LeaseLostException, GroupUnreachableException, InterruptedException {
        if (plans.plan() == null) {
            return;
        }
        long lost = 0;
        for (FleetPlan.Region region : plans.plan().regions()) {
            for (FleetPlan.Node node : region.nodes()) {
                InetSocketAddress at = settings.nodeAddresses().get(node.id());
                if (!region.name().equals(settings.region())
                        || out.contains(node.id())
                        || at == null) {
                    continue;
                }
                int looks =
                        RelayClient.isAnswering(at)
                                ? 0
                                : failedPingsByNode.getOrDefault(node.id(), 0) + 1;
                failedPingsByNode.put(node.id(), looks);
                lost += looks >= FAILED_PINGS_UNTIL_MISSING ? node.capacity() : 0;
            }
        }
        if (lost != reportedLoss
                && sendCommand(
                                new WindowCommands.Outage(
                                        settings.region(),
                                        lost,
                                        leaseClient.owner(),
                                        lease.fencingToken()),
                                lease)
                        instanceof saltstage.coordinator.model.Acknowledgement) {
            Log.info("agent.missing", "region", settings.region(), "lost", lost);
            reportedLoss = lost;
        }
    }
}
