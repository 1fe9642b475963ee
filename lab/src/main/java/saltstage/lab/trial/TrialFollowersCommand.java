package saltstage.lab.trial;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltstage.configuration.Change;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.ConfigurationView;
import saltstage.configuration.follower.ConfigurationClient;
import saltstage.configuration.follower.ConfigurationDirectory;
import saltstage.configuration.follower.FollowerListener;
import saltstage.configuration.follower.FollowerOptions;
import saltstage.configuration.follower.FollowerResources;
import saltstage.configuration.follower.FollowerTimings;

/**
 * Runs configuration followers without a relay. Each follower has a directory of its own and a copy
 * of the configuration built only from the received changes. It reports the digest of this copy to
 * the observer with each revision that it applies.
 */
@Command(name = "trial-followers", description = "Runs the followers of a trial.", hidden = true)
public final class TrialFollowersCommand implements Callable<Integer> {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    @Option(names = "--sources", split = ",", required = true)
    private List<String> sources;

    @Option(names = "--witness", required = true)
    private int observerPort;

    @Option(names = "--name", required = true, description = "followers are NAME-1, NAME-2, ...")
    private String name;

    @Option(names = "--zone", required = true)
    private String zone;

    @Option(names = "--count", defaultValue = "3")
    private int count;

    @Option(names = "--dir", required = true)
    private Path dir;

    @Option(names = "--poll-ms", description = "poll time in place of the default of a relay")
    private Long pollMs;

    private static ScheduledExecutorService newExecutor() {
        return Executors.newSingleThreadScheduledExecutor(
                task -> {
                    Thread thread = new Thread(task, "follower");
                    thread.setDaemon(true);
                    return thread;
                });
    }

    private FollowerTimings timings() {
        FollowerTimings defaults = FollowerTimings.defaults();
        return pollMs == null
                ? defaults
                : new FollowerTimings(
                        Duration.ofMillis(pollMs),
                        defaults.baseRetryDelay(),
                        defaults.maxRetryDelay(),
                        defaults.basePreferredRetryDelay(),
                        defaults.maxPreferredRetryDelay());
    }

    @Override
    public Integer call() throws Exception {
        ScheduledExecutorService timer = newExecutor();
        HttpClient http =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .build();
        List<URI> uris = sources.stream().map(FollowerOptions::sourceUri).toList();
        RandomGenerator random = () -> ThreadLocalRandom.current().nextLong();
        for (int i = 1; i <= count; i++) {
            FollowerOptions options = new FollowerOptions(uris, name + "-" + i, zone, timings());
            FollowerResources resources =
                    new FollowerResources(http, timer, newExecutor(), Clock.systemUTC(), random);
            start(options, resources);
        }
        new CountDownLatch(1).await(); // runs until the process is killed
        return 0;
    }

    private void start(FollowerOptions options, FollowerResources resources) throws IOException {
        Path followerDir = Files.createDirectories(dir.resolve(options.name()));
        ConfigurationDirectory directory =
                new ConfigurationDirectory(followerDir, TrialFollowersCommand::logEvent);
        ObserverReporter reporter =
                new ObserverReporter(options.name(), new Socket("127.0.0.1", observerPort));
        reporter.reportStart(directory.persistedConfiguration().view());
        new ConfigurationClient(
                        options,
                        resources,
                        directory,
                        directory.persistedConfiguration().view(),
                        reporter)
                .start();
    }

    private static void logEvent(String event, Object... pairs) {
        System.out.println(event + " " + List.of(pairs));
    }

    /**
     * Reports each revision that a follower applies, from a copy of the configuration that is
     * separate from the client's own state.
     */
    private static final class ObserverReporter implements FollowerListener {
        private final String name;
        private final Socket observer;
        private ConfigurationView followedView;

        ObserverReporter(String name, Socket observer) throws IOException {
            this.name = name;
            this.observer = observer;
            observer.setTcpNoDelay(true);
        }

        void reportStart(ConfigurationView initialView) {
            followedView =
                    new ConfigurationView(initialView.revision(), initialView.entries().values());
            report("start");
        }

        @Override
        public void changesApplied(List<Change> changes) {
            for (Change change : changes) {
                ConfigurationView.Outcome outcome = followedView.apply(change);
                report(outcome == ConfigurationView.Outcome.APPLIED ? "applied" : outcome.name());
            }
        }

        @Override
        public void snapshotApplied(ConfigurationView view) {
            followedView = new ConfigurationView(view.revision(), view.entries().values());
            report("snapshot");
        }

        @Override
        public void sourceFailedOver(URI source, URI next, String reason) {
            System.out.println(name + " left " + source + " for " + next + ": " + reason);
        }

        @Override
        public void faultOccurred(RuntimeException fault) {
            report("fault-" + fault.getClass().getSimpleName());
        }

        private void report(String event) {
            String digest = ConfigurationJson.formatDigest(followedView.digest());
            String line = name + " " + event + " " + followedView.revision() + " " + digest + "\n";
            try {
                observer.getOutputStream().write(line.getBytes(StandardCharsets.US_ASCII));
            } catch (IOException failure) {
                System.out.println(failure.getMessage());
            }
        }
    }
}
