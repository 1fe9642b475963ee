package saltstage.coordinator.distribution;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Bodies of answers by what they answer, so that many who ask the same are served by one encoding.
 * Bounded in bytes; the one that was used longest ago goes first. Not thread safe.
 */
final class EncodedBodyCache<K> {
    private final long maxBytes;
    private final Map<K, byte[]> bodies = new LinkedHashMap<>(16, 0.75f, true);
    private long cachedBytes;
    private long encodingCount;

    EncodedBodyCache(long mostBytes) {
        this.maxBytes = mostBytes;
    }

    /** The body for this key; encoded only where it is not kept. */
    byte[] getOrEncode(K key, Supplier<byte[]> encoder) {
        byte[] kept = bodies.get(key);
        if (kept != null) {
            return kept;
        }
        byte[] body = encoder.get();
        encodingCount++;
        if (body.length <= maxBytes) {
            bodies.put(key, body);
            cachedBytes += body.length;
        }
        Iterator<byte[]> oldest = bodies.values().iterator();
        while (cachedBytes > maxBytes) {
            cachedBytes -= oldest.next().length;
            oldest.remove();
        }
        return body;
    }

    /** Forgets all, as when something newer is to be served. */
    void clear() {
        bodies.clear();
        cachedBytes = 0;
    }

    /** How many bodies were encoded so far. */
    long encodingCount() {
        return encodingCount;
    }
}
