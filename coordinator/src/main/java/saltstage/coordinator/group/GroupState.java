package saltstage.coordinator.group;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import saltstage.coordinator.advice.AdviceCommands;
import saltstage.coordinator.advice.AdviceLog;
import saltstage.coordinator.configuration.ConfigurationCommands;
import saltstage.coordinator.configuration.ConfigurationRegistry;
import saltstage.coordinator.lease.LeaseCommands;
import saltstage.coordinator.lease.Leases;
import saltstage.coordinator.model.Acknowledgement;
import saltstage.coordinator.model.Command;
import saltstage.coordinator.model.Rejection;
import saltstage.coordinator.model.Reply;
import saltstage.coordinator.window.WindowCommands;
import saltstage.coordinator.window.Windows;

/**
 * The replicated state of a group, and the only place where commands change it. The same log gives
 * the same state at every replica, so nothing here reads a clock, uses random numbers or does I/O.
 * Not thread-safe.
 */
public final class GroupState {
    /** The highest feature level that this build supports. */
    public static final int SUPPORTED_FEATURE_LEVEL = 4;

    /** The disk of a member whose name was retired. No real disk has this id. */
    public static final String RETIRED_DISK = "retired";

    /** The addresses of a member and the id of the disk that holds its log. */
    public record MemberRow(String disk, String peers, String clients, int speaks) {}

    /** The state in a snapshot. Null components are not written. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Image(
            int level,
            GroupTime.Image time,
            List<Sessions.Row> sessions,
            Leases.Image leases,
            Map<String, MemberRow> members,
            Windows.Image windows,
            AdviceLog.Image advice,
            ConfigurationRegistry.Image configuration) {}

    private int featureLevel;
    private final GroupTime time;
    private final Sessions sessions;
    private final Leases leases;
    private final Map<String, MemberRow> members;
    private final Windows windows;
    private final AdviceLog advice;
    private final ConfigurationRegistry configuration;

    /** Creates the state of a new group. */
    public GroupState() {
        this(
                new Image(
                        1,
                        GroupTime.initial().image(),
                        List.of(),
                        new Leases().image(),
                        Map.of(),
                        new Windows().image(),
                        new AdviceLog().image(),
                        new ConfigurationRegistry().image()));
    }

    /** Restores the state from a snapshot. */
    public GroupState(Image image) {
        featureLevel = image.level();
        time = new GroupTime(image.time());
        sessions = new Sessions(image.sessions());
        leases = new Leases(image.leases());
        members = new TreeMap<>(image.members());
        windows = image.windows() == null ? new Windows() : new Windows(image.windows());
        advice = image.advice() == null ? new AdviceLog() : new AdviceLog(image.advice());
        configuration =
                image.configuration() == null
                        ? new ConfigurationRegistry()
                        : new ConfigurationRegistry(image.configuration());
    }

    /** Returns the state for a snapshot. Equal states give equal images. */
    public Image image() {
        // A group at a lower feature level has replicas that reject fields they do not know, so the
        // parts of later levels are left out of the snapshot.
        return new Image(
                featureLevel,
                time.image(),
                sessions.image(),
                leases.image(),
                new TreeMap<>(members),
                featureLevel < WindowCommands.MIN_FEATURE_LEVEL ? null : windows.image(),
                featureLevel < AdviceCommands.MIN_FEATURE_LEVEL ? null : advice.image(),
                featureLevel < ConfigurationCommands.MIN_FEATURE_LEVEL
                        ? null
                        : configuration.image());
    }

    /** Applies one entry of the log. */
    public Reply apply(Proposal entry) {
        time.applyTimestamp(entry.epoch(), entry.stampMs());
        leases.advance(time.now());
        windows.advance(time.wallClockTime());
        advice.advance(time.now());
        if (entry.client().isEmpty()) {
            return execute(entry.command());
        }
        Reply previousReply = sessions.previousReply(entry.client(), entry.seq());
        if (previousReply != null) {
            return previousReply;
        }
        Reply reply;
        try {
            reply = execute(entry.command());
        } catch (RuntimeException fault) {
            // The fault occurs at every replica alike; one bad command must not stop all of them.
            reply =
                    new Rejection(
                            "fault",
                            "the command could not be carried out: "
                                    + fault.getClass().getSimpleName(),
                            0);
        }
        sessions.recordReply(entry.client(), entry.seq(), reply, time.now());
        return reply;
    }

    private Reply execute(Command command) {
        if (command.minFeatureLevel() > featureLevel) {
            return new Rejection(
                    "not-yet",
                    "the group works at level "
                            + featureLevel
                            + "; this takes level "
                            + command.minFeatureLevel()
                            + ", which not every voter knows yet",
                    0);
        }
        if (command instanceof LeaseCommands.Acquire request) {
            return leases.acquire(request, time.now());
        }
        if (command instanceof LeaseCommands.Renew request) {
            return leases.renew(request, time.now());
        }
        if (command instanceof LeaseCommands.Release request) {
            return new Acknowledgement(
                    leases.release(request, time.now()) ? "released" : "not-held");
        }
        if (command instanceof AdviceCommands.Advise request) {
            return leases.isHeldBy(
                            AdviceCommands.LEASE_NAME, request.owner(), request.fence(), time.now())
                    ? advice.advise(request, time.now())
                    : new Rejection("fenced", "the advisor's lease is not held so", 0);
        }
        if (command instanceof AdviceCommands.Decide request) {
            return advice.decide(request, time.now());
        }
        if (command instanceof AdviceCommands.Outcome request) {
            return advice.outcome(request, time.now());
        }
        if (command instanceof ConfigurationCommands.ChangeConfiguration request) {
            return configuration.applyChange(request, time.wallClockTime());
        }
        return command.minFeatureLevel() == WindowCommands.MIN_FEATURE_LEVEL
                ? executeWindowCommand(command)
                : executeGroupCommand(command);
    }

    private Reply executeWindowCommand(Command command) {
        long wallClockMs = time.wallClockTime();
        if (command instanceof WindowCommands.SetFleet request) {
            return windows.setPlan(request.plan(), wallClockMs);
        }
        if (command instanceof WindowCommands.Propose request) {
            return windows.propose(request.wish(), wallClockMs);
        }
        if (command instanceof WindowCommands.Withdraw request) {
            return windows.withdraw(request.id(), request.by(), wallClockMs);
        }
        if (command instanceof WindowCommands.Pause request) {
            return windows.pause(request.id(), request.on(), request.by(), wallClockMs);
        }
        if (command instanceof WindowCommands.Begin request) {
            Rejection rejection =
                    checkFencingToken(
                            regionOfWindow(request.id()), request.owner(), request.fence());
            return rejection != null ? rejection : windows.begin(request.id(), wallClockMs);
        }
        if (command instanceof WindowCommands.Report request) {
            Rejection rejection =
                    checkFencingToken(
                            regionOfWindow(request.id()), request.owner(), request.fence());
            return rejection != null
                    ? rejection
                    : windows.report(request.id(), request.step(), request.proven(), wallClockMs);
        }
        WindowCommands.Outage request = (WindowCommands.Outage) command;
        Rejection rejection = checkFencingToken(request.region(), request.owner(), request.fence());
        return rejection != null
                ? rejection
                : windows.reportOutage(request.region(), request.lost(), wallClockMs);
    }

    private String regionOfWindow(long windowId) {
        return windows.find(windowId) == null ? "" : windows.find(windowId).wish().region();
    }

    /**
     * Checks that the request comes from the agent that holds the region's lease now. Returns the
     * rejection, or null.
     */
    private Rejection checkFencingToken(String region, String owner, long fencingToken) {
        return leases.isHeldBy(WindowCommands.leaseName(region), owner, fencingToken, time.now())
                ? null
                : new Rejection(
                        "fenced",
                        "the lease " + WindowCommands.leaseName(region) + " is not held so",
                        0);
    }

    private Reply executeGroupCommand(Command command) {
        if (command instanceof GroupCommands.Tick tick) {
            return tick(tick);
        }
        if (command instanceof GroupCommands.Introduce request) {
            return introduce(request);
        }
        if (command instanceof GroupCommands.Forget request) {
            return forget(request);
        }
        if (command instanceof GroupCommands.SkipFences skip) {
            leases.skipFencingTokens(skip.upTo());
            return new Acknowledgement("skipped");
        }
        throw new IllegalStateException(
                "unknown command type: " + command.getClass().getSimpleName());
    }

    private Acknowledgement tick(GroupCommands.Tick tick) {
        time.updateWallClocks(tick.walls(), tick.voters());
        tick.speaks()
                .forEach(
                        (name, speaks) ->
                                members.computeIfPresent(
                                        name,
                                        (key, row) ->
                                                new MemberRow(
                                                        row.disk(),
                                                        row.peers(),
                                                        row.clients(),
                                                        speaks)));
        raiseFeatureLevel(tick.voters());
        return new Acknowledgement("ticked");
    }

    private Reply introduce(GroupCommands.Introduce request) {
        MemberRow previous = members.get(request.member());
        if (previous != null && !previous.disk().equals(request.disk())) {
            return new Rejection("other-disk", request.member() + " was on another disk", 0);
        }
        int speaks = previous == null ? 0 : previous.speaks();
        members.put(
                request.member(),
                new MemberRow(request.disk(), request.peers(), request.clients(), speaks));
        return new Acknowledgement("known");
    }

    private Acknowledgement forget(GroupCommands.Forget request) {
        // The Raft engine accepts no name twice; replicas below level 2 do not retire names.
        if (featureLevel >= 2) {
            members.put(request.member(), new MemberRow(RETIRED_DISK, null, null, 0));
        } else {
            members.remove(request.member());
        }
        return new Acknowledgement("forgotten");
    }

    /** Raises the feature level to the highest one that every voter supports. It never falls. */
    private void raiseFeatureLevel(Collection<String> voters) {
        if (voters.isEmpty()) {
            return;
        }
        int minLevel = Integer.MAX_VALUE;
        for (String voter : voters) {
            MemberRow row = members.get(voter);
            minLevel = Math.min(minLevel, row == null ? 0 : row.speaks());
        }
        featureLevel = Math.max(featureLevel, minLevel);
    }

    /** Returns the feature level at which the group works. */
    public int featureLevel() {
        return featureLevel;
    }

    /** Returns the group's clocks. */
    public GroupTime time() {
        return time;
    }

    /** Returns the group's leases. */
    public Leases leases() {
        return leases;
    }

    /** Returns the group's maintenance windows. */
    public Windows windows() {
        return windows;
    }

    /** Returns the group's configuration. */
    public ConfigurationRegistry configuration() {
        return configuration;
    }

    /** Returns the group's advice. */
    public AdviceLog advice() {
        return advice;
    }

    /** Returns the group's members by name. */
    public Map<String, MemberRow> members() {
        return members;
    }

    /** Returns the number of client sessions. */
    public int sessionCount() {
        return sessions.size();
    }
}
