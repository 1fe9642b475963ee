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
                featureLevel < ConfigurationCommands.SINCE ? null : configuration.image());
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
        Reply known = sessions.previousReply(entry.client(), entry.seq());
        if (known != null) {
            return known;
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
        if (command instanceof LeaseCommands.Acquire ask) {
            return leases.acquire(ask, time.now());
        }
        if (command instanceof LeaseCommands.Renew ask) {
            return leases.renew(ask, time.now());
        }
        if (command instanceof LeaseCommands.Release ask) {
            return new Acknowledgement(leases.release(ask, time.now()) ? "released" : "not-held");
        }
        if (command instanceof AdviceCommands.Advise ask) {
            return leases.isHeldBy(AdviceCommands.LEASE_NAME, ask.owner(), ask.fence(), time.now())
                    ? advice.advise(ask, time.now())
                    : new Rejection("fenced", "the advisor's lease is not held so", 0);
        }
        if (command instanceof AdviceCommands.Decide ask) {
            return advice.decide(ask, time.now());
        }
        if (command instanceof AdviceCommands.Outcome ask) {
            return advice.outcome(ask, time.now());
        }
        if (command instanceof ConfigurationCommands.ChangeConfiguration ask) {
            return configuration.change(ask, time.wallClockTime());
        }
        return command.minFeatureLevel() == WindowCommands.MIN_FEATURE_LEVEL
                ? executeWindowCommand(command)
                : executeGroupCommand(command);
    }

    private Reply executeWindowCommand(Command command) {
        long day = time.wallClockTime();
        if (command instanceof WindowCommands.SetFleet ask) {
            return windows.setPlan(ask.plan(), day);
        }
        if (command instanceof WindowCommands.Propose ask) {
            return windows.propose(ask.wish(), day);
        }
        if (command instanceof WindowCommands.Withdraw ask) {
            return windows.withdraw(ask.id(), ask.by(), day);
        }
        if (command instanceof WindowCommands.Pause ask) {
            return windows.pause(ask.id(), ask.on(), ask.by(), day);
        }
        if (command instanceof WindowCommands.Begin ask) {
            Rejection old = checkFencingToken(regionOfWindow(ask.id()), ask.owner(), ask.fence());
            return old != null ? old : windows.begin(ask.id(), day);
        }
        if (command instanceof WindowCommands.Report ask) {
            Rejection old = checkFencingToken(regionOfWindow(ask.id()), ask.owner(), ask.fence());
            return old != null ? old : windows.report(ask.id(), ask.step(), ask.proven(), day);
        }
        WindowCommands.Outage ask = (WindowCommands.Outage) command;
        Rejection old = checkFencingToken(ask.region(), ask.owner(), ask.fence());
        return old != null ? old : windows.reportOutage(ask.region(), ask.lost(), day);
    }

    private String regionOfWindow(long window) {
        return windows.find(window) == null ? "" : windows.find(window).wish().region();
    }

    /**
     * Checks that the request comes from the agent that holds the region's lease now. Returns the
     * rejection, or null.
     */
    private Rejection checkFencingToken(String region, String owner, long fence) {
        return leases.isHeldBy(WindowCommands.leaseName(region), owner, fence, time.now())
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
        if (command instanceof GroupCommands.Introduce who) {
            return introduce(who);
        }
        if (command instanceof GroupCommands.Forget who) {
            return forget(who);
        }
        if (command instanceof GroupCommands.SkipFences skip) {
            leases.skipFencingTokens(skip.upTo());
            return new Acknowledgement("skipped");
        }
        throw new IllegalStateException("no such command: " + command.getClass().getSimpleName());
    }

    private Acknowledgement tick(GroupCommands.Tick tick) {
        time.updateWallClocks(tick.walls(), tick.voters());
        tick.speaks()
                .forEach(
                        (name, speaks) ->
                                members.computeIfPresent(
                                        name,
                                        (any, row) ->
                                                new MemberRow(
                                                        row.disk(),
                                                        row.peers(),
                                                        row.clients(),
                                                        speaks)));
        raiseFeatureLevel(tick.voters());
        return new Acknowledgement("ticked");
    }

    private Reply introduce(GroupCommands.Introduce who) {
        MemberRow before = members.get(who.member());
        if (before != null && !before.disk().equals(who.disk())) {
            return new Rejection("other-disk", who.member() + " was on another disk", 0);
        }
        int speaks = before == null ? 0 : before.speaks();
        members.put(who.member(), new MemberRow(who.disk(), who.peers(), who.clients(), speaks));
        return new Acknowledgement("known");
    }

    private Acknowledgement forget(GroupCommands.Forget who) {
        // The Raft engine accepts no name twice; replicas below level 2 do not retire names.
        if (featureLevel >= 2) {
            members.put(who.member(), new MemberRow(RETIRED_DISK, null, null, 0));
        } else {
            members.remove(who.member());
        }
        return new Acknowledgement("forgotten");
    }

    /** Raises the feature level to the highest one that every voter supports. It never falls. */
    private void raiseFeatureLevel(Collection<String> voters) {
        if (voters.isEmpty()) {
            return;
        }
        int least = Integer.MAX_VALUE;
        for (String voter : voters) {
            MemberRow row = members.get(voter);
            least = Math.min(least, row == null ? 0 : row.speaks());
        }
        featureLevel = Math.max(featureLevel, least);
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
