package saltstage.coordinator.distribution;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Encoded response bodies by request, so that many equal requests share one encoding. Bounded in
 * bytes; the least recently used body is evicted first. Not thread safe.
 *
 * @param <K> the type of keys that identify equal requests
 */
final class EncodedBodyCache<K> {
    private final long maxBytes;
    private final Map<K, byte[]> bodies = new LinkedHashMap<>(16, 0.75f, true);
    private long cachedBytes;
    private long encodingCount;

    EncodedBodyCache(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns the body for this key, and encodes it only if it is not cached. */
    byte[] getOrEncode(K key, Supplier<byte[]> encoder) {
        byte[] cached = bodies.get(key);
        if (cached != null) {
            return cached;
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

    /** Removes all bodies, for example when a newer revision is to be served. */
    void clear() {
        bodies.clear();
        cachedBytes = 0;
    }

    /** Returns the number of bodies that were encoded so far. */
    long encodingCount() {
        return encodingCount;
    }
}
