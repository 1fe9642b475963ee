package saltstage.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedByInterruptException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/** A disk in a directory of the file system. */
public final class FileDisk implements Disk {
    private final Path directory;

    /** Creates a disk for an existing directory. */
    public FileDisk(Path directory) {
        this.directory = directory;
    }

    /** Creates the directory durably if it does not exist, and returns a disk for it. */
    public static FileDisk openOrCreate(Path dir) throws IOException {
        if (!Files.isDirectory(dir)) {
            Files.createDirectories(dir);
            Path parent = dir.toAbsolutePath().getParent();
            if (parent != null) {
                new FileDisk(parent).syncDirectory();
            }
        }
        return new FileDisk(dir);
    }

    @Override
    public List<String> list() throws IOException {
        List<String> names = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory)) {
            files.forEach(file -> names.add(file.getFileName().toString()));
        }
        return names;
    }

    @Override
    public File create(String name) throws IOException {
        return mapDiskFull(
                () ->
                        new FileHandle(
                                directory.resolve(name),
                                StandardOpenOption.CREATE_NEW,
                                StandardOpenOption.READ,
                                StandardOpenOption.WRITE));
    }

    @Override
    public File open(String name, boolean toWrite) throws IOException {
        return toWrite
                ? new FileHandle(
                        directory.resolve(name), StandardOpenOption.READ, StandardOpenOption.WRITE)
                : new FileHandle(directory.resolve(name), StandardOpenOption.READ);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        mapDiskFull(
                () ->
                        Files.move(
                                directory.resolve(from),
                                directory.resolve(to),
                                StandardCopyOption.ATOMIC_MOVE));
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(directory.resolve(name));
    }

    @Override
    public void syncDirectory() throws IOException {
        try (FileHandle handle = new FileHandle(directory, StandardOpenOption.READ)) {
            handle.withChannel(
                    channel -> {
                        channel.force(true);
                        return null;
                    });
        }
    }

    @Override
    public Closeable lock(String name) throws IOException {
        FileChannel channel =
                FileChannel.open(
                        directory.resolve(name),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException sameProcess) {
            lock = null;
        } finally {
            if (lock == null) {
                channel.close();
            }
        }
        return lock == null ? null : channel;
    }

    private interface DiskOperation<T> {
        T run() throws IOException;
    }

    /**
     * Maps the I/O errors of a full disk to {@link FullException}, because the JDK has no exception
     * type for them.
     */
    private static <T> T mapDiskFull(DiskOperation<T> operation) throws IOException {
        try {
            return operation.run();
        } catch (IOException e) {
            String message = String.valueOf(e.getMessage());
            if (message.contains("No space left") || message.contains("Disk quota exceeded")) {
                FullException full = new FullException(message);
                full.initCause(e);
                throw full;
            }
            throw e;
        }
    }

    /**
     * An open file. The JDK closes a channel when a thread that uses it is interrupted. An
     * interrupt of a calling thread must not close the files of the store, so the channel is
     * reopened and the operation repeated.
     */
    private static final class FileHandle implements File {
        private final Path path;
        private final OpenOption[] reopenOptions;
        private FileChannel channel;
        private boolean closed;

        FileHandle(Path path, OpenOption... options) throws IOException {
            this.path = path;
            channel = FileChannel.open(path, options);
            reopenOptions =
                    java.util.Arrays.stream(options)
                            .filter(option -> option != StandardOpenOption.CREATE_NEW)
                            .toArray(OpenOption[]::new);
        }

        private interface ChannelOperation<T> {
            T apply(FileChannel channel) throws IOException;
        }

        private <T> T withChannel(ChannelOperation<T> operation) throws IOException {
            boolean interrupted = false;
            try {
                while (true) {
                    interrupted |= Thread.interrupted();
                    FileChannel current = currentChannel();
                    try {
                        return mapDiskFull(() -> operation.apply(current));
                    } catch (ClosedByInterruptException e) {
                        interrupted = true;
                    } catch (ClosedChannelException e) {
                        // Another thread was interrupted while it used the channel.
                        if (isClosed()) {
                            throw e;
                        }
                    }
                }
            } finally {
                if (interrupted) {
                    Thread.currentThread().interrupt();
                }
            }
        }

        private synchronized boolean isClosed() {
            return closed;
        }

        private synchronized FileChannel currentChannel() throws IOException {
            if (!channel.isOpen() && !closed) {
                channel = FileChannel.open(path, reopenOptions);
            }
            return channel;
        }

        @Override
        public int read(ByteBuffer into, long position) throws IOException {
            int start = into.position();
            return withChannel(
                    channel -> {
                        into.position(start);
                        while (into.hasRemaining()) {
                            if (channel.read(into, position + into.position() - start) < 0) {
                                break;
                            }
                        }
                        return into.position() - start;
                    });
        }

        @Override
        public int write(ByteBuffer from, long position) throws IOException {
            int start = from.position();
            return withChannel(
                    channel -> {
                        from.position(start);
                        while (from.hasRemaining()) {
                            if (channel.write(from, position + from.position() - start) <= 0) {
                                break;
                            }
                        }
                        return from.position() - start;
                    });
        }

        @Override
        public void force() throws IOException {
            withChannel(
                    channel -> {
                        channel.force(false);
                        return null;
                    });
        }

        @Override
        public long size() throws IOException {
            return withChannel(FileChannel::size);
        }

        @Override
        public synchronized void close() throws IOException {
            closed = true;
            channel.close();
        }
    }
}
