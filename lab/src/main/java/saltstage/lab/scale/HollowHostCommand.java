package saltstage.lab.scale;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

import saltstage.configuration.ConfigurationView;
import saltstage.configuration.follower.FollowerOptions;
import saltstage.configuration.follower.FollowerResources;
import saltstage.configuration.follower.FollowerTimings;

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

/**
 * Many hollow relays in one process: the control side of a relay (client, codec, state, timers)
 * without clients and without a disk. The first takes a snapshot; the others start with its
 * entries, as relays do that have them on disk, and share the entries' objects. Speaks lines, see
 * {@link HollowHost}.
 */
@Command(
        name = "hollow-host",
        hidden = true,
        description = "Hollow relays of one zone; part of a fleet run.")
final class HollowHostCommand implements Callable<Integer> {
    private static final Duration CONNECT = Duration.ofSeconds(1);
    private static final long SNAPSHOT_SECONDS = 120;

    @Option(names = "--first", required = true)
    private int first;

    @Option(names = "--count", required = true)
    private int count;

    @Option(names = "--zone", required = true)
    private String zone;

    @Option(names = "--sources", split = ",", required = true)
    private List<String> sources;

    private final List<HollowRelay> relays = new ArrayList<>();
    private final HollowLines lines = new HollowLines(System.out);

    @Override
    public Integer call() throws Exception {
        lines.start();
        FollowerResources resources = resources();
        CountDownLatch current = new CountDownLatch(1);
        HollowRelay leading =
                new HollowRelay(first, new ConfigurationView(), lines, current::countDown);
        relays.add(leading);
        leading.start(options(first), resources);
        if (!current.await(SNAPSHOT_SECONDS, TimeUnit.SECONDS)) {
            throw new IOException("no source gave a snapshot within " + SNAPSHOT_SECONDS + " s");
        }
        HollowRelay.Held held = leading.held();
        for (int index = first + 1; index < first + count; index++) {
            ConfigurationView view = new ConfigurationView(held.revision(), held.entries());
            HollowRelay relay = new HollowRelay(index, view, lines, () -> {});
            relays.add(relay);
            relay.start(options(index), resources);
        }
        lines.say("READY");
        answerQuestions();
        return 0;
    }

    private FollowerOptions options(int index) {
        List<URI> addresses = sources.stream().map(FollowerOptions::sourceUri).toList();
        return new FollowerOptions(addresses, "hollow-" + index, zone, FollowerTimings.defaults());
    }

    private static FollowerResources resources() {
        HttpClient http =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(CONNECT)
                        .build();
        return new FollowerResources(
                http,
                scheduler("timer"),
                scheduler("writer"),
                Clock.systemUTC(),
                (RandomGenerator) () -> ThreadLocalRandom.current().nextLong());
    }

    private static ScheduledExecutorService scheduler(String name) {
        ThreadFactory daemons =
                work -> {
                    Thread thread = new Thread(work, name);
                    thread.setDaemon(true);
                    return thread;
                };
        return Executors.newSingleThreadScheduledExecutor(daemons);
    }

    /** Any line asks for the digests; the end of the input ends the process. */
    private void answerQuestions() throws IOException {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII));
        while (in.readLine() != null) {
            relays.forEach(relay -> lines.say(relay.digestLine()));
            lines.say("END");
        }
    }
}
