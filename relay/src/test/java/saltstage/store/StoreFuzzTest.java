package saltstage.store;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.code_intelligence.jazzer.junit.FuzzTest;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Overwrites any part of any store file with arbitrary bytes. The open must either fail cleanly or
 * return only key-value pairs that were written at some time. {@code JAZZER_FUZZ=1 mvn test -pl
 * relay -Dtest=StoreFuzzTest} searches for new inputs; CI only runs the known ones.
 */
class StoreFuzzTest {
    private static final FaultInjectingDisk WORKLOAD_DISK = new FaultInjectingDisk();
    private static final Map<String, Set<String>> REQUESTED_VALUES = new HashMap<>();
    private static final List<String> FILE_NAMES = new ArrayList<>();

    static {
        try {
            new StoreWorkload() {
                @Override
                void commit(String... changes) throws IOException {
                    for (String change : changes) {
                        int equals = change.indexOf('=');
                        if (equals > 0) {
                            REQUESTED_VALUES
                                    .computeIfAbsent(
                                            change.substring(0, equals), k -> new HashSet<>())
                                    .add(change.substring(equals + 1));
                        }
                    }
                    super.commit(changes);
                }
            }.open(WORKLOAD_DISK).run();
            FILE_NAMES.addAll(WORKLOAD_DISK.list());
        } catch (IOException e) {
            throw new ExceptionInInitializerError(e);
        }
    }

    /** The input encodes the file, the offset in it, and the bytes written at the offset. */
    @FuzzTest(maxDuration = "60s")
    void openNeverReturnsUnrequestedValues(byte[] data) throws IOException {
        if (data.length < 4) {
            return;
        }
        String name = FILE_NAMES.get((data[0] & 0xff) % FILE_NAMES.size());
        byte[] content = WORKLOAD_DISK.content(name);
        int offset = ((data[1] & 0xff) << 8 | data[2] & 0xff) % content.length;
        int bytes = Math.min(data.length - 3, content.length - offset);
        System.arraycopy(data, 3, content, offset, bytes);
        FaultInjectingDisk changed = WORKLOAD_DISK.durableCopy();
        changed.putFile(
                name, (data[0] & 0x80) != 0 ? Arrays.copyOf(content, offset + bytes) : content);
        try (Store store =
                Store.open(changed, StoreWorkload.SMALL_SEGMENTS, StoreEventListener.NONE)) {
            TreeMap<String, String> found = StoreWorkload.dump(store);
            found.forEach(
                    (key, value) ->
                            assertTrue(
                                    REQUESTED_VALUES.getOrDefault(key, Set.of()).contains(value),
                                    key + "=" + value));
        } catch (StoreException e) {
            assertTrue(e.getMessage() != null);
        }
    }

    @Test
    void randomChangesNeverReturnUnrequestedValues() throws IOException {
        Random random = new Random(20261201);
        for (int i = 0; i < 4_000; i++) {
            byte[] data = new byte[4 + random.nextInt(i % 3 == 0 ? 600 : 12)];
            random.nextBytes(data);
            if (i % 4 == 0) {
                // A disk that has lost a sector returns zeros.
                Arrays.fill(data, 3, data.length, (byte) 0);
            }
            openNeverReturnsUnrequestedValues(data);
        }
    }
}
