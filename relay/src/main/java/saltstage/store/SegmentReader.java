package saltstage.store;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * Reads the frames of a segment through a buffer. Anything that is not a valid frame is returned as
 * null.
 */
final class SegmentReader {
    private static final int READ_BUFFER_BYTES = 1 << 20;

    /** A frame, with a payload buffer that covers exactly the payload. */
    record Frame(SegmentFormat.FrameHeader header, long offset, ByteBuffer payload) {
        long endOffset() {
            return offset + header.totalBytes();
        }
    }

    /** Receives each entry of a frame. */
    interface EntryVisitor {
        /**
         * Receives an entry, the position of its batch within the group, its offset in the segment,
         * and its encoded bytes.
         */
        void visit(SegmentFormat.Entry entry, int batch, long offset, ByteBuffer raw)
                throws IOException;
    }

    private final Segment segment;
    private final long size;
    private ByteBuffer buffer = ByteBuffer.allocate(0);
    private long bufferStart;

    SegmentReader(Segment segment) throws IOException {
        this.segment = segment;
        size = segment.header().size();
    }

    long segmentId() {
        return segment.id();
    }

    String fileName() {
        return segment.fileName();
    }

    /** Returns the valid frame at this offset, or null. */
    Frame frameAt(long offset) throws IOException {
        if (offset + SegmentFormat.FRAME_HEADER_BYTES > size
                || !ensureBuffered(offset, SegmentFormat.FRAME_HEADER_BYTES)) {
            return null;
        }
        int length = buffer.getInt((int) (offset - bufferStart) + 8);
        if (length < 0
                || offset + SegmentFormat.FRAME_HEADER_BYTES + (long) length > size
                || !ensureBuffered(offset, SegmentFormat.FRAME_HEADER_BYTES + length)) {
            return null;
        }
        ByteBuffer frame = buffer.duplicate();
        frame.position((int) (offset - bufferStart));
        SegmentFormat.FrameHeader head =
                SegmentFormat.decodeFrame(frame, segment.checksumSeed(), offset);
        if (head == null) {
            return null;
        }
        int payload = frame.position() + SegmentFormat.FRAME_HEADER_BYTES;
        return new Frame(
                head,
                offset,
                frame.limit(payload + head.payloadLength()).position(payload).slice());
    }

    private boolean ensureBuffered(long offset, int bytes) throws IOException {
        if (offset >= bufferStart && offset + bytes <= bufferStart + buffer.limit()) {
            return true;
        }
        int want = (int) Math.min(size - offset, Math.max(bytes, READ_BUFFER_BYTES));
        buffer = ByteBuffer.allocate(want);
        bufferStart = offset;
        segment.file().read(buffer, offset);
        buffer.flip();
        return buffer.limit() >= bytes;
    }

    /** Visits the entries of a group or copy frame in order. */
    void visitEntries(Frame found, EntryVisitor visitor) throws IOException {
        visitEntries(
                found.payload().duplicate(),
                found.header(),
                found.offset() + SegmentFormat.FRAME_HEADER_BYTES,
                visitor);
    }

    /** Visits the entries of a payload that begins at this offset of the segment. */
    void visitEntries(
            ByteBuffer payload, SegmentFormat.FrameHeader head, long offset, EntryVisitor visitor)
            throws IOException {
        for (int batch = 0; batch < head.batchCount(); batch++) {
            int changes =
                    payload.remaining() < SegmentFormat.BATCH_HEADER_BYTES ? -1 : payload.getInt();
            for (int i = 0; i < changes; i++) {
                int at = payload.position();
                SegmentFormat.Entry entry = SegmentFormat.decodeEntry(payload);
                if (entry == null) {
                    throw new StoreException.Damaged(
                            segment.fileName(), offset + at, "no sound entry");
                }
                visitor.visit(
                        entry,
                        batch,
                        offset + at,
                        payload.duplicate().position(at).limit(payload.position()));
            }
            if (changes < 0) {
                throw new StoreException.Damaged(segment.fileName(), offset, "a batch is cut");
            }
        }
        if (payload.hasRemaining()) {
            throw new StoreException.Damaged(
                    segment.fileName(), offset + payload.position(), "bytes are left over");
        }
    }

    /**
     * Scans the rest of the segment from the first unreadable offset on; {@code expected} is the
     * sequence number of the group that should begin there.
     */
    TailScan scanTail(long from, long expected) throws IOException {
        boolean later = false;
        Frame mirror = null;
        boolean mark = false;
        boolean last = false;
        long nonZero = from;
        for (long at = from;
                at + SegmentFormat.ALIGNMENT_BYTES <= size;
                at += SegmentFormat.ALIGNMENT_BYTES) {
            if (!ensureBuffered(at, SegmentFormat.ALIGNMENT_BYTES)) {
                break;
            }
            if (buffer.getLong((int) (at - bufferStart)) == 0) {
                continue;
            }
            nonZero = at + SegmentFormat.ALIGNMENT_BYTES;
            Frame found =
                    buffer.getInt((int) (at - bufferStart)) == SegmentFormat.FRAME_MAGIC
                            ? frameAt(at)
                            : null;
            if (found == null) {
                continue;
            }
            SegmentFormat.FrameHeader head = found.header();
            boolean ofIt =
                    head.firstSeq() == expected
                            && found.payload().remaining() >= SegmentFormat.MIRROR_HEADER_BYTES
                            && found.payload().getLong(0) == from;
            later |= head.kind() == SegmentFormat.GROUP_FRAME && head.firstSeq() >= expected;
            mark |= head.kind() == SegmentFormat.COMMIT_MARKER_FRAME && ofIt;
            mirror = head.kind() == SegmentFormat.MIRROR_FRAME && ofIt ? found : mirror;
            last |=
                    at == from
                            && (head.kind() == SegmentFormat.MIRROR_FRAME
                                    || head.kind() == SegmentFormat.COMMIT_MARKER_FRAME)
                            && head.firstSeq() + head.batchCount() == expected;
        }
        return new TailScan(
                new TailClassifier.Findings(later, mirror != null, mark, nonZero == from, last),
                mirror,
                nonZero);
    }

    /**
     * The result of {@link #scanTail}: the findings, the mirror of the unreadable group or null,
     * and the end of the last non-zero bytes.
     */
    record TailScan(TailClassifier.Findings findings, Frame mirror, long nonZeroEnd) {}
}
