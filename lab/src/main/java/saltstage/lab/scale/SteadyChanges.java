package saltstage.lab.scale;

import saltstage.coordinator.client.GroupClient;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;

/** Changes at a steady rate from a thread of their own, and when they came into force where. */
final class SteadyChanges {
    private static final java.time.Duration CALL = java.time.Duration.ofSeconds(12);

    private final ConfigurationLoad load;
    private final GroupClient client;
    private final List<ConfigurationLoad.Accepted> accepted = new ArrayList<>();
    private final Thread writer;
    private volatile boolean over;
    private int failed;

    /** Begins at once. */
    SteadyChanges(ConfigurationLoad load, GroupClient client, double perSecond) {
        this.load = load;
        this.client = client;
        writer = new Thread(() -> write(perSecond), "writer");
        writer.setDaemon(true);
        writer.start();
    }

    private void write(double perSecond) {
        double due = System.nanoTime();
        while (!over) {
            try {
                Thread.sleep(Math.max(0, (long) ((due - System.nanoTime()) / 1e6)));
                due = Math.max(due + 1e9 / perSecond, System.nanoTime() - 1e9);
                ConfigurationLoad.Accepted one = load.change(client, 1, CALL);
                synchronized (accepted) {
                    accepted.add(one);
                }
            } catch (IOException refused) {
                failed++;
            } catch (InterruptedException ended) {
                return;
            }
        }
    }

    /** Ends the writing after the change that is under way. */
    void end() throws InterruptedException {
        over = true;
        writer.join();
    }

    /** Those that were accepted. */
    List<ConfigurationLoad.Accepted> accepted() {
        synchronized (accepted) {
            return List.copyOf(accepted);
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
    record Times(
            int changes,
            double p50,
            double p99,
            double everywhereMedian,
            double everywhereMost,
            long missing,
            int failed) {
        /** Adds them to a file, each with this prefix. */
        void addTo(MeasurementFile file, String prefix) {
            file.add(prefix + "_changes", changes);
            file.add(prefix + "_p50_s", p50);
            file.add(prefix + "_p99_s", p99);
            file.add(prefix + "_everywhere_median_s", everywhereMedian);
            file.add(prefix + "_everywhere_most_s", everywhereMost);
            file.add(prefix + "_missing", missing);
            file.add(prefix + "_unanswered_changes", failed);
        }
    }

    /** The times at these relays. */
    Times times(InForceLog log, Collection<Integer> relays) {
        List<double[]> byChange =
                accepted().stream()
                        .map(change -> log.seconds(relays, change.revision(), change.askedNanos()))
                        .toList();
        double[] all = byChange.stream().flatMapToDouble(Arrays::stream).sorted().toArray();
        double[] everywhere =
                byChange.stream()
                        .filter(times -> times.length == relays.size())
                        .mapToDouble(times -> times[times.length - 1])
                        .sorted()
                        .toArray();
        long missing = (long) byChange.size() * relays.size() - all.length;
        return new Times(
                byChange.size(),
                quantile(all, 0.5),
                quantile(all, 0.99),
                quantile(everywhere, 0.5),
                quantile(everywhere, 1),
                missing,
                failed);
    }

    private static double quantile(double[] sorted, double share) {
        if (sorted.length == 0) {
            return Double.NaN;
        }
        return sorted[Math.min(sorted.length - 1, (int) Math.ceil(share * sorted.length) - 1)];
    }
}
