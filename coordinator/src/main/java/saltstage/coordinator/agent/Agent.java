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
 * Carries out the maintenance windows of one region. The group records each step of a window before
 * the agent takes the next one, so that the next holder of the region's lease continues there; it
 * may repeat the step that was not recorded yet. The agent checks before each action that it still
 * holds the lease. It also reports the capacity that the region lacks outside its windows.
 */
public final class Agent {
    private static final Duration LEASE_TTL = Duration.ofSeconds(4);
    private static final Duration LEASE_WAIT = Duration.ofSeconds(10);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(150);

    /** Consecutive unanswered pings after which a node counts as missing. */
    private static final int FAILED_PINGS_UNTIL_MISSING = 3;

    private final AgentSettings settings;
    private final GroupClient groupClient;
    private final LeaseClient leaseClient;
    private final Map<String, Integer> failedPingsByNode = new HashMap<>();
    private final Map<Long, Process> workByWindow = new HashMap<>();
    private final Map<Long, Integer> workFailuresByWindow = new HashMap<>();
    private long reportedLoss = -1;

    /** Creates the agent of the region that the settings name. */
    public Agent(AgentSettings settings, GroupClient group, LeaseClient leases) {
        this.settings = settings;
        this.groupClient = group;
        this.leaseClient = leases;
    }

    /** The part of the response of {@code /v1/windows} that the agent needs. */
    private record Plans(FleetPlan plan, List<Window> windows, long day) {}

    /** Runs until the thread is interrupted: acquires the lease and acts while it holds it. */
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
            } catch (LeaseClient.LeaseNotGrantedException | IOException e) {
                Log.info("agent.waits", "region", settings.region(), "why", e.getMessage());
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
                JsonNode response = groupClient.get("/v1/windows", REQUEST_TIMEOUT);
                Plans plans = GroupCodec.jsonMapper().treeToValue(response, Plans.class);
                List<String> nodesInProgress = new ArrayList<>();
                for (Window window : plans.windows()) {
                    if (!window.wish().region().equals(settings.region())) {
                        continue;
                    }
                    if (window.state().isInProgress()) {
                        nodesInProgress.addAll(window.wish().nodes());
                    }
                    advanceWindow(window, plans, lease);
                }
                reportMissingNodes(plans, nodesInProgress, lease);
            } catch (GroupUnreachableException | JsonProcessingException e) {
                Log.warn("agent.alone", "why", e.getMessage());
            }
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
    }

    private Reply sendCommand(Command command, LeaseClient.Lease lease)
            throws LeaseClient.LeaseLostException, GroupUnreachableException, InterruptedException {
        lease.checkStillHeld();
        Reply reply = groupClient.send(command, REQUEST_TIMEOUT).reply();
        if (reply instanceof Rejection rejection) {
            Log.info("agent.refused", "command", command, "why", rejection.why());
        }
        return reply;
    }

    private void advanceWindow(Window window, Plans plans, LeaseClient.Lease lease)
            throws LeaseClient.LeaseLostException, GroupUnreachableException, InterruptedException {
        long id = window.id();
        long inStateMs = plans.day() - window.since();
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
                        && inStateMs >= window.wish().drainMs()) {
                    reportStep(id, Step.OUT, 0, lease);
                }
            }
            case OUT -> {
                // Repeated in each round: a restarted relay may have lost the suspension.
                if (setSuspendedOnAllRelays(window, true, lease)
                        && startOrCheckWork(window, inStateMs, lease)
                        && setSuspendedOnAllRelays(window, false, lease)) {
                    reportStep(id, Step.WARMING, 0, lease);
                }
            }
            case WARMING -> advanceWarmUp(window, plans, inStateMs, lease);
            case RETURNING -> {
                // The nodes were not worked on, so they are warm once all relays use them again.
                if (setSuspendedOnAllRelays(window, false, lease)
                        && countAnsweringNodes(window) == window.wish().nodes().size()) {
                    reportStep(id, Step.PROVEN, window.capacity(), lease);
                    reportStep(id, Step.DONE, 0, lease);
                }
            }
            default -> { // the other states need no action
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

    /** Suspends or restores the nodes on all relays; true once all relays have confirmed it. */
    private boolean setSuspendedOnAllRelays(Window window, boolean suspend, LeaseClient.Lease lease)
            throws LeaseClient.LeaseLostException {
        boolean allConfirmed = true;
        for (InetSocketAddress relay : settings.relayAdminAddresses().values()) {
            for (String node : window.wish().nodes()) {
                lease.checkStillHeld();
                allConfirmed &= RelayClient.setSuspended(relay, suspend, node);
            }
        }
        return allConfirmed;
    }

    private int countAnsweringNodes(Window window) {
        int answering = 0;
        for (String node : window.wish().nodes()) {
            InetSocketAddress address = settings.nodeAddresses().get(node);
            answering += address != null && RelayClient.isAnswering(address) ? 1 : 0;
        }
        return answering;
    }

    /**
     * Whether the work on the nodes is done: the work command has exited with 0 or, without a
     * command, the time for the work has passed. Starts the command if it is not running.
     */
    private synchronized boolean startOrCheckWork(
            Window window, long inStateMs, LeaseClient.Lease lease) {
        if (settings.workCommand().isEmpty()) {
            return inStateMs >= window.wish().workMs();
        }
        Process process = workByWindow.get(window.id());
        if (process == null) {
            startWork(window, lease);
            return false;
        }
        if (process.isAlive()) {
            return false;
        }
        if (process.exitValue() != 0) {
            int failures = workFailuresByWindow.merge(window.id(), 1, Integer::sum);
            Log.warn(
                    "agent.work-failed",
                    "window",
                    window.id(),
                    "exit",
                    process.exitValue(),
                    "tries",
                    failures);
            workByWindow.remove(window.id()); // started again, so it must be repeatable
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
        } catch (IOException e) {
            Log.warn("agent.work-failed", "window", window.id(), "why", e.getMessage());
        }
    }

    /**
     * Reports proven capacity, which grows with the time since the nodes returned, as long as all
     * of them answer. Reports in steps of an eighth of the capacity.
     */
    private void advanceWarmUp(Window window, Plans plans, long inStateMs, LeaseClient.Lease lease)
            throws LeaseClient.LeaseLostException, GroupUnreachableException, InterruptedException {
        if (!setSuspendedOnAllRelays(window, false, lease)
                || countAnsweringNodes(window) < window.wish().nodes().size()) {
            return;
        }
        long warmMs = window.wish().warmMs();
        long coldCapacity = window.capacity() * plans.plan().coldPermille() / 1_000;
        if (warmMs == 0 || inStateMs >= warmMs) {
            reportStep(window.id(), Step.PROVEN, window.capacity(), lease);
            reportStep(window.id(), Step.DONE, 0, lease);
            return;
        }
        long proven = coldCapacity + (window.capacity() - coldCapacity) * inStateMs / warmMs;
        if (proven - window.proven() >= window.capacity() / 8) {
            reportStep(window.id(), Step.PROVEN, proven, lease);
        }
    }

    /**
     * Reports the capacity of the nodes that do not answer and are in no window in progress. The
     * group must know it before it plans further windows.
     */
    private void reportMissingNodes(
            Plans plans, List<String> nodesInProgress, LeaseClient.Lease lease)
            throws LeaseClient.LeaseLostException, GroupUnreachableException, InterruptedException {
        if (plans.plan() == null) {
            return;
        }
        long lostCapacity = 0;
        for (FleetPlan.Region region : plans.plan().regions()) {
            for (FleetPlan.Node node : region.nodes()) {
                InetSocketAddress address = settings.nodeAddresses().get(node.id());
                if (!region.name().equals(settings.region())
                        || nodesInProgress.contains(node.id())
                        || address == null) {
                    continue;
                }
                int failedPings =
                        RelayClient.isAnswering(address)
                                ? 0
                                : failedPingsByNode.getOrDefault(node.id(), 0) + 1;
                failedPingsByNode.put(node.id(), failedPings);
                lostCapacity += failedPings >= FAILED_PINGS_UNTIL_MISSING ? node.capacity() : 0;
            }
        }
        if (lostCapacity != reportedLoss
                && sendCommand(
                                new WindowCommands.Outage(
                                        settings.region(),
                                        lostCapacity,
                                        leaseClient.owner(),
                                        lease.fencingToken()),
                                lease)
                        instanceof saltstage.coordinator.model.Acknowledgement) {
            Log.info("agent.missing", "region", settings.region(), "lost", lostCapacity);
            reportedLoss = lostCapacity;
        }
    }
}
