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
 * The backends that operators have suspended. One file holds them for both processes of a relay; a
 * change is made under a lock between the two, so that none undoes the other's. Reading the set
 * waits for nothing.
 */
public final class Bans {
    private static final Duration LOCK = Duration.ofMillis(400);
    private static final Duration PAUSE = Duration.ofMillis(10);

    private final Path path;
    private final Whole file;
    private final FileChannel lock;
    private volatile Set<String> ids = Set.of();
    private volatile Set<String> configured = Set.of();
    private List<Object> seen = List.of();
    private boolean torn;

    /** The bans of this folder and name; without a folder they last as long as this process. */
    public Bans(Path dir, String name) throws IOException {
        path = dir == null ? null : dir.resolve(name + ".bans");
        file = dir == null ? null : new Whole(path, "bans 1");
        if (dir != null) {
            Files.createDirectories(dir);
            lock =
                    FileChannel.open(
                            dir.resolve(name + ".bans.lock"),
                            StandardOpenOption.CREATE,
                            StandardOpenOption.WRITE);
        } else {
            lock = null;
        }
    }

    /** Whether this backend is suspended. */
    public boolean has(String id) {
        return ids.contains(id) || configured.contains(id);
    }

    /** All that are suspended. */
    public Set<String> all() {
        if (configured.isEmpty()) {
            return ids;
        }
        Set<String> all = new TreeSet<>(ids);
        all.addAll(configured);
        return Set.copyOf(all);
    }

    /** Whether configuration suspends this backend, whatever operators of this relay have said. */
    public boolean isConfigured(String id) {
        return configured.contains(id);
    }

    /**
     * Replaces the backends that configuration suspends, beside those that operators of this relay
     * have suspended: one lifts only what it has set. They are in no file; each process hears of
     * them itself.
     */
    public void configure(Set<String> suspended) {
        configured = Set.copyOf(suspended);
    }

    /** Suspends or restores a backend; when this returns, that is durable. */
    public synchronized void set(String id, boolean banned) throws IOException {
        if (file == null) {
            ids = changed(id, banned);
            return;
        }
        try (FileLock held = lock()) {
            try {
                read();
            } catch (IOException bad) {
                Log.warn(
                        "bans.unreadable",
                        "why",
                        bad.getMessage()); // what is known here replaces it
            }
            if (ids.contains(id) != banned || torn) {
                Set<String> now = changed(id, banned);
                file.write(String.join("\n", now).getBytes(StandardCharsets.UTF_8));
                ids = now;
                seen = stamp();
                torn = false;
            }
        }
    }

    private Set<String> changed(String id, boolean banned) {
        Set<String> now = new TreeSet<>(ids);
        if (banned) {
            now.add(id);
        } else {
            now.remove(id);
        }
        return Set.copyOf(now);
    }

    private FileLock lock() throws IOException {
        long until = System.nanoTime() + LOCK.toNanos();
        while (true) {
            FileLock held = lock.tryLock();
            if (held != null) {
                return held;
            }
            if (System.nanoTime() - until > 0) {
                throw new IOException("the other process holds the bans");
            }
            try {
                Thread.sleep(PAUSE.toMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
        }
    }

    /** Takes what the other process has changed; what cannot be read leaves the set as it is. */
    public synchronized void refresh() throws IOException {
        if (file != null && !stamp().equals(seen)) {
            read();
        }
    }

    private void read() throws IOException {
        List<Object> now = stamp(); // before: what is written meanwhile is read again
        if (now.equals(seen)) {
            return;
        }
        seen = now;
        torn = true; // until it was read
        byte[] content = file.read();
        String text = content == null ? "" : new String(content, StandardCharsets.UTF_8);
        ids = text.isEmpty() ? Set.of() : Set.copyOf(Arrays.asList(text.split("\n")));
        torn = false;
    }

    private List<Object> stamp() throws IOException {
        if (!Files.exists(path)) {
            return List.of();
        }
        BasicFileAttributes at = Files.readAttributes(path, BasicFileAttributes.class);
        return List.of(at.lastModifiedTime(), at.size(), String.valueOf(at.fileKey()));
    }
}
