package saltstage.handover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Maps the file in which the two processes of a relay share the ids of requests. */
public final class RequestIdFile {
    private RequestIdFile() {}

    /** Maps this many bytes of the file, which is created full of zeros if it does not exist. */
    public static ByteBuffer map(Path path, int bytes) throws IOException {
        Files.createDirectories(path.toAbsolutePath().getParent());
        try (FileChannel file =
                FileChannel.open(
                        path,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE)) {
            return file.map(FileChannel.MapMode.READ_WRITE, 0, bytes);
        }
    }
}
