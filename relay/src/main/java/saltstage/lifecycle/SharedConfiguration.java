package saltstage.lifecycle;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import saltstage.config.OperatorSettings;
import saltstage.configuration.Change;
import saltstage.configuration.ConfigurationView;
import saltstage.configuration.follower.ConfigurationClient;
import saltstage.configuration.follower.ConfigurationDirectory;
import saltstage.configuration.follower.ConfigurationStandby;
import saltstage.configuration.follower.FollowerListener;
import saltstage.configuration.follower.FollowerOptions;
import saltstage.configuration.follower.FollowerResources;
import saltstage.configuration.follower.FollowerTimings;
import saltstage.configuration.follower.PersistedConfiguration;
import saltstage.handover.Suspensions;
import saltstage.log.Log;
import saltstage.wire.BackendList;

/**
 * The shared configuration, which this relay follows revision by revision. The persisted
 * configuration is in force at once; revisions from a source are applied once they are on disk.
 * While two processes of the relay share the directory, one of them follows the sources and writes,
 * and the other applies what it reads from the directory. The class is loaded only where the
 * operator's settings name a source.
 */
final class SharedConfiguration {
    /** Covers the connections to sources, the HTTP client's selector and the store's files. */
    static final int MAX_DESCRIPTORS = 24;

    /**
     * A source sends something at least every 25 s; three times that without a message counts as
     * stale.
     */
    private static final Duration STALE_AFTER = Duration.ofSeconds(75);

    private static final Duration STALE_CHECK_INTERVAL = Duration.ofSeconds(15);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /** How often a process that is not the writer looks at the directory. */
    private static final Duration STANDBY_POLL_INTERVAL = Duration.ofMillis(100);

    private final OperatorSettings.FollowerSettings followerSettings;
    private final String relayName;
    private final ConfigurationDirectory directory;
    private final PersistedConfiguration initial;
    private final ScheduledExecutorService scheduler =
            Executors.newSingleThreadScheduledExecutor(daemonThreadFactory("configuration"));
    private final ScheduledExecutorService writer =
            Executors.newSingleThreadScheduledExecutor(daemonThreadFactory("configuration-store"));
    private final AppliedConfiguration applied;
    private volatile Instant confirmedAt;
    private volatile long appliedRevision;

    /** Follows the sources; null while another process writes to the directory. */
    private volatile ConfigurationClient client;

    private volatile Future<?> standbyPolls;
    private volatile boolean closing;

    private SharedConfiguration(
            OperatorSettings.FollowerSettings followerSettings,
            OperatorSettings.Logging logging,
            String relayName,
            Suspensions suspensions,
            Consumer<BackendList> listListener)
            throws IOException {
        this.followerSettings = followerSettings;
        this.relayName = relayName;
        directory = open(followerSettings.dir());
        initial = directory.persistedConfiguration();
        confirmedAt = initial.confirmedAt();
        appliedRevision = initial.view().revision();
        applied = new AppliedConfiguration(initial.view(), logging, suspensions, listListener);
        Log.info(
                "configuration.kept",
                "rev",
                appliedRevision,
                "entries",
                initial.view().entries().size(),
                "age_ms",
                ageMillis());
    }

    /** Opens the directory and applies the persisted configuration; the client is not started. */
    static SharedConfiguration open(
            OperatorSettings.FollowerSettings followerSettings,
            OperatorSettings.Logging logging,
            String relayName,
            Suspensions suspensions,
            Consumer<BackendList> listListener)
            throws IOException {
        return new SharedConfiguration(
                followerSettings, logging, relayName, suspensions, listListener);
    }

    private static ConfigurationDirectory open(Path dir) throws IOException {
        try {
            return new ConfigurationDirectory(dir, Log::warn);
        } catch (IOException failure) { // without a disk no revision could be applied
            throw new IOException(
                    "configuration: cannot open dir " + dir + ": " + failure, failure);
        }
    }

    private FollowerOptions options() {
        List<URI> sources =
                followerSettings.sources().stream().map(FollowerOptions::sourceUri).toList();
        String name = followerSettings.name().isEmpty() ? relayName : followerSettings.name();
        return new FollowerOptions(
                sources, name, followerSettings.zone(), FollowerTimings.defaults());
    }

    private FollowerResources resources() {
        HttpClient http =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .executor(scheduler)
                        .build();
        RandomGenerator random = () -> ThreadLocalRandom.current().nextLong();
        return new FollowerResources(http, scheduler, writer, Clock.systemUTC(), random);
    }

    private static ThreadFactory daemonThreadFactory(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }

    /** Returns the persisted list of backends, or empty if it names none. */
    Optional<BackendList> knownList() {
        return applied.list(appliedRevision);
    }

    /**
     * Returns the backend that a shard is placed on; the shard is named by topic and number, such
     * as "topic-7/3".
     */
    Optional<String> backendOfShard(String name) {
        return applied.backendOfShard(name);
    }

    /** Starts to follow the sources, or the directory while another process writes to it. */
    void start() {
        if (directory.isWriter()) {
            followSources(initial);
        } else {
            followDirectory();
        }
        scheduler.scheduleWithFixedDelay(
                this::warnIfStale,
                STALE_CHECK_INTERVAL.toMillis(),
                STALE_CHECK_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void stopStandby() {
        Future<?> polls = standbyPolls;
        if (polls != null) {
            polls.cancel(false);
        }
    }

    private void followSources(PersistedConfiguration inForce) {
        if (closing) {
            return;
        }
        client =
                new ConfigurationClient(
                        options(), resources(), directory, inForce.view(), new Listener());
        client.start();
    }

    private void followDirectory() {
        ConfigurationStandby standby =
                new ConfigurationStandby(directory, initial, new StandbyListener());
        standby.poll(); // what was written during the start is in force before the first client
        if (client == null) {
            standbyPolls =
                    writer.scheduleWithFixedDelay(
                            standby::poll,
                            STANDBY_POLL_INTERVAL.toMillis(),
                            STANDBY_POLL_INTERVAL.toMillis(),
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Replaces the logging settings of the operator's file, which was read again. */
    void useLogging(OperatorSettings.Logging logging) {
        applied.useLogging(logging);
    }

    /** Stops following; waits up to the limit for a write that is under way. */
    void close(Duration limit) {
        closing = true;
        stopStandby();
        ConfigurationClient following = client;
        if (following != null) {
            following.close();
        }
        scheduler.shutdownNow();
        writer.shutdown();
        try {
            if (writer.awaitTermination(limit.toMillis(), TimeUnit.MILLISECONDS)) {
                directory.close();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            Log.warn("configuration.unwritten", "why", e.getMessage());
        }
    }

    /**
     * Milliseconds since a source last sent or confirmed the configuration held; -1 if none ever
     * did.
     */
    private long ageMillis() {
        Instant lastConfirmed = confirmedAt;
        return lastConfirmed == null
                ? -1
                : Math.max(0, Duration.between(lastConfirmed, Instant.now()).toMillis());
    }

    private void warnIfStale() {
        long age = ageMillis();
        if (age < 0 || age > STALE_AFTER.toMillis()) {
            Log.warn(
                    "configuration.stale",
                    "rev",
                    appliedRevision,
                    "age_ms",
                    age,
                    "source",
                    source());
        }
    }

    /** The source that is followed, or the directory while another process writes to it. */
    private Object source() {
        ConfigurationClient following = client;
        return following == null ? followerSettings.dir() : following.source();
    }

    private void revisionApplied(long revision, Instant confirmed) {
        confirmedAt = confirmed;
        appliedRevision = revision;
        Log.info("configuration.applied", "rev", revision, "age_ms", ageMillis());
    }

    /** Receives the follower's events, one at a time. */
    private final class Listener implements FollowerListener {
        @Override
        public void changesApplied(List<Change> changes) {
            long revision = changes.get(changes.size() - 1).revision();
            applied.apply(changes, revision);
            revisionApplied(revision, Instant.now());
        }

        @Override
        public void snapshotApplied(ConfigurationView view) {
            applied.replace(view);
            revisionApplied(view.revision(), Instant.now());
        }

        @Override
        public void revisionConfirmed(long revision) {
            confirmedAt = Instant.now();
            applied.deliverFirstList(revision);
        }

        @Override
        public void sourceConnected(URI source) {
            Log.info("configuration.source", "source", source, "rev", appliedRevision);
        }

        @Override
        public void sourceFailedOver(URI source, URI next, String reason) {
            Log.warn(
                    "configuration.source.left",
                    "source",
                    source,
                    "next",
                    next,
                    "why",
                    reason,
                    "rev",
                    appliedRevision);
        }

        @Override
        public void writePostponed(String reason) {
            Log.warn("configuration.unwritten", "why", reason);
        }

        @Override
        public void faultOccurred(RuntimeException fault) {
            Log.error("configuration.fault", fault);
        }
    }

    /** Applies what another process of the relay writes, until this one is the writer. */
    private final class StandbyListener implements ConfigurationStandby.Listener {
        @Override
        public void configurationRead(PersistedConfiguration newer) {
            applied.replace(newer.view());
            revisionApplied(newer.view().revision(), newer.confirmedAt());
        }

        @Override
        public void confirmationRead(PersistedConfiguration inForce) {
            confirmedAt = inForce.confirmedAt();
        }

        @Override
        public void becameWriter(PersistedConfiguration inForce) {
            Log.info("configuration.writer", "rev", inForce.view().revision());
            followSources(inForce);
            stopStandby();
        }

        @Override
        public void pollFailed(String reason) {
            Log.warn("configuration.unread", "why", reason);
        }
    }
}
