package saltstage.handover;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import saltstage.log.Log;

/**
 * The suspended backends. Those that operators have suspended are stored in one file for both
 * processes of a relay; a change is made under a lock between the two, so that neither process
 * overwrites the other's change. Reading the set never blocks.
 */
public final class Suspensions {
    private static final Duration LOCK_TIMEOUT = Duration.ofMillis(400);
    private static final Duration LOCK_RETRY_PAUSE = Duration.ofMillis(10);

    private final Path path;
    private final AtomicFile file;
    private final FileChannel lockFile;
    private volatile Set<String> suspendedByOperators = Set.of();
    private volatile Set<String> suspendedByConfiguration = Set.of();
    private List<Object> lastReadStamp = List.of();
    private boolean unreadable;

    /**
     * Opens the suspensions of the relay with the given name in a directory. Without a directory
     * they are kept in memory until this process ends.
     */
    public Suspensions(Path dir, String name) throws IOException {
        path = dir == null ? null : dir.resolve(name + ".bans");
        file = dir == null ? null : new AtomicFile(path, "bans 1");
        if (dir != null) {
            Files.createDirectories(dir);
            lockFile =
                    FileChannel.open(
                            dir.resolve(name + ".bans.lock"),
                            StandardOpenOption.CREATE,
                            StandardOpenOption.WRITE);
        } else {
            lockFile = null;
        }
    }

    /** Whether this backend is suspended. */
    public boolean isSuspended(String id) {
        return suspendedByOperators.contains(id) || suspendedByConfiguration.contains(id);
    }

    /** Returns the ids of all suspended backends. */
    public Set<String> all() {
        if (suspendedByConfiguration.isEmpty()) {
            return suspendedByOperators;
        }
        Set<String> all = new TreeSet<>(suspendedByOperators);
        all.addAll(suspendedByConfiguration);
        return Set.copyOf(all);
    }

    /** Whether the configuration suspends this backend, regardless of operator calls. */
    public boolean isSuspendedByConfiguration(String id) {
        return suspendedByConfiguration.contains(id);
    }

    /**
     * Replaces the backends that the configuration suspends. They are separate from those that
     * operators of this relay have suspended: each side lifts only its own suspensions. They are
     * not stored in the file, because each process receives the configuration itself.
     */
    public void setSuspendedByConfiguration(Set<String> suspended) {
        suspendedByConfiguration = Set.copyOf(suspended);
    }

    /** Suspends or restores a backend; the change is durable when this method returns. */
    public synchronized void setSuspended(String id, boolean suspended) throws IOException {
        if (file == null) {
            suspendedByOperators = withChange(id, suspended);
            return;
        }
        try (FileLock held = acquireLock()) {
            try {
                read();
            } catch (IOException e) {
                Log.warn(
                        "bans.unreadable",
                        "why",
                        e.getMessage()); // the set in memory replaces the file
            }
            if (suspendedByOperators.contains(id) != suspended || unreadable) {
                Set<String> changed = withChange(id, suspended);
                file.write(String.join("\n", changed).getBytes(StandardCharsets.UTF_8));
                suspendedByOperators = changed;
                lastReadStamp = fileStamp();
                unreadable = false;
            }
        }
    }

    private Set<String> withChange(String id, boolean suspended) {
        Set<String> changed = new TreeSet<>(suspendedByOperators);
        if (suspended) {
            changed.add(id);
        } else {
            changed.remove(id);
        }
        return Set.copyOf(changed);
    }

    private FileLock acquireLock() throws IOException {
        long deadlineNs = System.nanoTime() + LOCK_TIMEOUT.toNanos();
        while (true) {
            FileLock held = lockFile.tryLock();
            if (held != null) {
                return held;
            }
            if (System.nanoTime() - deadlineNs > 0) {
                throw new IOException("the other process holds the bans");
            }
            try {
                Thread.sleep(LOCK_RETRY_PAUSE.toMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
        }
    }

    /** Loads changes of the other process; if the file is unreadable, the set stays unchanged. */
    public synchronized void refresh() throws IOException {
        if (file != null && !fileStamp().equals(lastReadStamp)) {
            read();
        }
    }

    private void read() throws IOException {
        List<Object> stamp = fileStamp(); // before reading, so that a later write is noticed
        if (stamp.equals(lastReadStamp)) {
            return;
        }
        lastReadStamp = stamp;
        unreadable = true; // until the read has succeeded
        byte[] content = file.read();
        String text = content == null ? "" : new String(content, StandardCharsets.UTF_8);
        suspendedByOperators =
                text.isEmpty() ? Set.of() : Set.copyOf(Arrays.asList(text.split("\n")));
        unreadable = false;
    }

    private List<Object> fileStamp() throws IOException {
        if (!Files.exists(path)) {
            return List.of();
        }
        BasicFileAttributes attributes = Files.readAttributes(path, BasicFileAttributes.class);
        return List.of(
                attributes.lastModifiedTime(),
                attributes.size(),
                String.valueOf(attributes.fileKey()));
    }
}
