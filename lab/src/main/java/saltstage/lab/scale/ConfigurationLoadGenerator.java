package saltstage.lab.scale;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import saltstage.configuration.ConfigurationLimits;
import saltstage.configuration.EntryKey;
import saltstage.configuration.EntryKind;
import saltstage.configuration.EntryValue;
import saltstage.configuration.Mutation;
import saltstage.coordinator.client.GroupClient;
import saltstage.coordinator.configuration.ConfigurationCommands.ChangeConfiguration;
import saltstage.coordinator.configuration.ConfigurationReplies.Changed;
import saltstage.coordinator.model.Reply;

/** Writes configuration: backends, shards placed on them, and changes of the placement. */
final class ConfigurationLoadGenerator {
    private static final String AUTHOR = "scale";
    private static final int BACKEND_COUNT = 200;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);

    private final GroupClient client;
    private final Random random;
    private final int backendPort;
    private final AtomicLong newestRevision = new AtomicLong();
    private volatile int shardCount;

    /** Creates a generator whose backends have one loopback address each and share a port. */
    ConfigurationLoadGenerator(GroupClient client, Random random, int backendPort) {
        this.client = client;
        this.random = random;
        this.backendPort = backendPort;
    }

    /**
     * A change that was accepted.
     *
     * @param revision the revision that the change made
     * @param sentNanos when the change was first sent
     * @param acceptedNanos when the reply arrived
     */
    record AcceptedRevision(long revision, long sentNanos, long acceptedNanos) {}

    /** Writes all backends. */
    void putBackends() throws IOException, InterruptedException {
        List<Mutation> mutations = new ArrayList<>();
        for (int i = 0; i < BACKEND_COUNT; i++) {
            EntryValue.Backend backend =
                    new EntryValue.Backend(
                            "127.9.0." + (1 + i) + ":" + backendPort,
                            "a1",
                            0,
                            EntryValue.BackendState.READY,
                            1,
                            0);
            mutations.add(new Mutation(new EntryKey(EntryKind.BACKEND, "gw-" + i), backend));
        }
        send(client, mutations, CALL_TIMEOUT);
    }

    /** Writes shards with several concurrent writers until there are as many as requested. */
    void putShards(int targetCount, List<GroupClient> writers)
            throws InterruptedException, ExecutionException {
        Parallel.forEach(
                writers,
                writer -> {
                    List<Mutation> next = nextShardMutations(targetCount);
                    while (!next.isEmpty()) {
                        send(writer, next, CALL_TIMEOUT);
                        next = nextShardMutations(targetCount);
                    }
                });
    }

    private synchronized List<Mutation> nextShardMutations(int targetCount) {
        List<Mutation> mutations = new ArrayList<>();
        int endCount =
                Math.min(targetCount, shardCount + ConfigurationLimits.MAX_MUTATIONS_PER_CHANGE);
        for (; shardCount < endCount; shardCount++) {
            mutations.add(randomPlacement(shardCount));
        }
        return mutations;
    }

    /** Returns the newest revision that this generator's changes have made. */
    long newestRevision() {
        return newestRevision.get();
    }

    /** Returns a command that places a random shard on a random backend. */
    ChangeConfiguration randomChange() {
        return new ChangeConfiguration(
                AUTHOR, List.of(randomPlacement(random.nextInt(shardCount))), Map.of());
    }

    private Mutation randomPlacement(int shard) {
        EntryKey key = new EntryKey(EntryKind.SHARD, "topic-" + shard / 16 + "/" + shard % 16);
        return new Mutation(key, new EntryValue.Shard("gw-" + random.nextInt(BACKEND_COUNT)));
    }

    /** Places one random shard on a random backend. */
    AcceptedRevision changeOneShard() throws IOException, InterruptedException {
        return changeShards(client, 1, CALL_TIMEOUT);
    }

    /** Places random shards on random backends with one change sent through the given client. */
    AcceptedRevision changeShards(GroupClient groupClient, int count, Duration timeout)
            throws IOException, InterruptedException {
        List<Mutation> mutations = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            mutations.add(randomPlacement(random.nextInt(shardCount)));
        }
        return send(groupClient, mutations, timeout);
    }

    private AcceptedRevision send(
            GroupClient groupClient, List<Mutation> mutations, Duration timeout)
            throws IOException, InterruptedException {
        long sentNanos = System.nanoTime();
        Reply reply =
                groupClient
                        .send(new ChangeConfiguration(AUTHOR, mutations, Map.of()), timeout)
                        .reply();
        if (reply instanceof Changed changed) {
            newestRevision.accumulateAndGet(changed.revision(), Math::max);
            return new AcceptedRevision(changed.revision(), sentNanos, System.nanoTime());
        }
        throw new IOException("a change was not accepted: " + reply);
    }
}
