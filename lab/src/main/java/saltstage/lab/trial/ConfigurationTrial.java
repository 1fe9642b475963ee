package saltstage.lab.trial;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import saltstage.lab.trial.ConfigurationWriter.AcceptedRevision;

/**
 * Writes configuration changes while faults are injected into a group, its distributors and its
 * followers, all of which run in processes of their own. A separate observer checks that followers
 * apply only accepted changes, that none goes back to an older revision, that every digest equals
 * the writer's, that all digests agree in the end, and that each live follower applies each change
 * within {@link #MAX_PROPAGATION_MS}.
 */
public final class ConfigurationTrial implements AutoCloseable {
    /** Milliseconds within which each live follower must have applied an accepted change. */
    public static final long MAX_PROPAGATION_MS = 9_000;

    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final int CONVERGENCE_TIMEOUT_MS = 30_000;
    private static final int WRITE_INTERVAL_MS = 120;
    private static final int WRITE_AFTER_FAULT_MS = 800;

    /**
     * The result of a trial. Times are milliseconds from the acceptance of a change until it was
     * applied, over all changes and live followers.
     *
     * @param maxMsByFault the longest time of a change accepted under each kind of fault
     */
    public record Verdict(
            long seed,
            int changeCount,
            int observationCount,
            long medianMs,
            long p99Ms,
            long maxMs,
            Map<String, Long> maxMsByFault,
            List<String> violations) {}

    /**
     * A time span of the observer's clock in which followers with this prefix were stopped, or,
     * with an empty prefix, no source served any follower.
     */
    private record Outage(String followerPrefix, long fromMs, long toMs) {
        boolean covers(String follower, long fromMs, long toMs) {
            return follower.startsWith(followerPrefix)
                    && this.fromMs <= toMs
                    && this.toMs >= fromMs;
        }
    }

    private record WrittenChange(AcceptedRevision accepted, ConfigurationFault.Kind faultKind) {}

    private final ConfigurationObserver observer = new ConfigurationObserver();
    private final GroupUnderTest group;
    private final ConfigurationFleet fleet;
    private final ConfigurationWriter writer;
    private final List<Outage> outages = new ArrayList<>();
    private final List<WrittenChange> writtenChanges = new ArrayList<>();

    /** Starts all processes in a directory, with this number of followers in each zone. */
    public ConfigurationTrial(Path dir, int followersPerZone)
            throws IOException, InterruptedException {
        List<Path> jars = List.of(TrialProcess.coordinatorJar());
        group = new GroupUnderTest(dir, 3, jars, "  snapshot_every = 100\n").start();
        group.leader(START_TIMEOUT);
        fleet = new ConfigurationFleet(dir, group, observer, followersPerZone);
        writer = new ConfigurationWriter(group.client(), observer, 1);
        writer.putBackends(START_TIMEOUT);
        fleet.start(START_TIMEOUT);
    }

    GroupUnderTest group() {
        return group;
    }

    ConfigurationFleet fleet() {
        return fleet;
    }

    ConfigurationWriter writer() {
        return writer;
    }

    ConfigurationObserver observer() {
        return observer;
    }

    /** Injects this number of random faults of a seed and evaluates the observations. */
    public Verdict run(long seed, int faults) throws IOException, InterruptedException {
        writtenChanges.clear();
        outages.clear();
        writeChanges(null, WRITE_AFTER_FAULT_MS);
        for (ConfigurationFault fault : ConfigurationFault.randomFaults(seed, faults, fleet)) {
            runFault(fault);
        }
        return evaluate(seed);
    }

    private void runFault(ConfigurationFault fault) throws IOException, InterruptedException {
        long fromMs = observer.elapsedMs();
        fault.inject(group, fleet);
        boolean controlPlaneDown = fault.kind() == ConfigurationFault.Kind.CONTROL_RESTARTED;
        if (!controlPlaneDown) {
            writeChanges(fault.kind(), fault.durationMs());
        }
        fault.repair(group, fleet);
        if (fault.kind() == ConfigurationFault.Kind.FOLLOWERS_KILLED) {
            awaitRestart(fault.target(), fromMs);
        }
        if (fault.stopsFollowers()) {
            outages.add(new Outage(fault.target(), fromMs, observer.elapsedMs()));
        } else if (controlPlaneDown) {
            outages.add(new Outage("", fromMs, observer.elapsedMs()));
        }
        writeChanges(fault.kind(), WRITE_AFTER_FAULT_MS);
    }

    private void awaitRestart(String followers, long sinceMs) throws InterruptedException {
        long untilMs = observer.elapsedMs() + START_TIMEOUT.toMillis();
        while (observer.newestByFollower().values().stream()
                .anyMatch(
                        observation ->
                                observation.follower().startsWith(followers)
                                        && observation.atMs() < sinceMs)) {
            if (observer.elapsedMs() > untilMs) {
                observer.addViolation(followers + " did not start again");
                return;
            }
            Thread.sleep(10);
        }
    }

    private void writeChanges(ConfigurationFault.Kind faultKind, long durationMs)
            throws IOException, InterruptedException {
        long untilMs = observer.elapsedMs() + durationMs;
        do {
            writtenChanges.add(new WrittenChange(writer.moveShards(), faultKind));
            Thread.sleep(WRITE_INTERVAL_MS);
        } while (observer.elapsedMs() < untilMs);
    }

    private Verdict evaluate(long seed) throws IOException, InterruptedException {
        AcceptedRevision last = writtenChanges.get(writtenChanges.size() - 1).accepted();
        if (!observer.awaitRevision(
                last.revision(), fleet.followerCount(), CONVERGENCE_TIMEOUT_MS)) {
            observer.addViolation("not all followers reached revision " + last.revision());
        }
        Map<Long, String> digests = writer.fetchDigests();
        observer.compareWithAccepted(digests);
        observer.newestByFollower().values().stream()
                .filter(
                        observation ->
                                !observation.digest().equals(digests.get(observation.revision())))
                .forEach(
                        observation ->
                                observer.addViolation(
                                        observation.follower() + " ends with another digest"));
        Histogram propagationMs = new Histogram(3);
        Map<ConfigurationFault.Kind, Long> maxMsByKind =
                new EnumMap<>(ConfigurationFault.Kind.class);
        for (WrittenChange write : writtenChanges) {
            for (long ms : propagationTimes(write.accepted())) {
                propagationMs.recordValue(ms);
                if (write.faultKind() != null) {
                    maxMsByKind.merge(write.faultKind(), ms, Math::max);
                }
            }
        }
        if (propagationMs.getMaxValue() > MAX_PROPAGATION_MS) {
            observer.addViolation(
                    "a change was applied only after " + propagationMs.getMaxValue() + " ms");
        }
        Map<String, Long> maxMsByFault = new TreeMap<>();
        maxMsByKind.forEach((kind, ms) -> maxMsByFault.put(kind.name().toLowerCase(), ms));
        return new Verdict(
                seed,
                writtenChanges.size(),
                observer.observationCount(),
                propagationMs.getValueAtPercentile(50),
                propagationMs.getValueAtPercentile(99),
                propagationMs.getMaxValue(),
                maxMsByFault,
                observer.violations());
    }

    /**
     * Returns the time that each follower needed to apply a change, counted from its acceptance or
     * from the end of an outage of the follower, whichever is later.
     */
    private List<Long> propagationTimes(AcceptedRevision accepted) {
        List<Long> times = new ArrayList<>();
        observer.appliedMsByFollower(accepted.revision())
                .forEach((follower, atMs) -> times.add(propagationTime(accepted, follower, atMs)));
        return times;
    }

    private long propagationTime(AcceptedRevision accepted, String follower, long atMs) {
        long fromMs = accepted.atMs();
        for (Outage outage : outages) {
            if (outage.covers(follower, accepted.atMs(), atMs)) {
                fromMs = Math.max(fromMs, outage.toMs());
            }
        }
        return Math.max(0, atMs - fromMs);
    }

    @Override
    public void close() throws IOException, InterruptedException {
        fleet.close();
        group.close();
        observer.close();
    }
}
