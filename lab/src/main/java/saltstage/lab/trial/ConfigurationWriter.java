package saltstage.lab.trial;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import saltstage.configuration.EntryKey;
import saltstage.configuration.EntryValue;
import saltstage.configuration.Mutation;
import saltstage.coordinator.client.GroupClient;
import saltstage.coordinator.configuration.ConfigurationCommands;
import saltstage.coordinator.configuration.ConfigurationReplies;
import saltstage.coordinator.model.Reply;

/** Changes the configuration of a group and records each accepted change and its time. */
final class ConfigurationWriter {
    /** An accepted change, with the time of the reply by the observer's clock. */
    record AcceptedRevision(long revision, String digest, long atMs) {}

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);
    private static final int BACKEND_COUNT = 4;
    private static final int SHARD_COUNT = 40;

    private final GroupClient client;
    private final ConfigurationObserver observer;
    private final Random random;
    private final List<AcceptedRevision> acceptedRevisions = new ArrayList<>();
    private int changeCount;

    ConfigurationWriter(GroupClient client, ConfigurationObserver observer, long seed) {
        this.client = client;
        this.observer = observer;
        random = new Random(seed);
    }

    /** Waits until the group accepts configuration changes and adds the backends. */
    void putBackends(Duration within) throws IOException, InterruptedException {
        List<Mutation> backends = new ArrayList<>();
        for (int i = 0; i < BACKEND_COUNT; i++) {
            EntryValue backend =
                    new EntryValue.Backend(
                            "10.0.0." + (i + 1) + ":5000",
                            "a1",
                            0,
                            EntryValue.BackendState.READY,
                            1,
                            0);
            backends.add(new Mutation(EntryKey.parse("backend/gw-" + i), backend));
        }
        long untilNanos = System.nanoTime() + within.toNanos();
        Reply reply = send(backends);
        while (!(reply instanceof ConfigurationReplies.Changed)) {
            if (System.nanoTime() > untilNanos) {
                throw new IOException("the group accepts no configuration: " + reply);
            }
            Thread.sleep(100);
            reply = send(backends);
        }
    }

    /** Moves some shards to other backends in one change. */
    AcceptedRevision moveShards() throws IOException, InterruptedException {
        changeCount++;
        List<Mutation> moves = new ArrayList<>();
        for (int i = 0; i <= random.nextInt(5); i++) {
            EntryKey key = EntryKey.parse("shard/topic-1/" + random.nextInt(SHARD_COUNT));
            boolean delete = random.nextInt(10) == 0;
            EntryValue target = new EntryValue.Shard("gw-" + random.nextInt(BACKEND_COUNT));
            moves.add(new Mutation(key, delete ? null : target));
        }
        // The marker makes each change different, even if its moves have no effect.
        String address = "10.0.1." + changeCount % 200 + ":" + (1 + changeCount);
        EntryValue marker =
                new EntryValue.Backend(
                        address, "a1", 0, EntryValue.BackendState.DRAINING, 0, changeCount);
        moves.add(new Mutation(EntryKey.parse("backend/marker"), marker));
        Reply reply = send(moves);
        if (!(reply instanceof ConfigurationReplies.Changed)) {
            throw new IOException("the group rejected the change: " + reply);
        }
        return acceptedRevisions.get(acceptedRevisions.size() - 1);
    }

    private Reply send(List<Mutation> mutations) throws IOException, InterruptedException {
        Reply reply =
                client.send(
                                new ConfigurationCommands.ChangeConfiguration(
                                        "trial", mutations, Map.of()),
                                CALL_TIMEOUT)
                        .reply();
        if (reply instanceof ConfigurationReplies.Changed changed) {
            acceptedRevisions.add(
                    new AcceptedRevision(
                            changed.revision(), changed.digest(), observer.elapsedMs()));
        }
        return reply;
    }

    List<AcceptedRevision> acceptedRevisions() {
        return List.copyOf(acceptedRevisions);
    }

    /**
     * Fetches the digests of all changes that the group has accepted, by revision. A replica that
     * has just started may not have caught up yet, so an accepted change counts as lost only if it
     * does not appear in time.
     */
    Map<Long, String> fetchDigests() throws IOException, InterruptedException {
        Map<Long, String> digests = ConfigurationObserver.initialDigests();
        long after = 0;
        long lastAccepted = acceptedRevisions.get(acceptedRevisions.size() - 1).revision();
        long untilNanos = System.nanoTime() + CALL_TIMEOUT.toNanos();
        while (after < lastAccepted && System.nanoTime() < untilNanos) {
            JsonNode response =
                    client.get(
                            "/v1/configuration/changes?after="
                                    + after
                                    + "&digest="
                                    + digests.get(after)
                                    + "&follower=trial&zone=trial&waitMs=0",
                            CALL_TIMEOUT);
            for (JsonNode change : response.path("changes")) {
                after = change.path("revision").asLong();
                digests.put(after, change.path("digest").asText());
            }
            if (response.path("changes").isEmpty()) {
                Thread.sleep(50);
            }
        }
        for (AcceptedRevision acceptedRevision : acceptedRevisions) {
            if (!acceptedRevision.digest().equals(digests.get(acceptedRevision.revision()))) {
                observer.addViolation(
                        "revision "
                                + acceptedRevision.revision()
                                + " was accepted and is lost or has another digest");
            }
        }
        return new TreeMap<>(digests);
    }
}
