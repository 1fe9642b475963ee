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
import saltstage.coordinator.model.Command;
import saltstage.coordinator.model.Done;
import saltstage.coordinator.model.Refused;
import saltstage.coordinator.model.Reply;
import saltstage.coordinator.window.WindowCommands;
import saltstage.coordinator.window.Windows;

/**
 * All that a group keeps, and the one place where a command becomes a change of it. The same log
 * gives the same state at every replica: nothing here reads a clock, draws a number or does I/O.
 * One thread at a time.
 */
public final class GroupState {
    /** The highest feature level that this build knows. */
    public static final int SPEAKS = 4;

    /** The disk of a name that was given up: no disk has it. */
    public static final String RETIRED = "retired";

    /** Where a member is, and the disk that its log is on. */
    public record MemberRow(String disk, String peers, String clients, int speaks) {}

    /** What a snapshot keeps; what is null is not written. */
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

    private int level;
    private final GroupTime time;
    private final Sessions sessions;
    private final Leases leases;
    private final Map<String, MemberRow> members;
    private final Windows windows;
    private final AdviceLog advice;
    private final ConfigurationRegistry configuration;

    /** A new group. */
    public GroupState() {
        this(
                new Image(
                        1,
                        GroupTime.zero().image(),
                        List.of(),
                        new Leases().image(),
                        Map.of(),
                        new Windows().image(),
                        new AdviceLog().image(),
                        new ConfigurationRegistry().image()));
    }

    /** As a snapshot has it. */
    public GroupState(Image image) {
        level = image.level();
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

    /** What a snapshot keeps; equal states give equal images. */
    public Image image() {
        // A group that still works at level 1 has replicas that know no windows, and take no field
        // more.
        return new Image(
                level,
                time.image(),
                sessions.image(),
                leases.image(),
                new TreeMap<>(members),
                level < WindowCommands.SINCE ? null : windows.image(),
                level < AdviceCommands.SINCE ? null : advice.image(),
                level < ConfigurationCommands.SINCE ? null : configuration.image());
    }

    /** Carries one entry of the log out. */
    public Reply apply(Proposal entry) {
        time.stamped(entry.epoch(), entry.stampMs());
        leases.advance(time.now());
        windows.advance(time.day());
        advice.advance(time.now());
        if (entry.client().isEmpty()) {
            return carryOut(entry.command());
        }
        Reply known = sessions.known(entry.client(), entry.seq());
        if (known != null) {
            return known;
        }
        Reply reply;
        try {
            reply = carryOut(entry.command());
        } catch (
                RuntimeException
                        fault) { // the same at every replica; one bad command must not end them all
            reply =
                    new Refused(
                            "fault",
                            "the command could not be carried out: "
                                    + fault.getClass().getSimpleName(),
                            0);
        }
        sessions.keep(entry.client(), entry.seq(), reply, time.now());
        return reply;
    }

    private Reply carryOut(Command command) {
        if (command.since() > level) {
            return new Refused(
                    "not-yet",
                    "the group works at level "
                            + level
                            + "; this takes level "
                            + command.since()
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
            return new Done(leases.release(ask, time.now()) ? "released" : "not-held");
        }
        if (command instanceof AdviceCommands.Advise ask) {
            return leases.holds(AdviceCommands.LEASE, ask.owner(), ask.fence(), time.now())
                    ? advice.advise(ask, time.now())
                    : new Refused("fenced", "the advisor's lease is not held so", 0);
        }
        if (command instanceof AdviceCommands.Decide ask) {
            return advice.decide(ask, time.now());
        }
        if (command instanceof AdviceCommands.Outcome ask) {
            return advice.outcome(ask, time.now());
        }
        if (command instanceof ConfigurationCommands.ChangeConfiguration ask) {
            return configuration.change(ask, time.day());
        }
        return command.since() == WindowCommands.SINCE ? window(command) : ownBusiness(command);
    }

    private Reply window(Command command) {
        long day = time.day();
        if (command instanceof WindowCommands.SetFleet ask) {
            return windows.set(ask.plan(), day);
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
            Refused old = fenced(region(ask.id()), ask.owner(), ask.fence());
            return old != null ? old : windows.begin(ask.id(), day);
        }
        if (command instanceof WindowCommands.Report ask) {
            Refused old = fenced(region(ask.id()), ask.owner(), ask.fence());
            return old != null ? old : windows.report(ask.id(), ask.step(), ask.proven(), day);
        }
        WindowCommands.Outage ask = (WindowCommands.Outage) command;
        Refused old = fenced(ask.region(), ask.owner(), ask.fence());
        return old != null ? old : windows.outage(ask.region(), ask.lost(), day);
    }

    private String region(long window) {
        return windows.find(window) == null ? "" : windows.find(window).wish().region();
    }

    /** Only the agent that holds a region's lease now speaks for it. */
    private Refused fenced(String region, String owner, long fence) {
        return leases.holds(WindowCommands.lease(region), owner, fence, time.now())
                ? null
                : new Refused(
                        "fenced",
                        "the lease " + WindowCommands.lease(region) + " is not held so",
                        0);
    }

    private Reply ownBusiness(Command command) {
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
            leases.skipFences(skip.upTo());
            return new Done("skipped");
        }
        throw new IllegalStateException("no such command: " + command.getClass().getSimpleName());
    }

    private Done tick(GroupCommands.Tick tick) {
        time.walls(tick.walls(), tick.voters());
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
        raise(tick.voters());
        return new Done("ticked");
    }

    private Reply introduce(GroupCommands.Introduce who) {
        MemberRow before = members.get(who.member());
        if (before != null && !before.disk().equals(who.disk())) {
            return new Refused("other-disk", who.member() + " was on another disk", 0);
        }
        int speaks = before == null ? 0 : before.speaks();
        members.put(who.member(), new MemberRow(who.disk(), who.peers(), who.clients(), speaks));
        return new Done("known");
    }

    private Done forget(GroupCommands.Forget who) {
        if (level
                >= 2) { // the engine takes no name twice; before level 2 replicas did not know that
            members.put(who.member(), new MemberRow(RETIRED, null, null, 0));
        } else {
            members.remove(who.member());
        }
        return new Done("forgotten");
    }

    /** The group uses what every voter knows, and goes back from nothing. */
    private void raise(Collection<String> voters) {
        if (voters.isEmpty()) {
            return;
        }
        int least = Integer.MAX_VALUE;
        for (String voter : voters) {
            MemberRow row = members.get(voter);
            least = Math.min(least, row == null ? 0 : row.speaks());
        }
        level = Math.max(level, least);
    }

    /** The feature level that the group works at. */
    public int level() {
        return level;
    }

    /** Its clocks. */
    public GroupTime time() {
        return time;
    }

    /** Its leases. */
    public Leases leases() {
        return leases;
    }

    /** Its maintenance windows. */
    public Windows windows() {
        return windows;
    }

    /** Its configuration. */
    public ConfigurationRegistry configuration() {
        return configuration;
    }

    /** Its advice. */
    public AdviceLog advice() {
        return advice;
    }

    /** Its members, by name. */
    public Map<String, MemberRow> members() {
        return members;
    }

    /** How many sessions it remembers. */
    public int sessions() {
        return sessions.size();
    }
}
