package saltstage.handover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * A small file, read whole or not at all: written aside, forced, renamed, with a name and a
 * checksum.
 */
public final class Whole {
    private static final long MOST = 64 << 20;
    private static final int SUM_BYTES = 4;

    private final Path path;
    private final byte[] head;

    /** A file of this kind and format; what names another one is refused. */
    public Whole(Path path, String format) {
        this.path = path;
        head = ("saltstage " + format + "\n").getBytes(StandardCharsets.US_ASCII);
    }

    /** Replaces the content. */
    public void write(byte[] content) throws IOException {
        Files.createDirectories(path.toAbsolutePath().getParent());
        Path aside = path.resolveSibling(path.getFileName() + "." + ProcessHandle.current().pid());
        ByteBuffer all = ByteBuffer.allocate(head.length + content.length + SUM_BYTES);
        all.put(head).put(content);
        all.putInt(sum(all.array(), all.position())).flip();
        try (FileChannel file =
                FileChannel.open(
                        aside,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            while (all.hasRemaining()) {
                file.write(all);
            }
            file.force(true);
        }
        Files.move(
                aside, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /**
     * The content, or null where there is no such file; an IOException names what is wrong with it.
     */
    public byte[] read() throws IOException {
        if (!Files.exists(path)) {
            return null;
        }
        if (Files.size(path) > MOST) {
            throw new IOException(path + ": too large");
        }
        byte[] all = Files.readAllBytes(path);
        int end = all.length - SUM_BYTES;
        if (end < head.length || !Arrays.equals(head, 0, head.length, all, 0, head.length)) {
            throw new IOException(path + ": not in the form of this program");
        }
        if (ByteBuffer.wrap(all, end, SUM_BYTES).getInt() != sum(all, end)) {
            throw new IOException(path + ": torn, its checksum differs");
        }
        return Arrays.copyOfRange(all, head.length, end);
    }

    private static int sum(byte[] bytes, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, length);
        return (int) sum.getValue();
    }
}
