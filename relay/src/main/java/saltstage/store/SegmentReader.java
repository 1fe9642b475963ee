package saltstage.store;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Reads a segment's frames through a window of memory; what is not a sound frame is null, never a
 * guess.
 */
final class SegmentReader {
    private static final int WINDOW = 1 << 20;

    /** A frame with the buffer positioned at its payload and limited to it. */
    record Found(Frames.Head head, long offset, ByteBuffer payload) {
        long end() {
            return offset + head.total();
        }
    }

    /** Is given each entry of a frame. */
    interface Visitor {
        /** An entry, the number of the batch within its group, its offset, and its bytes. */
        void entry(Frames.Entry entry, int batch, long offset, ByteBuffer raw) throws IOException;
    }

    private final Segment segment;
    private final long size;
    private ByteBuffer window = ByteBuffer.allocate(0);
    private long windowStart;

    SegmentReader(Segment segment) throws IOException {
        this.segment = segment;
        size = segment.header().size();
    }

    long segmentId() {
        return segment.id();
    }

    String name() {
        return segment.name();
    }

    /** The sound frame at this offset, or null. */
    Found at(long offset) throws IOException {
        if (offset + Frames.HEAD > size || !load(offset, Frames.HEAD)) {
            return null;
        }
        int length = window.getInt((int) (offset - windowStart) + 8);
        if (length < 0
                || offset + Frames.HEAD + (long) length > size
                || !load(offset, Frames.HEAD + length)) {
            return null;
        }
        ByteBuffer frame = window.duplicate();
        frame.position((int) (offset - windowStart));
        Frames.Head head = Frames.frame(frame, segment.seed(), offset);
        if (head == null) {
            return null;
        }
        int payload = frame.position() + Frames.HEAD;
        return new Found(
                head, offset, frame.limit(payload + head.length()).position(payload).slice());
    }

    private boolean load(long offset, int bytes) throws IOException {
        if (offset >= windowStart && offset + bytes <= windowStart + window.limit()) {
            return true;
        }
        int want = (int) Math.min(size - offset, Math.max(bytes, WINDOW));
        window = ByteBuffer.allocate(want);
        windowStart = offset;
        segment.file().read(window, offset);
        window.flip();
        return window.limit() >= bytes;
    }

    /** Visits the entries of a group or copy in order. */
    void entries(Found found, Visitor visitor) throws IOException {
        entries(found.payload().duplicate(), found.head(), found.offset() + Frames.HEAD, visitor);
    }

    /** Visits the entries of a payload whose first byte has this offset. */
    void entries(ByteBuffer payload, Frames.Head head, long offset, Visitor visitor)
            throws IOException {
        for (int batch = 0; batch < head.count(); batch++) {
            int changes = payload.remaining() < Frames.BATCH_HEAD ? -1 : payload.getInt();
            for (int i = 0; i < changes; i++) {
                int at = payload.position();
                Frames.Entry entry = Frames.entry(payload);
                if (entry == null) {
                    throw new StoreException.Damaged(segment.name(), offset + at, "no sound entry");
                }
                visitor.entry(
                        entry,
                        batch,
                        offset + at,
                        payload.duplicate().position(at).limit(payload.position()));
            }
            if (changes < 0) {
                throw new StoreException.Damaged(segment.name(), offset, "a batch is cut");
            }
        }
        if (payload.hasRemaining()) {
            throw new StoreException.Damaged(
                    segment.name(), offset + payload.position(), "bytes are left over");
        }
    }

    /**
     * What stands from the first unreadable offset on, where the group of this number was to come
     * next.
     */
    Tail tail(long from, long expected) throws IOException {
        boolean later = false;
        Found mirror = null;
        boolean mark = false;
        boolean last = false;
        long nonZero = from;
        for (long at = from; at + Frames.ALIGN <= size; at += Frames.ALIGN) {
            if (!load(at, Frames.ALIGN)) {
                break;
            }
            if (window.getLong((int) (at - windowStart)) == 0) {
                continue;
            }
            nonZero = at + Frames.ALIGN;
            Found found =
                    window.getInt((int) (at - windowStart)) == Frames.FRAME_MAGIC ? at(at) : null;
            if (found == null) {
                continue;
            }
            Frames.Head head = found.head();
            boolean ofIt =
                    head.firstSeq() == expected
                            && found.payload().remaining() >= Frames.MIRROR_HEAD
                            && found.payload().getLong(0) == from;
            later |= head.kind() == Frames.GROUP && head.firstSeq() >= expected;
            mark |= head.kind() == Frames.MARK && ofIt;
            mirror = head.kind() == Frames.MIRROR && ofIt ? found : mirror;
            last |=
                    at == from
                            && (head.kind() == Frames.MIRROR || head.kind() == Frames.MARK)
                            && head.firstSeq() + head.count() == expected;
        }
        return new Tail(
                new TailJudge.Evidence(later, mirror != null, mark, nonZero == from, last),
                mirror,
                nonZero);
    }

    /**
     * What {@link #tail} found; mirror is that of the unreadable group, and nonZero the end of what
     * stands.
     */
    record Tail(TailJudge.Evidence evidence, Found mirror, long nonZero) {}
}
