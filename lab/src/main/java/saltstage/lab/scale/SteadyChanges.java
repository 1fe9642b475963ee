package saltstage.lab.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import saltstage.coordinator.client.GroupClient;

/** Changes at a steady rate from a thread of their own, and when they came into force where. */
final class SteadyChanges {
    private static final java.time.Duration CALL_TIMEOUT = java.time.Duration.ofSeconds(12);

    private final ConfigurationLoadGenerator configurationLoad;
    private final GroupClient client;
    private final List<ConfigurationLoadGenerator.AcceptedRevision> acceptedRevisions =
            new ArrayList<>();
    private final Thread writerThread;
    private volatile boolean stopped;
    private int failedCount;

    /** Begins at once. */
    SteadyChanges(ConfigurationLoadGenerator load, GroupClient client, double perSecond) {
        this.configurationLoad = load;
        this.client = client;
        writerThread = new Thread(() -> writeLoop(perSecond), "writer");
        writerThread.setDaemon(true);
        writerThread.start();
    }

    private void writeLoop(double perSecond) {
        double due = System.nanoTime();
        while (!stopped) {
            try {
                Thread.sleep(Math.max(0, (long) ((due - System.nanoTime()) / 1e6)));
                due = Math.max(due + 1e9 / perSecond, System.nanoTime() - 1e9);
                ConfigurationLoadGenerator.AcceptedRevision one =
                        configurationLoad.changeShards(client, 1, CALL_TIMEOUT);
                synchronized (acceptedRevisions) {
                    acceptedRevisions.add(one);
                }
            } catch (IOException refused) {
                failedCount++;
            } catch (InterruptedException ended) {
                return;
            }
        }
    }

    /** Ends the writing after the change that is under way. */
    void stop() throws InterruptedException {
        stopped = true;
        writerThread.join();
    }

    /** Those that were accepted. */
    List<ConfigurationLoadGenerator.AcceptedRevision> acceptedRevisions() {
        synchronized (acceptedRevisions) {
            return List.copyOf(acceptedRevisions);
        }
    }

    /**
     * Times until changes were in force, in seconds from the moment they were asked for.
     *
     * @param p50 over all changes and relays
     * @param p99 over all changes and relays
     * @param everywhereMedian until the last relay had it, the median over changes
     * @param everywhereMost the same, at the most
     * @param missing pairs of change and relay that never came
     * @param failed changes without an answer
     */
    record PropagationTimes(
            int changeCount,
            double p50Seconds,
            double p99Seconds,
            double everywhereMedianSeconds,
            double everywhereMaxSeconds,
            long missingCount,
            int failedCount) {
        /** Adds them to a file, each with this prefix. */
        void addTo(MeasurementFile file, String prefix) {
            file.addFigure(prefix + "_changes", changeCount);
            file.addFigure(prefix + "_p50_s", p50Seconds);
            file.addFigure(prefix + "_p99_s", p99Seconds);
            file.addFigure(prefix + "_everywhere_median_s", everywhereMedianSeconds);
            file.addFigure(prefix + "_everywhere_most_s", everywhereMaxSeconds);
            file.addFigure(prefix + "_missing", missingCount);
            file.addFigure(prefix + "_unanswered_changes", failedCount);
        }
    }

    /** The times at these relays. */
    PropagationTimes propagationTimes(AppliedRevisionLog log, Collection<Integer> relays) {
        List<double[]> byChange =
                acceptedRevisions().stream()
                        .map(
                                change ->
                                        log.secondsUntilApplied(
                                                relays, change.revision(), change.sentNanos()))
                        .toList();
        double[] all = byChange.stream().flatMapToDouble(Arrays::stream).sorted().toArray();
        double[] everywhere =
                byChange.stream()
                        .filter(times -> times.length == relays.size())
                        .mapToDouble(times -> times[times.length - 1])
                        .sorted()
                        .toArray();
        long missing = (long) byChange.size() * relays.size() - all.length;
        return new PropagationTimes(
                byChange.size(),
                quantile(all, 0.5),
                quantile(all, 0.99),
                quantile(everywhere, 0.5),
                quantile(everywhere, 1),
                missing,
                failedCount);
    }

    private static double quantile(double[] sorted, double share) {
        if (sorted.length == 0) {
            return Double.NaN;
        }
        return sorted[Math.min(sorted.length - 1, (int) Math.ceil(share * sorted.length) - 1)];
    }
}
