package saltstage.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.Arrays;

/**
 * The store as it was at one moment, for as long as it is open; writers go on meanwhile. What it
 * points to stays on the disk until it is closed. For one thread at a time.
 */
public final class Snapshot implements Closeable {
    private final StoreState.View view;
    private boolean closed;

    Snapshot(StoreState.View held) {
        view = held;
    }

    /** The number of the last batch in it; 0 where there was none. */
    public long seq() {
        return view.seq();
    }

    /** How many keys it has. */
    public long size() {
        return view.index().size();
    }

    /** A key's value, or null. */
    public byte[] get(byte[] key) throws IOException {
        Index.Location place = find(key);
        return place == null
                ? null
                : view.segments().get(place.segmentId()).readValue(place.offset(), key, place);
    }

    /** A key's version, the number of the batch that put it; 0 where it is not there. */
    public long version(byte[] key) throws StoreException {
        Index.Location place = find(key);
        return place == null ? 0 : place.version();
    }

    private Index.Location find(byte[] key) throws StoreException {
        checkOpen();
        return view.index().find(key);
    }

    private void checkOpen() throws StoreException {
        if (closed) {
            throw new StoreException("the snapshot is closed");
        }
    }

    /**
     * The keys from one on, up to but without another, in order of their bytes; null: from or to
     * the end.
     */
    public Scan scan(byte[] from, byte[] to) throws StoreException {
        checkOpen();
        return new Scan(view.index().cursor(from), to);
    }

    /** A walk over keys in order. */
    public final class Scan {
        private final Index.Cursor cursor;
        private final byte[] to;

        private Scan(Index.Cursor cursor, byte[] to) {
            this.cursor = cursor;
            this.to = to;
        }

        /** Goes to the next key; false at the end. */
        public boolean next() {
            return cursor.advance() && (to == null || Arrays.compareUnsigned(cursor.key(), to) < 0);
        }

        /** The key. */
        public byte[] key() {
            return cursor.key();
        }

        /** Its version. */
        public long version() {
            return cursor.location().version();
        }

        /** Its value, read now. */
        public byte[] value() throws IOException {
            checkOpen();
            Index.Location place = cursor.location();
            return view.segments()
                    .get(place.segmentId())
                    .readValue(place.offset(), cursor.key(), place);
        }
    }

    @Override
    public void close() {
        if (!closed) {
            closed = true;
            view.segments().release();
        }
    }
}
