package saltstage.coordinator.distribution;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import saltstage.configuration.Change;
import saltstage.configuration.ConfigurationView;
import saltstage.configuration.follower.ConfigurationClient;
import saltstage.configuration.follower.ConfigurationDirectory;
import saltstage.configuration.follower.FollowerListener;
import saltstage.configuration.follower.FollowerOptions;
import saltstage.configuration.follower.FollowerResources;
import saltstage.configuration.follower.FollowerTimings;
import saltstage.coordinator.client.GroupClient;
import saltstage.coordinator.client.Ticker;
import saltstage.coordinator.settings.DistributorSettings;
import saltstage.log.Log;

/**
 * A running distributor: it follows the group, persists the configuration in force, serves it to
 * its own followers and reports the revisions that they have confirmed. Replicas serve accepted
 * changes only, so a distributor never holds any other. It serves its persisted configuration from
 * the start, even if no replica can be reached.
 */
public final class DistributorProcess implements AutoCloseable {
    /**
     * Timings that are shorter than a relay's: a distributor that waits for a dead replica delays a
     * whole zone, and there are few distributors.
     */
    private static final FollowerTimings FOLLOWER_TIMINGS =
            new FollowerTimings(
                    Duration.ofSeconds(3),
                    Duration.ofMillis(100),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(15),
                    Duration.ofMinutes(1));

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

    /** Called when the distributor cannot continue with a consistent state. */
    public interface FailureHandler {
        /** Ends the process. */
        void terminate(RuntimeException cause);
    }

    private final ConfigurationDirectory directory;
    private final DistributorHttpServer httpServer;
    private final ConfigurationClient client;
    private final ScheduledExecutorService scheduler = newScheduler("distributor-timer");
    private final ScheduledExecutorService writer = newScheduler("distributor-writer");
    private final Thread reporterThread;

    /** Starts a distributor; throws IOException if its directory or address is not available. */
    public DistributorProcess(DistributorSettings settings, FailureHandler failureHandler)
            throws IOException {
        Files.createDirectories(settings.dir());
        directory = new ConfigurationDirectory(settings.dir(), Log::info);
        DistributorHandler handler =
                new DistributorHandler(
                        settings.name(),
                        settings.zone(),
                        directory.persistedConfiguration().view(),
                        DistributorProcess::nowMs);
        httpServer = new DistributorHttpServer(settings.listenAddress(), handler);
        client =
                new ConfigurationClient(
                        followerOptions(settings),
                        followerResources(),
                        directory,
                        directory.persistedConfiguration().view(),
                        new ServingListener(handler, failureHandler));
        GroupClient group =
                new GroupClient(
                        settings.sourceAddresses().stream()
                                .map(DistributorProcess::hostAndPort)
                                .toList(),
                        Ticker.SYSTEM);
        ConfirmationReporter reporter =
                new ConfirmationReporter(
                        settings.name(),
                        settings.zone(),
                        handler,
                        group,
                        DistributorProcess::nowMs);
        reporterThread = newThread(reporter, "distributor-reporter");
        Log.info(
                "distributor.ready",
                "name",
                settings.name(),
                "zone",
                settings.zone(),
                "clients",
                settings.listenAddress(),
                "revision",
                handler.revision());
        client.start();
        reporterThread.start();
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    private static FollowerOptions followerOptions(DistributorSettings settings) {
        List<URI> sources =
                settings.sourceAddresses().stream()
                        .map(source -> FollowerOptions.sourceUri(hostAndPort(source)))
                        .toList();
        return new FollowerOptions(sources, settings.name(), settings.zone(), FOLLOWER_TIMINGS);
    }

    private FollowerResources followerResources() {
        HttpClient http =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .build();
        return new FollowerResources(
                http, scheduler, writer, Clock.systemUTC(), new SharedRandom());
    }

    /** Delegates to the random number generator of the calling thread. */
    private static final class SharedRandom implements java.util.random.RandomGenerator {
        @Override
        public long nextLong() {
            return ThreadLocalRandom.current().nextLong();
        }
    }

    private static ScheduledExecutorService newScheduler(String name) {
        return Executors.newSingleThreadScheduledExecutor(task -> newThread(task, name));
    }

    private static Thread newThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Passes applied configuration to the handler, and logs the sources in use. */
    private record ServingListener(DistributorHandler handler, FailureHandler failureHandler)
            implements FollowerListener {
        @Override
        public void changesApplied(List<Change> changes) {
            handler.applyChanges(changes);
        }

        @Override
        public void snapshotApplied(ConfigurationView view) {
            handler.applySnapshot(view);
            Log.info("distributor.snapshot", "revision", view.revision());
        }

        @Override
        public void sourceConnected(URI source) {
            Log.info("distributor.source", "at", source);
        }

        @Override
        public void sourceFailedOver(URI source, URI next, String reason) {
            Log.info("distributor.source-left", "from", source, "to", next, "why", reason);
        }

        @Override
        public void writePostponed(String reason) {
            Log.warn("distributor.write-postponed", "why", reason);
        }

        @Override
        public void faultOccurred(RuntimeException fault) {
            Log.error("distributor.fault", fault);
            failureHandler.terminate(fault);
        }
    }

    @Override
    public void close() throws IOException {
        reporterThread.interrupt();
        client.close();
        httpServer.close();
        scheduler.shutdownNow();
        writer.shutdownNow();
        directory.close();
    }
}
