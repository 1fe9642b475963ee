package saltstage.lab.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltstage.configuration.ConfigurationView;
import saltstage.configuration.follower.FollowerOptions;
import saltstage.configuration.follower.FollowerResources;
import saltstage.configuration.follower.FollowerTimings;

/**
 * Runs many simulated relays in one process: the control side of a relay (client, codec, state,
 * timers) without client connections and persistence. The first relay fetches a snapshot. The
 * others start with its entries, like relays that have persisted them, and share the entry objects.
 * The process reports in lines, see {@link SimulatedRelayHost}.
 */
@Command(
        name = "hollow-host",
        hidden = true,
        description = "Runs simulated relays of one zone; part of a fleet run.")
final class SimulatedRelayHostCommand implements Callable<Integer> {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final long SNAPSHOT_TIMEOUT_SECONDS = 120;

    @Option(names = "--first", required = true)
    private int firstIndex;

    @Option(names = "--count", required = true)
    private int relayCount;

    @Option(names = "--zone", required = true)
    private String zone;

    @Option(names = "--sources", split = ",", required = true)
    private List<String> sources;

    private final List<SimulatedRelay> relays = new ArrayList<>();
    private final AsyncLineWriter lineWriter = new AsyncLineWriter(System.out);

    @Override
    public Integer call() throws Exception {
        lineWriter.start();
        FollowerResources resources = followerResources();
        CountDownLatch firstConfirmed = new CountDownLatch(1);
        SimulatedRelay firstRelay =
                new SimulatedRelay(
                        firstIndex, new ConfigurationView(), lineWriter, firstConfirmed::countDown);
        relays.add(firstRelay);
        firstRelay.start(followerOptions(firstIndex), resources);
        if (!firstConfirmed.await(SNAPSHOT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new IOException(
                    "no source delivered a snapshot within " + SNAPSHOT_TIMEOUT_SECONDS + " s");
        }
        SimulatedRelay.Snapshot snapshot = firstRelay.snapshot();
        for (int index = firstIndex + 1; index < firstIndex + relayCount; index++) {
            ConfigurationView view = new ConfigurationView(snapshot.revision(), snapshot.entries());
            SimulatedRelay relay = new SimulatedRelay(index, view, lineWriter, () -> {});
            relays.add(relay);
            relay.start(followerOptions(index), resources);
        }
        lineWriter.enqueue("READY");
        answerDigestRequests();
        return 0;
    }

    private FollowerOptions followerOptions(int index) {
        List<URI> addresses = sources.stream().map(FollowerOptions::sourceUri).toList();
        return new FollowerOptions(addresses, "hollow-" + index, zone, FollowerTimings.defaults());
    }

    private static FollowerResources followerResources() {
        HttpClient http =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .build();
        return new FollowerResources(
                http,
                scheduler("timer"),
                scheduler("writer"),
                Clock.systemUTC(),
                (RandomGenerator) () -> ThreadLocalRandom.current().nextLong());
    }

    private static ScheduledExecutorService scheduler(String name) {
        ThreadFactory daemonThreads =
                task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                };
        return Executors.newSingleThreadScheduledExecutor(daemonThreads);
    }

    /** Answers each input line with the digests of all relays; returns at the end of the input. */
    private void answerDigestRequests() throws IOException {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII));
        while (in.readLine() != null) {
            relays.forEach(relay -> lineWriter.enqueue(relay.digestLine()));
            lineWriter.enqueue("END");
        }
    }
}
