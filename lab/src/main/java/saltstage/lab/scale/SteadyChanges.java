package saltstage.lab.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import saltstage.coordinator.client.GroupClient;

/**
 * Writes configuration changes at a steady rate on its own thread, and computes how long they took
 * to reach the relays.
 */
final class SteadyChanges {
    private static final java.time.Duration CALL_TIMEOUT = java.time.Duration.ofSeconds(12);

    private final ConfigurationLoadGenerator configurationLoad;
    private final GroupClient client;
    private final List<ConfigurationLoadGenerator.AcceptedRevision> acceptedRevisions =
            new ArrayList<>();
    private final Thread writerThread;
    private volatile boolean stopped;
    private int failedCount;

    /** Starts to write changes immediately. */
    SteadyChanges(
            ConfigurationLoadGenerator configurationLoad,
            GroupClient client,
            double changesPerSecond) {
        this.configurationLoad = configurationLoad;
        this.client = client;
        writerThread = new Thread(() -> writeLoop(changesPerSecond), "writer");
        writerThread.setDaemon(true);
        writerThread.start();
    }

    private void writeLoop(double changesPerSecond) {
        double dueNanos = System.nanoTime();
        while (!stopped) {
            try {
                Thread.sleep(Math.max(0, (long) ((dueNanos - System.nanoTime()) / 1e6)));
                dueNanos = Math.max(dueNanos + 1e9 / changesPerSecond, System.nanoTime() - 1e9);
                ConfigurationLoadGenerator.AcceptedRevision accepted =
                        configurationLoad.changeShards(client, 1, CALL_TIMEOUT);
                synchronized (acceptedRevisions) {
                    acceptedRevisions.add(accepted);
                }
            } catch (IOException failure) {
                failedCount++;
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    /** Stops after the change in progress and waits for the writer thread to end. */
    void stop() throws InterruptedException {
        stopped = true;
        writerThread.join();
    }

    /** The revisions of the changes that were accepted so far. */
    List<ConfigurationLoadGenerator.AcceptedRevision> acceptedRevisions() {
        synchronized (acceptedRevisions) {
            return List.copyOf(acceptedRevisions);
        }
    }

    /**
     * Times from the request of a change until relays applied it, in seconds.
     *
     * @param changeCount number of accepted changes
     * @param p50Seconds median over all pairs of change and relay
     * @param p99Seconds 99th percentile over all pairs of change and relay
     * @param everywhereMedianSeconds time until the last relay applied a change, the median over
     *     changes
     * @param everywhereMaxSeconds time until the last relay applied a change, the maximum over
     *     changes
     * @param missingCount number of pairs of change and relay where the relay never applied the
     *     change
     * @param failedCount number of changes that failed or got no answer
     */
    record PropagationTimes(
            int changeCount,
            double p50Seconds,
            double p99Seconds,
            double everywhereMedianSeconds,
            double everywhereMaxSeconds,
            long missingCount,
            int failedCount) {
        /** Adds the figures to a file, each with this prefix. */
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

    /** Computes the propagation times of all accepted changes to these relays. */
    PropagationTimes propagationTimes(AppliedRevisionLog revisionLog, Collection<Integer> relays) {
        List<double[]> byChange =
                acceptedRevisions().stream()
                        .map(
                                change ->
                                        revisionLog.secondsUntilApplied(
                                                relays, change.revision(), change.sentNanos()))
                        .toList();
        double[] allTimes = byChange.stream().flatMapToDouble(Arrays::stream).sorted().toArray();
        double[] completionTimes =
                byChange.stream()
                        .filter(times -> times.length == relays.size())
                        .mapToDouble(times -> times[times.length - 1])
                        .sorted()
                        .toArray();
        long missingCount = (long) byChange.size() * relays.size() - allTimes.length;
        return new PropagationTimes(
                byChange.size(),
                quantile(allTimes, 0.5),
                quantile(allTimes, 0.99),
                quantile(completionTimes, 0.5),
                quantile(completionTimes, 1),
                missingCount,
                failedCount);
    }

    private static double quantile(double[] sorted, double fraction) {
        if (sorted.length == 0) {
            return Double.NaN;
        }
        return sorted[Math.min(sorted.length - 1, (int) Math.ceil(fraction * sorted.length) - 1)];
    }
}
