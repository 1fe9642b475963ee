package saltstage.lab.trial;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LongSummaryStatistics;
import saltstage.lab.trial.ConfigurationWriter.Accepted;

/** To look at: changes that go into force at all followers of a group while its leader dies. */
final class ConfigurationDemo implements AutoCloseable {
    private static final int FOLLOWERS_PER_ZONE = 20;
    private static final Duration START = Duration.ofSeconds(60);

    private final GroupUnderTest group;
    private final ConfigurationWitness witness = new ConfigurationWitness();
    private final ConfigurationFleet fleet;
    private final ConfigurationWriter writer;

    /** Starts distributors and followers beside the group. */
    ConfigurationDemo(Path dir, GroupUnderTest group) throws IOException, InterruptedException {
        this.group = group;
        fleet = new ConfigurationFleet(dir, group, witness, FOLLOWERS_PER_ZONE);
        writer = new ConfigurationWriter(group.client(), witness, 1);
        writer.begin(START);
        fleet.start(START);
    }

    /** Plays it; false if a change was not in force everywhere in time, or anything else broke. */
    boolean play() throws IOException, InterruptedException {
        System.out.println(
                "configuration: 2 distributors, " + fleet.followerCount() + " followers");
        show("a change", writer.moveShards());
        String leader = group.leader(START);
        Accepted last = writer.moveShards();
        group.proc(leader).kill();
        long killedMs = witness.nowMs();
        show("a change accepted by leader " + leader + ", killed at once", last);
        Accepted next = writer.moveShards();
        System.out.println(
                "  next change accepted " + (next.atMs() - killedMs) + " ms after the kill");
        show("a change without " + leader, next);
        group.heal();
        witness.compare(writer.digests());
        System.out.println(
                witness.broken().isEmpty()
                        ? "  all digests agree"
                        : "  BROKEN " + witness.broken());
        return witness.broken().isEmpty();
    }

    private void show(String what, Accepted accepted) throws InterruptedException {
        long revision = accepted.revision();
        if (!witness.awaitRevision(
                revision, fleet.followerCount(), ConfigurationTrial.LIMIT_MS)) {
            witness.breach("revision " + revision + " is not in force everywhere in time");
        }
        LongSummaryStatistics times =
                witness.inForceMs(revision).values().stream()
                        .mapToLong(atMs -> Math.max(0, atMs - accepted.atMs()))
                        .summaryStatistics();
        System.out.printf(
                "  %s: revision %d in force at %d followers, the first after %d ms, the last"
                        + " after %d ms%n",
                what, revision, times.getCount(), times.getMin(), times.getMax());
    }

    @Override
    public void close() throws IOException, InterruptedException {
        fleet.close();
        witness.close();
    }
}
