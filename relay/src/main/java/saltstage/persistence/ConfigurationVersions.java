package saltstage.persistence;

import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import saltstage.store.Batch;
import saltstage.store.Snapshot;
import saltstage.store.Store;

/** The newest configurations that a relay has accepted, up to a limit, numbered from 1. */
public final class ConfigurationVersions {
    private static final byte[] KEYS_START = keyBytes("config/");
    private static final byte[] KEYS_END = keyBytes("config0"); // '0' follows '/' in ASCII
    private static final String KEY_FORMAT = "config/%016x";

    /**
     * One accepted configuration: the JSON of the platform and the operator's settings, which may
     * be empty.
     */
    public record Version(
            long number, Instant at, String hash, String configuration, String settings) {}

    private ConfigurationVersions() {}

    static byte[] keyBytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String hash(String configuration, String settings) {
        HashValue128 hash =
                Hashing.murmur3_128()
                        .hashStream()
                        .putString(configuration)
                        .putString(settings)
                        .get();
        return String.format(
                "%016x%016x", hash.getMostSignificantBits(), hash.getLeastSignificantBits());
    }

    /** Returns all stored versions, oldest first. */
    public static List<Version> all(Store store) throws IOException {
        List<Version> all = new ArrayList<>();
        try (Snapshot snapshot = store.snapshot()) {
            Snapshot.Scan scan = snapshot.scan(KEYS_START, KEYS_END);
            while (scan.next()) {
                String key = new String(scan.key(), StandardCharsets.UTF_8);
                all.add(
                        RelayStateCodec.decodeVersion(
                                Long.parseLong(key.substring("config/".length()), 16),
                                scan.value()));
            }
        }
        return all;
    }

    /** Returns the version with this number, if it is stored. */
    public static Optional<Version> find(Store store, long number) throws IOException {
        byte[] value = store.get(keyBytes(String.format(KEY_FORMAT, number)));
        return value == null
                ? Optional.empty()
                : Optional.of(RelayStateCodec.decodeVersion(number, value));
    }

    /**
     * Adds a configuration unless it equals the newest version, and deletes the oldest versions
     * beyond the limit in the same batch.
     *
     * @return the number of the version that holds this configuration
     */
    static long addIfChanged(
            Store store, String configuration, String settings, Instant acceptedAt, int maxVersions)
            throws IOException {
        List<Version> all = all(store);
        Version newest = all.isEmpty() ? null : all.get(all.size() - 1);
        if (newest != null
                && newest.configuration().equals(configuration)
                && newest.settings().equals(settings)) {
            return newest.number();
        }
        long number = newest == null ? 1 : newest.number() + 1;
        Batch batch =
                new Batch()
                        .put(
                                keyBytes(String.format(KEY_FORMAT, number)),
                                RelayStateCodec.encodeVersion(
                                        new Version(
                                                number,
                                                acceptedAt,
                                                hash(configuration, settings),
                                                configuration,
                                                settings)));
        for (int i = 0; i < all.size() + 1 - maxVersions; i++) {
            batch.delete(keyBytes(String.format(KEY_FORMAT, all.get(i).number())));
        }
        store.commit(batch);
        return number;
    }
}
