package saltstage.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.Arrays;

/**
 * A consistent view of the store at one moment; writers are not blocked by it. The segments that it
 * refers to stay on the disk until it is closed. Not thread-safe.
 */
public final class Snapshot implements Closeable {
    private final StoreState.View view;
    private boolean closed;

    Snapshot(StoreState.View acquiredView) {
        view = acquiredView;
    }

    /** Returns the sequence number of the last batch in the snapshot, or 0 if there is none. */
    public long seq() {
        return view.seq();
    }

    /** Returns the number of keys. */
    public long size() {
        return view.index().size();
    }

    /** Returns the value of a key, or null if the key does not exist. */
    public byte[] get(byte[] key) throws IOException {
        Index.Location location = find(key);
        return location == null
                ? null
                : view.segments()
                        .get(location.segmentId())
                        .readValue(location.offset(), key, location);
    }

    /**
     * Returns the version of a key, which is the sequence number of the batch that put it, or 0 if
     * the key does not exist.
     */
    public long version(byte[] key) throws StoreException {
        Index.Location location = find(key);
        return location == null ? 0 : location.version();
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
     * Returns the keys from {@code from} (inclusive) to {@code to} (exclusive) in unsigned byte
     * order; null leaves that side unbounded.
     */
    public Scan scan(byte[] from, byte[] to) throws StoreException {
        checkOpen();
        return new Scan(view.index().cursor(from), to);
    }

    /** An iteration over keys in order. */
    public final class Scan {
        private final Index.Cursor cursor;
        private final byte[] to;

        private Scan(Index.Cursor cursor, byte[] to) {
            this.cursor = cursor;
            this.to = to;
        }

        /** Moves to the next key. Returns false at the end. */
        public boolean next() {
            return cursor.advance() && (to == null || Arrays.compareUnsigned(cursor.key(), to) < 0);
        }

        /** Returns the current key. */
        public byte[] key() {
            return cursor.key();
        }

        /** Returns the version of the current key. */
        public long version() {
            return cursor.location().version();
        }

        /** Reads and returns the value of the current key. */
        public byte[] value() throws IOException {
            checkOpen();
            Index.Location location = cursor.location();
            return view.segments()
                    .get(location.segmentId())
                    .readValue(location.offset(), cursor.key(), location);
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
