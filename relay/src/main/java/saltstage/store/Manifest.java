package saltstage.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What a store consists of: the format it was written in (1: from before there was a file of what was
 * acknowledged; 2), its id, the next free file number, the checkpoint in force and all segments in
 * order. Small, and replaced whole by a rename.
 */
record Manifest(short format, Frames.StoreId store, long generation, long nextId, CheckpointRef checkpoint,
        List<Part> parts) {
    static final String NAME = "manifest";
    static final String NEXT = "manifest.tmp";
    static final short FORMAT = 2;
    private static final long MAGIC = 0x53414c544d414e01L; // SALTMAN, 1
    private static final int FIXED = 108;
    private static final int PART = 42;
    private static final int CRC_AT = 12;
    private static final int MOST_PARTS = 1 << 20;

    /** The checkpoint in force; id 0: none. Replay begins at this offset of that segment. */
    record CheckpointRef(long id, long seq, long replayFrom, long replayOffset, long bytes, int crc,
            long keys) {
        static final CheckpointRef NONE = new CheckpointRef(0, 0, 0, 0, 0, 0, 0);

        String name() {
            return Checkpoint.name(id);
        }
    }

    /** A segment; used and lastSeq hold for sealed ones. */
    record Part(long id, byte kind, boolean sealed, long size, long used, long baseSeq, long lastSeq) {
        String name() {
            return Segment.name(id, kind);
        }
    }

    ByteBuffer encoded() {
        ByteBuffer out = ByteBuffer.allocate(FIXED + PART * parts.size());
        out.putLong(MAGIC).putShort(format).putShort((short) 0).putInt(0)
            .putLong(store.high()).putLong(store.low()).putLong(generation).putLong(nextId)
            .putLong(checkpoint.id()).putLong(checkpoint.seq()).putLong(checkpoint.replayFrom())
            .putLong(checkpoint.replayOffset()).putLong(checkpoint.bytes()).putInt(checkpoint.crc())
            .putLong(checkpoint.keys()).putInt(0).putInt(parts.size());
        for (Part part : parts) {
            out.putLong(part.id()).put(part.kind()).put((byte) (part.sealed() ? 1 : 0)).putLong(part.size())
                .putLong(part.used()).putLong(part.baseSeq()).putLong(part.lastSeq());
        }
        out.flip();
        out.putInt(CRC_AT, Frames.crcAround(out, CRC_AT));
        return out;
    }

    static Manifest decoded(ByteBuffer in) throws StoreException {
        if (in.remaining() < FIXED) {
            throw new StoreException.Damaged(NAME, in.remaining(), "the file is cut");
        }
        if (in.getLong(0) != MAGIC) {
            throw new StoreException.Damaged(NAME, 0, "no manifest");
        }
        if (in.getInt(CRC_AT) != Frames.crcAround(in, CRC_AT)) {
            throw new StoreException.Damaged(NAME, CRC_AT, "the checksum does not match");
        }
        short format = in.getShort(8);
        if (format < 1 || format > FORMAT) {
            throw new StoreException(NAME + ": format " + format + " is not known; 1 to " + FORMAT + " are");
        }
        in.position(16);
        Frames.StoreId store = new Frames.StoreId(in.getLong(), in.getLong());
        long generation = in.getLong();
        long nextId = in.getLong();
        CheckpointRef checkpoint = new CheckpointRef(in.getLong(), in.getLong(), in.getLong(), in.getLong(),
            in.getLong(), in.getInt(), in.getLong());
        in.getInt();
        int count = in.getInt();
        if (count < 1 || count > MOST_PARTS || in.remaining() != (long) count * PART) {
            throw new StoreException.Damaged(NAME, in.position(), "the list of segments is cut");
        }
        List<Part> parts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            parts.add(new Part(in.getLong(), in.get(), in.get() == 1, in.getLong(), in.getLong(),
                in.getLong(), in.getLong()));
        }
        return new Manifest(format, store, generation, nextId, checkpoint, List.copyOf(parts));
    }

    static Manifest read(Disk disk) throws IOException {
        try (Disk.File file = disk.open(NAME, false)) {
            long size = file.size();
            if (size > FIXED + (long) PART * MOST_PARTS) {
                throw new StoreException.Damaged(NAME, size, "the file is too long");
            }
            ByteBuffer in = ByteBuffer.allocate((int) size);
            file.read(in, 0);
            return decoded(in.flip());
        }
    }

    /** Writes it beside the one in force; {@link #publish} puts it in its place. */
    void prepare(Disk disk) throws IOException {
        disk.delete(NEXT);
        try (Disk.File file = disk.create(NEXT)) {
            ByteBuffer out = encoded();
            int whole = out.remaining();
            if (file.write(out, 0) < whole) {
                throw new IOException("short write of " + NEXT);
            }
            file.force();
        }
    }

    static void publish(Disk disk) throws IOException {
        disk.rename(NEXT, NAME);
        disk.syncDirectory();
    }
}
