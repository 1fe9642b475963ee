package saltstage.session;

import com.dynatrace.hash4j.hashing.Hashing;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.time.Duration;
import java.time.Instant;

/**
 * The ids of requests that may not run twice, for as long as a client may come again with one. The
 * table lies in a buffer of fixed size, which both processes of a replacement may map: entries are
 * single words that are changed atomically. An entry holds a hash of the id and when it expires;
 * two ids are taken for the same one with a probability of less than one in a thousand million.
 */
public final class RequestIdTable {
    /** The result of a claim. */
    public enum Claim {
        /** The id was not in the table and is now. */
        NEW,
        /** The id is in use, or was in use until lately. */
        USED,
        /** There is no room for the id. */
        NO_ROOM
    }

    private static final int SLOT_COUNT = 1 << 16;

    /** The size of the buffer that holds a table. */
    public static final int BYTES = SLOT_COUNT * Long.BYTES;

    /** Slots, from the one that the hash selects on, in which an id may lie. */
    private static final int PROBE_COUNT = 32;

    /** How long an id stays claimed whose process ends without releasing it. */
    private static final Duration MAX_USE = Duration.ofHours(1);

    private static final int EXPIRY_BITS = 30;
    private static final long EXPIRY_MASK = (1L << EXPIRY_BITS) - 1;
    private static final long EPOCH_SECOND = Instant.parse("2020-01-01T00:00:00Z").getEpochSecond();
    private static final VarHandle WORDS =
            MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    private final ByteBuffer buffer;
    private final long seed;

    /** Uses the table in a direct buffer. All processes that share it use the same seed. */
    public RequestIdTable(ByteBuffer buffer, long seed) {
        if (!buffer.isDirect() || buffer.capacity() != BYTES) {
            throw new IllegalArgumentException("not a buffer for a table of request ids");
        }
        this.buffer = buffer;
        this.seed = seed;
    }

    /** Claims an id until it is released. */
    public Claim claim(String id, Instant now) {
        long hash = hash(id);
        while (true) {
            int free = -1;
            for (int probe = 0; probe < PROBE_COUNT; probe++) {
                int offset = offset(hash, probe);
                long word = (long) WORDS.getVolatile(buffer, offset);
                boolean live = expiry(word) > seconds(now);
                if (live && tag(word) == tag(hash)) {
                    return Claim.USED;
                }
                if (!live && free < 0) {
                    free = offset;
                }
            }
            if (free < 0) {
                return Claim.NO_ROOM;
            }
            long word = (long) WORDS.getVolatile(buffer, free);
            boolean stillFree = expiry(word) <= seconds(now);
            if (stillFree
                    && WORDS.compareAndSet(buffer, free, word, word(hash, now.plus(MAX_USE)))) {
                return Claim.NEW;
            }
        }
    }

    /** Lets a claimed id expire at this time, which may be now. */
    public void release(String id, Instant expiry) {
        long hash = hash(id);
        for (int probe = 0; probe < PROBE_COUNT; probe++) {
            int offset = offset(hash, probe);
            long word = (long) WORDS.getVolatile(buffer, offset);
            if (word != 0 && tag(word) == tag(hash)) {
                WORDS.compareAndSet(buffer, offset, word, word(hash, expiry));
            }
        }
    }

    private long hash(String id) {
        return Hashing.komihash5_0(seed).hashCharsToLong(id);
    }

    /** The slot is selected by the bits of the hash that the entry does not hold. */
    private static int offset(long hash, int probe) {
        int slot = (int) ((hash & EXPIRY_MASK) + probe) & (SLOT_COUNT - 1);
        return slot * Long.BYTES;
    }

    private static long tag(long wordOrHash) {
        return wordOrHash >>> EXPIRY_BITS;
    }

    private static long expiry(long word) {
        return word & EXPIRY_MASK;
    }

    private static long word(long hash, Instant expiry) {
        return tag(hash) << EXPIRY_BITS | seconds(expiry);
    }

    private static long seconds(Instant time) {
        return time.getEpochSecond() - EPOCH_SECOND & EXPIRY_MASK;
    }
}
