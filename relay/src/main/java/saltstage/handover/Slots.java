package saltstage.handover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;

/**
 * A file with a slot for each of the two processes that a relay may have at a time. Its process
 * holds a lock on it, which ends with the process however that ends, and writes there how far it is
 * and how many descriptors it may use. The channel stays open: closing any channel of a file ends
 * all locks on it.
 */
public final class Slots {
    /** How far a process is. */
    public enum Phase {
        STARTING,
        READY,
        LEAVING
    }

    private static final int COUNT = 2;
    private static final int BYTES = 16;
    private static final int FORMAT = 0x53_4c_54_31; // "SLT1"

    /** A look at a slot locks it for a moment; who comes to take it just then tries again. */
    private static final Duration CLAIM = Duration.ofSeconds(1);

    private static final Duration PAUSE = Duration.ofMillis(20);

    /**
     * Descriptors beyond those in use that a process keeps when another comes: for what it still
     * accepts.
     */
    private static final int GROWTH = 16;

    private final FileChannel file;
    private final int own;
    private final int limit;
    private Phase phase = Phase.STARTING;
    private int budget;

    private Slots(FileChannel file, int own, int limit) {
        this.file = file;
        this.own = own;
        this.limit = limit;
    }

    /** What the other process has written; budget 0 where it has not yet seen this one. */
    private record Other(Phase phase, int budget) {}

    /** Takes a slot; this process and the other may together hold so many descriptors. */
    public static Slots claim(Path path, int limit) throws IOException {
        Files.createDirectories(path.toAbsolutePath().getParent());
        FileChannel file =
                FileChannel.open(
                        path,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        long until = System.nanoTime() + CLAIM.toNanos();
        do {
            for (int i = 0; i < COUNT; i++) {
                FileLock lock = lock(file, i);
                if (lock != null) {
                    Slots slots = new Slots(file, i, limit);
                    slots.write();
                    slots.share(0);
                    return slots;
                }
            }
            pause();
        } while (System.nanoTime() < until);
        file.close();
        throw new IOException(path + ": both slots are taken");
    }

    private static FileLock lock(FileChannel file, int slot) throws IOException {
        try {
            return file.tryLock((long) slot * BYTES, BYTES, false);
        } catch (
                OverlappingFileLockException
                        held) { // by this process, which may have two in a test
            return null;
        }
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(PAUSE.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** Says how far this process is. */
    public synchronized void say(Phase now) throws IOException {
        phase = now;
        write();
    }

    /** Whether there is another process. */
    public synchronized boolean othersLive() throws IOException {
        return other() != null;
    }

    /** Whether another process serves beside this one. */
    public synchronized boolean othersServe() throws IOException {
        Other other = other();
        return other != null && other.phase() == Phase.READY;
    }

    /**
     * How many descriptors this process may use now, where it uses so many. Who is alone may use
     * all; who serves and sees another keeps what it has, half at least; a starting one gets what
     * that leaves, and until it was seen a quarter.
     */
    public synchronized int share(int used) throws IOException {
        Other other = other();
        int now;
        if (other == null) {
            now = limit;
        } else if (phase == Phase.STARTING || other.phase() == Phase.LEAVING) {
            now = other.budget() > 0 && other.budget() < limit ? limit - other.budget() : limit / 4;
        } else if (budget < limit) {
            now =
                    Math.min(
                            budget,
                            Math.max(
                                    limit / 2,
                                    used + GROWTH)); // it only shrinks while two are here
        } else {
            now = Math.max(limit / 2, Math.min(used + GROWTH, limit * 3 / 4));
        }
        if (now != budget) {
            budget = now;
            write();
        }
        return now;
    }

    private Other other() throws IOException {
        int at = (1 - own) * BYTES;
        FileLock free = lock(file, 1 - own);
        if (free != null) {
            free.release(); // its process is gone
            return null;
        }
        ByteBuffer slot = ByteBuffer.allocate(BYTES);
        int read = file.read(slot, at);
        slot.flip();
        if (read < BYTES || slot.getInt() != FORMAT) {
            return new Other(Phase.STARTING, 0); // it lives and has not written yet
        }
        int phase = slot.getInt();
        boolean known = phase >= 0 && phase < Phase.values().length;
        return new Other(known ? Phase.values()[phase] : Phase.STARTING, slot.getInt());
    }

    private void write() throws IOException {
        ByteBuffer slot = ByteBuffer.allocate(BYTES);
        slot.putInt(FORMAT).putInt(phase.ordinal()).putInt(budget).putInt(0).flip();
        file.write(slot, (long) own * BYTES);
    }
}
