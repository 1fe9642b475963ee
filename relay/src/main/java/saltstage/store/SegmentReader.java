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
        SegmentFormat.FrameHeader header =
                SegmentFormat.decodeFrame(frame, segment.checksumSeed(), offset);
        if (header == null) {
            return null;
        }
        int payload = frame.position() + SegmentFormat.FRAME_HEADER_BYTES;
        return new Frame(
                header,
                offset,
                frame.limit(payload + header.payloadLength()).position(payload).slice());
    }

    private boolean ensureBuffered(long offset, int bytes) throws IOException {
        if (offset >= bufferStart && offset + bytes <= bufferStart + buffer.limit()) {
            return true;
        }
        int length = (int) Math.min(size - offset, Math.max(bytes, READ_BUFFER_BYTES));
        buffer = ByteBuffer.allocate(length);
        bufferStart = offset;
        segment.file().read(buffer, offset);
        buffer.flip();
        return buffer.limit() >= bytes;
    }

    /** Visits the entries of a group or copy frame in order. */
    void visitEntries(Frame frame, EntryVisitor visitor) throws IOException {
        visitEntries(
                frame.payload().duplicate(),
                frame.header(),
                frame.offset() + SegmentFormat.FRAME_HEADER_BYTES,
                visitor);
    }

    /** Visits the entries of a payload that begins at this offset of the segment. */
    void visitEntries(
            ByteBuffer payload, SegmentFormat.FrameHeader header, long offset, EntryVisitor visitor)
            throws IOException {
        for (int batch = 0; batch < header.batchCount(); batch++) {
            int changes =
                    payload.remaining() < SegmentFormat.BATCH_HEADER_BYTES ? -1 : payload.getInt();
            for (int i = 0; i < changes; i++) {
                int entryStart = payload.position();
                SegmentFormat.Entry entry = SegmentFormat.decodeEntry(payload);
                if (entry == null) {
                    throw new StoreException.Damaged(
                            segment.fileName(), offset + entryStart, "no sound entry");
                }
                visitor.visit(
                        entry,
                        batch,
                        offset + entryStart,
                        payload.duplicate().position(entryStart).limit(payload.position()));
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
     * Scans the rest of the segment from the first unreadable offset on; {@code expectedSeq} is the
     * sequence number of the group that should begin there.
     */
    TailScan scanTail(long from, long expectedSeq) throws IOException {
        boolean laterGroup = false;
        Frame mirror = null;
        boolean marker = false;
        boolean previousTrailer = false;
        long nonZeroEnd = from;
        for (long offset = from;
                offset + SegmentFormat.ALIGNMENT_BYTES <= size;
                offset += SegmentFormat.ALIGNMENT_BYTES) {
            if (!ensureBuffered(offset, SegmentFormat.ALIGNMENT_BYTES)) {
                break;
            }
            if (buffer.getLong((int) (offset - bufferStart)) == 0) {
                continue;
            }
            nonZeroEnd = offset + SegmentFormat.ALIGNMENT_BYTES;
            Frame frame =
                    buffer.getInt((int) (offset - bufferStart)) == SegmentFormat.FRAME_MAGIC
                            ? frameAt(offset)
                            : null;
            if (frame == null) {
                continue;
            }
            SegmentFormat.FrameHeader header = frame.header();
            boolean groupTrailer =
                    header.firstSeq() == expectedSeq
                            && frame.payload().remaining() >= SegmentFormat.MIRROR_HEADER_BYTES
                            && frame.payload().getLong(0) == from;
            laterGroup |=
                    header.kind() == SegmentFormat.GROUP_FRAME && header.firstSeq() >= expectedSeq;
            marker |= header.kind() == SegmentFormat.COMMIT_MARKER_FRAME && groupTrailer;
            mirror = header.kind() == SegmentFormat.MIRROR_FRAME && groupTrailer ? frame : mirror;
            previousTrailer |=
                    offset == from
                            && (header.kind() == SegmentFormat.MIRROR_FRAME
                                    || header.kind() == SegmentFormat.COMMIT_MARKER_FRAME)
                            && header.firstSeq() + header.batchCount() == expectedSeq;
        }
        return new TailScan(
                new TailClassifier.Findings(
                        laterGroup, mirror != null, marker, nonZeroEnd == from, previousTrailer),
                mirror,
                nonZeroEnd);
    }

    /**
     * The result of {@link #scanTail}: the findings, the mirror of the unreadable group or null,
     * and the end of the last non-zero bytes.
     */
    record TailScan(TailClassifier.Findings findings, Frame mirror, long nonZeroEnd) {}
}
