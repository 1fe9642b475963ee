package saltstage.store;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;

/**
 * A fixed sequence of batches, deletes, checkpoints and compactions that records the acknowledged
 * state.
 */
class StoreWorkload {
    static final StoreOptions SMALL_SEGMENTS = new StoreOptions(2048, false, 1 << 30);

    final List<String> events = new ArrayList<>();

    /** The state after the last acknowledged batch. */
    TreeMap<String, String> acknowledged = new TreeMap<>();

    /** The state after the last batch that was passed to the store. */
    TreeMap<String, String> requested = new TreeMap<>();

    Store store;

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    StoreWorkload open(Disk disk) throws IOException {
        store =
                Store.open(
                        disk,
                        SMALL_SEGMENTS,
                        (event, pairs) -> events.add(event + " " + List.of(pairs)));
        return this;
    }

    /** Commits a batch of puts and deletes ({@code k=v}, {@code k}). */
    void commit(String... changes) throws IOException {
        Batch batch = new Batch();
        requested = new TreeMap<>(acknowledged);
        for (String change : changes) {
            int equals = change.indexOf('=');
            if (equals < 0) {
                batch.delete(bytes(change));
                requested.remove(change);
            } else {
                batch.put(bytes(change.substring(0, equals)), bytes(change.substring(equals + 1)));
                requested.put(change.substring(0, equals), change.substring(equals + 1));
            }
        }
        store.commit(batch);
        acknowledged = requested;
    }

    /**
     * Runs the workload. It produces several segments, a checkpoint, two compactions, and log
     * written after them.
     */
    void run() throws IOException {
        Random random = new Random(7);
        for (int i = 0; i < 6; i++) {
            // These entries are in copy segments from the first compaction on.
            commit("old" + i + "=" + "o".repeat(30) + i);
        }
        for (int i = 0; i < 110; i++) {
            if (i % 7 == 3) {
                commit(
                        "key" + random.nextInt(12),
                        "key" + random.nextInt(12) + "=" + i,
                        "all=" + i);
            } else {
                commit("key" + random.nextInt(12) + "=" + "v".repeat(random.nextInt(60)) + i);
            }
            if (i == 20 || i == 45) {
                store.compact();
            } else if (i == 33) {
                store.checkpoint();
            }
        }
    }

    static TreeMap<String, String> dump(Store store) throws IOException {
        TreeMap<String, String> all = new TreeMap<>();
        try (Snapshot snapshot = store.snapshot()) {
            Snapshot.Scan scan = snapshot.scan(null, null);
            while (scan.next()) {
                all.put(
                        new String(scan.key(), StandardCharsets.UTF_8),
                        new String(scan.value(), StandardCharsets.UTF_8));
            }
        }
        return all;
    }
}
