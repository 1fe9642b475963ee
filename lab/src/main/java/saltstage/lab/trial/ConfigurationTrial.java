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
import saltstage.lab.trial.ConfigurationWriter.Accepted;

/**
 * A group, its distributors and followers in processes of their own, with changes written while
 * faults befall them. The witness outside judges: nothing that was not accepted, nobody goes back,
 * no other digest than the writer's, all digests agree in the end, and each change in force at each
 * live follower within {@link #LIMIT_MS}.
 */
public final class ConfigurationTrial implements AutoCloseable {
    /** A change is in force at each live follower within so many milliseconds. */
    public static final long LIMIT_MS = 9_000;

    private static final Duration START = Duration.ofSeconds(60);
    private static final int CONVERGES_MS = 30_000;
    private static final int PAUSE_MS = 120;
    private static final int AFTER_FAULT_MS = 800;

    /**
     * How a trial went; times from acceptance to in force, in milliseconds, over all changes and
     * live followers.
     *
     * @param longestMsByFault the longest of the changes accepted under each kind of fault
     */
    public record Verdict(
            long seed,
            int changes,
            int observations,
            long medianMs,
            long p99Ms,
            long longestMs,
            Map<String, Long> longestMsByFault,
            List<String> broken) {}

    /** Followers that were not live, or nobody who served, for this span of the witness's time. */
    private record Down(String followers, long fromMs, long toMs) {
        boolean covers(String follower, long fromMs, long toMs) {
            return follower.startsWith(followers) && this.fromMs <= toMs && this.toMs >= fromMs;
        }
    }

    private record Write(Accepted accepted, ConfigurationFault.Kind under) {}

    private final ConfigurationWitness witness = new ConfigurationWitness();
    private final GroupUnderTest group;
    private final ConfigurationFleet fleet;
    private final ConfigurationWriter writer;
    private final List<Down> down = new ArrayList<>();
    private final List<Write> writes = new ArrayList<>();

    /** Starts all of it in a folder of its own, with so many followers a zone. */
    public ConfigurationTrial(Path dir, int followersPerZone)
            throws IOException, InterruptedException {
        List<Path> jars = List.of(Proc.builtJar());
        group = new GroupUnderTest(dir, 3, jars, "  snapshot_every = 100\n").start();
        group.leader(START);
        fleet = new ConfigurationFleet(dir, group, witness, followersPerZone);
        writer = new ConfigurationWriter(group.client(), witness, 1);
        writer.begin(START);
        fleet.start(START);
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

    ConfigurationWitness witness() {
        return witness;
    }

    /** Plays so many faults of a seed and judges. */
    public Verdict play(long seed, int faults) throws IOException, InterruptedException {
        writes.clear();
        down.clear();
        write(null, AFTER_FAULT_MS);
        for (ConfigurationFault fault : ConfigurationFault.script(seed, faults, fleet)) {
            play(fault);
        }
        return judge(seed);
    }

    private void play(ConfigurationFault fault) throws IOException, InterruptedException {
        long fromMs = witness.nowMs();
        fault.begin(group, fleet);
        boolean nobodyWrites = fault.kind() == ConfigurationFault.Kind.CONTROL_RESTARTED;
        if (!nobodyWrites) {
            write(fault.kind(), fault.lastsMs());
        }
        fault.end(group, fleet);
        if (fault.kind() == ConfigurationFault.Kind.FOLLOWERS_KILLED) {
            awaitStart(fault.at(), fromMs);
        }
        if (fault.stopsFollowers()) {
            down.add(new Down(fault.at(), fromMs, witness.nowMs()));
        } else if (nobodyWrites) {
            down.add(new Down("", fromMs, witness.nowMs()));
        }
        write(fault.kind(), AFTER_FAULT_MS);
    }

    private void awaitStart(String followers, long sinceMs) throws InterruptedException {
        long untilMs = witness.nowMs() + START.toMillis();
        while (witness.newest().values().stream()
                .anyMatch(one -> one.follower().startsWith(followers) && one.atMs() < sinceMs)) {
            if (witness.nowMs() > untilMs) {
                witness.breach(followers + " did not start again");
                return;
            }
            Thread.sleep(10);
        }
    }

    private void write(ConfigurationFault.Kind under, long forMs)
            throws IOException, InterruptedException {
        long untilMs = witness.nowMs() + forMs;
        do {
            writes.add(new Write(writer.moveShards(), under));
            Thread.sleep(PAUSE_MS);
        } while (witness.nowMs() < untilMs);
    }

    private Verdict judge(long seed) throws IOException, InterruptedException {
        Accepted last = writes.get(writes.size() - 1).accepted();
        if (!witness.awaitRevision(last.revision(), fleet.followerCount(), CONVERGES_MS)) {
            witness.breach("not all followers came to revision " + last.revision());
        }
        Map<Long, String> digests = writer.digests();
        witness.compare(digests);
        witness.newest().values().stream()
                .filter(one -> !one.digest().equals(digests.get(one.revision())))
                .forEach(one -> witness.breach(one.follower() + " ends with another digest"));
        Histogram times = new Histogram(3);
        Map<ConfigurationFault.Kind, Long> longest = new EnumMap<>(ConfigurationFault.Kind.class);
        for (Write write : writes) {
            for (long ms : timesInForce(write.accepted())) {
                times.recordValue(ms);
                if (write.under() != null) {
                    longest.merge(write.under(), ms, Math::max);
                }
            }
        }
        if (times.getMaxValue() > LIMIT_MS) {
            witness.breach("a change was in force only after " + times.getMaxValue() + " ms");
        }
        Map<String, Long> named = new TreeMap<>();
        longest.forEach((kind, ms) -> named.put(kind.name().toLowerCase(), ms));
        return new Verdict(
                seed,
                writes.size(),
                witness.size(),
                times.getValueAtPercentile(50),
                times.getValueAtPercentile(99),
                times.getMaxValue(),
                named,
                witness.broken());
    }

    /** From acceptance, or from when the follower was live again, to in force; by follower. */
    private List<Long> timesInForce(Accepted accepted) {
        List<Long> times = new ArrayList<>();
        witness.inForceMs(accepted.revision())
                .forEach((follower, atMs) -> times.add(timeInForce(accepted, follower, atMs)));
        return times;
    }

    private long timeInForce(Accepted accepted, String follower, long atMs) {
        long fromMs = accepted.atMs();
        for (Down span : down) {
            if (span.covers(follower, accepted.atMs(), atMs)) {
                fromMs = Math.max(fromMs, span.toMs());
            }
        }
        return Math.max(0, atMs - fromMs);
    }

    @Override
    public void close() throws IOException, InterruptedException {
        fleet.close();
        group.close();
        witness.close();
    }
}
