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
public final class ProcessSlots {
    /** How far a process is. */
    public enum Phase {
        STARTING,
        READY,
        LEAVING
    }

    private static final int SLOT_COUNT = 2;
    private static final int SLOT_BYTES = 16;
    private static final int MAGIC = 0x53_4c_54_31; // "SLT1"

    /** A look at a slot locks it for a moment; who comes to take it just then tries again. */
    private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(1);

    private static final Duration CLAIM_RETRY_PAUSE = Duration.ofMillis(20);

    /**
     * Descriptors beyond those in use that a process keeps when another comes: for what it still
     * accepts.
     */
    private static final int SPARE_DESCRIPTORS = 16;

    private final FileChannel file;
    private final int ownSlot;
    private final int maxDescriptors;
    private Phase phase = Phase.STARTING;
    private int descriptorBudget;

    private ProcessSlots(FileChannel file, int own, int limit) {
        this.file = file;
        this.ownSlot = own;
        this.maxDescriptors = limit;
    }

    /** What the other process has written; budget 0 where it has not yet seen this one. */
    private record OtherProcess(Phase phase, int descriptorBudget) {}

    /** Takes a slot; this process and the other may together hold so many descriptors. */
    public static ProcessSlots claim(Path path, int limit) throws IOException {
        Files.createDirectories(path.toAbsolutePath().getParent());
        FileChannel file =
                FileChannel.open(
                        path,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        long until = System.nanoTime() + CLAIM_TIMEOUT.toNanos();
        do {
            for (int i = 0; i < SLOT_COUNT; i++) {
                FileLock lock = tryLock(file, i);
                if (lock != null) {
                    ProcessSlots slots = new ProcessSlots(file, i, limit);
                    slots.write();
                    slots.updateDescriptorBudget(0);
                    return slots;
                }
            }
            pause();
        } while (System.nanoTime() < until);
        file.close();
        throw new IOException(path + ": both slots are taken");
    }

    private static FileLock tryLock(FileChannel file, int slot) throws IOException {
        try {
            return file.tryLock((long) slot * SLOT_BYTES, SLOT_BYTES, false);
        } catch (
                OverlappingFileLockException
                        held) { // by this process, which may have two in a test
            return null;
        }
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(CLAIM_RETRY_PAUSE.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** Says how far this process is. */
    public synchronized void setPhase(Phase now) throws IOException {
        phase = now;
        write();
    }

    /** Whether there is another process. */
    public synchronized boolean hasOtherProcess() throws IOException {
        return otherProcess() != null;
    }

    /** Whether another process serves beside this one. */
    public synchronized boolean isOtherProcessReady() throws IOException {
        OtherProcess other = otherProcess();
        return other != null && other.phase() == Phase.READY;
    }

    /**
     * How many descriptors this process may use now, where it uses so many. Who is alone may use
     * all; who serves and sees another keeps what it has, half at least; a starting one gets what
     * that leaves, and until it was seen a quarter.
     */
    public synchronized int updateDescriptorBudget(int used) throws IOException {
        OtherProcess other = otherProcess();
        int now;
        if (other == null) {
            now = maxDescriptors;
        } else if (phase == Phase.STARTING || other.phase() == Phase.LEAVING) {
            now =
                    other.descriptorBudget() > 0 && other.descriptorBudget() < maxDescriptors
                            ? maxDescriptors - other.descriptorBudget()
                            : maxDescriptors / 4;
        } else if (descriptorBudget < maxDescriptors) {
            now =
                    Math.min(
                            descriptorBudget,
                            Math.max(
                                    maxDescriptors / 2,
                                    used + SPARE_DESCRIPTORS)); // it only shrinks while two are
            // here
        } else {
            now =
                    Math.max(
                            maxDescriptors / 2,
                            Math.min(used + SPARE_DESCRIPTORS, maxDescriptors * 3 / 4));
        }
        if (now != descriptorBudget) {
            descriptorBudget = now;
            write();
        }
        return now;
    }

    private OtherProcess otherProcess() throws IOException {
        int at = (1 - ownSlot) * SLOT_BYTES;
        FileLock free = tryLock(file, 1 - ownSlot);
        if (free != null) {
            free.release(); // its process is gone
            return null;
        }
        ByteBuffer slot = ByteBuffer.allocate(SLOT_BYTES);
        int read = file.read(slot, at);
        slot.flip();
        if (read < SLOT_BYTES || slot.getInt() != MAGIC) {
            return new OtherProcess(Phase.STARTING, 0); // it lives and has not written yet
        }
        int phase = slot.getInt();
        boolean known = phase >= 0 && phase < Phase.values().length;
        return new OtherProcess(known ? Phase.values()[phase] : Phase.STARTING, slot.getInt());
    }

    private void write() throws IOException {
        ByteBuffer slot = ByteBuffer.allocate(SLOT_BYTES);
        slot.putInt(MAGIC).putInt(phase.ordinal()).putInt(descriptorBudget).putInt(0).flip();
        file.write(slot, (long) ownSlot * SLOT_BYTES);
    }
}
