package saltstage.lab.trial;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LongSummaryStatistics;
import saltstage.lab.trial.ConfigurationWriter.AcceptedRevision;

/**
 * Demonstrates that configuration changes are applied by all followers of a group while the leader
 * of the group is killed.
 */
final class ConfigurationDemo implements AutoCloseable {
    private static final int FOLLOWERS_PER_ZONE = 20;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);

    private final GroupUnderTest group;
    private final ConfigurationObserver observer = new ConfigurationObserver();
    private final ConfigurationFleet fleet;
    private final ConfigurationWriter writer;

    /** Starts the distributors and followers of the group. */
    ConfigurationDemo(Path dir, GroupUnderTest group) throws IOException, InterruptedException {
        this.group = group;
        fleet = new ConfigurationFleet(dir, group, observer, FOLLOWERS_PER_ZONE);
        writer = new ConfigurationWriter(group.client(), observer, 1);
        writer.putBackends(START_TIMEOUT);
        fleet.start(START_TIMEOUT);
    }

    /**
     * Runs the demonstration. Returns false if a change was not applied everywhere in time or any
     * other check failed.
     */
    boolean run() throws IOException, InterruptedException {
        System.out.println(
                "configuration: 2 distributors, " + fleet.followerCount() + " followers");
        showPropagation("a change", writer.moveShards());
        String leader = group.leader(START_TIMEOUT);
        AcceptedRevision last = writer.moveShards();
        group.process(leader).kill();
        long killedMs = observer.elapsedMs();
        showPropagation("a change accepted by leader " + leader + ", killed at once", last);
        AcceptedRevision next = writer.moveShards();
        System.out.println(
                "  next change accepted " + (next.atMs() - killedMs) + " ms after the kill");
        showPropagation("a change without " + leader, next);
        group.heal();
        observer.compareWithAccepted(writer.fetchDigests());
        System.out.println(
                observer.violations().isEmpty()
                        ? "  all digests agree"
                        : "  VIOLATIONS " + observer.violations());
        return observer.violations().isEmpty();
    }

    private void showPropagation(String description, AcceptedRevision change)
            throws InterruptedException {
        long revision = change.revision();
        if (!observer.awaitRevision(
                revision, fleet.followerCount(), ConfigurationTrial.MAX_PROPAGATION_MS)) {
            observer.addViolation(
                    "revision " + revision + " was not applied by all followers in time");
        }
        LongSummaryStatistics times =
                observer.appliedMsByFollower(revision).values().stream()
                        .mapToLong(atMs -> Math.max(0, atMs - change.atMs()))
                        .summaryStatistics();
        System.out.printf(
                "  %s: revision %d applied by %d followers, the first after %d ms, the last"
                        + " after %d ms%n",
                description, revision, times.getCount(), times.getMin(), times.getMax());
    }

    @Override
    public void close() throws IOException, InterruptedException {
        fleet.close();
        observer.close();
    }
}
