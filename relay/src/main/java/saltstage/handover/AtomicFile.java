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
 * A small file that is read completely or not at all. The content is written to a temporary file
 * with a format header and a checksum, forced to disk and renamed over the old file.
 */
public final class AtomicFile {
    private static final long MAX_BYTES = 64 << 20;
    private static final int CHECKSUM_BYTES = 4;

    private final Path path;
    private final byte[] header;

    /** Creates a file of the given format; a file with the header of another format is rejected. */
    public AtomicFile(Path path, String format) {
        this.path = path;
        header = ("saltstage " + format + "\n").getBytes(StandardCharsets.US_ASCII);
    }

    /** Replaces the content atomically and durably. */
    public void write(byte[] content) throws IOException {
        Files.createDirectories(path.toAbsolutePath().getParent());
        Path temporaryFile =
                path.resolveSibling(path.getFileName() + "." + ProcessHandle.current().pid());
        ByteBuffer bytes = ByteBuffer.allocate(header.length + content.length + CHECKSUM_BYTES);
        bytes.put(header).put(content);
        bytes.putInt(checksum(bytes.array(), bytes.position())).flip();
        try (FileChannel file =
                FileChannel.open(
                        temporaryFile,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            while (bytes.hasRemaining()) {
                file.write(bytes);
            }
            file.force(true);
        }
        Files.move(
                temporaryFile,
                path,
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    /**
     * Returns the content, or null if the file does not exist.
     *
     * @throws IOException if the file cannot be read or is damaged; the message names the reason
     */
    public byte[] read() throws IOException {
        if (!Files.exists(path)) {
            return null;
        }
        if (Files.size(path) > MAX_BYTES) {
            throw new IOException(path + ": file too large");
        }
        byte[] bytes = Files.readAllBytes(path);
        int end = bytes.length - CHECKSUM_BYTES;
        if (end < header.length
                || !Arrays.equals(header, 0, header.length, bytes, 0, header.length)) {
            throw new IOException(path + ": not a file of the expected format");
        }
        if (ByteBuffer.wrap(bytes, end, CHECKSUM_BYTES).getInt() != checksum(bytes, end)) {
            throw new IOException(path + ": damaged, the checksum does not match");
        }
        return Arrays.copyOfRange(bytes, header.length, end);
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, length);
        return (int) sum.getValue();
    }
}
