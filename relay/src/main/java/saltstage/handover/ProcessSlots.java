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
 * A file with one slot for each of the two processes that a relay may have at a time. A process
 * locks its slot, and the operating system releases the lock however the process ends. The slot
 * holds the phase of the process and the number of descriptors it may use. The channel is never
 * closed, because closing any channel of a file releases all locks that the process holds on it.
 */
public final class ProcessSlots {
    /** The stage of a process's life. */
    public enum Phase {
        STARTING,
        READY,
        LEAVING
    }

    private static final int SLOT_COUNT = 2;
    private static final int SLOT_BYTES = 16;
    private static final int MAGIC = 0x53_4c_54_31; // "SLT1"

    /**
     * How long a process retries to lock a slot: reading the other process's slot locks a free slot
     * for a moment, so that a claim at that moment fails.
     */
    private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(1);

    private static final Duration CLAIM_RETRY_PAUSE = Duration.ofMillis(20);

    /**
     * Descriptors beyond those in use that a process keeps when another process starts, for
     * connections that it still accepts.
     */
    private static final int SPARE_DESCRIPTORS = 16;

    private final FileChannel file;
    private final int ownSlot;
    private final int maxDescriptors;
    private Phase phase = Phase.STARTING;
    private int descriptorBudget;

    private ProcessSlots(FileChannel file, int slot, int maxDescriptors) {
        this.file = file;
        this.ownSlot = slot;
        this.maxDescriptors = maxDescriptors;
    }

    /**
     * The slot contents of the other process; the budget is 0 if the other process has not computed
     * one yet.
     */
    private record OtherProcess(Phase phase, int descriptorBudget) {}

    /**
     * Claims a slot for this process.
     *
     * @param maxDescriptors the number of descriptors that this process and the other may hold
     *     together
     */
    public static ProcessSlots claim(Path path, int maxDescriptors) throws IOException {
        Files.createDirectories(path.toAbsolutePath().getParent());
        FileChannel file =
                FileChannel.open(
                        path,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE);
        long deadlineNs = System.nanoTime() + CLAIM_TIMEOUT.toNanos();
        do {
            for (int i = 0; i < SLOT_COUNT; i++) {
                FileLock lock = tryLock(file, i);
                if (lock != null) {
                    ProcessSlots slots = new ProcessSlots(file, i, maxDescriptors);
                    slots.write();
                    slots.updateDescriptorBudget(0);
                    return slots;
                }
            }
            pause();
        } while (System.nanoTime() < deadlineNs);
        file.close();
        throw new IOException(path + ": both slots are taken");
    }

    private static FileLock tryLock(FileChannel file, int slot) throws IOException {
        try {
            return file.tryLock((long) slot * SLOT_BYTES, SLOT_BYTES, false);
        } catch (OverlappingFileLockException e) { // by this process: a test may claim both slots
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

    /** Publishes the phase of this process. */
    public synchronized void setPhase(Phase newPhase) throws IOException {
        phase = newPhase;
        write();
    }

    /** Whether another process holds the other slot. */
    public synchronized boolean hasOtherProcess() throws IOException {
        return otherProcess() != null;
    }

    /** Whether another process is ready and serves clients beside this one. */
    public synchronized boolean isOtherProcessReady() throws IOException {
        OtherProcess other = otherProcess();
        return other != null && other.phase() == Phase.READY;
    }

    /**
     * Recomputes how many descriptors this process may use. A single process may use all. A serving
     * process that sees another keeps those in use plus a reserve, with a minimum of half and a
     * maximum of three quarters, and only lowers this number afterwards. A process that starts, or
     * whose predecessor is draining, gets the remainder, or a quarter until the other process has
     * computed a reduced budget.
     *
     * @param used the number of descriptors that this process uses now
     */
    public synchronized int updateDescriptorBudget(int used) throws IOException {
        OtherProcess other = otherProcess();
        int budget;
        if (other == null) {
            budget = maxDescriptors;
        } else if (phase == Phase.STARTING || other.phase() == Phase.LEAVING) {
            budget =
                    other.descriptorBudget() > 0 && other.descriptorBudget() < maxDescriptors
                            ? maxDescriptors - other.descriptorBudget()
                            : maxDescriptors / 4;
        } else if (descriptorBudget < maxDescriptors) {
            budget =
                    Math.min(
                            descriptorBudget,
                            Math.max(
                                    maxDescriptors / 2,
                                    used + SPARE_DESCRIPTORS)); // only shrinks while both run
        } else {
            budget =
                    Math.max(
                            maxDescriptors / 2,
                            Math.min(used + SPARE_DESCRIPTORS, maxDescriptors * 3 / 4));
        }
        if (budget != descriptorBudget) {
            descriptorBudget = budget;
            write();
        }
        return budget;
    }

    private OtherProcess otherProcess() throws IOException {
        int offset = (1 - ownSlot) * SLOT_BYTES;
        FileLock free = tryLock(file, 1 - ownSlot);
        if (free != null) {
            free.release(); // the other process has ended
            return null;
        }
        ByteBuffer slot = ByteBuffer.allocate(SLOT_BYTES);
        int bytesRead = file.read(slot, offset);
        slot.flip();
        if (bytesRead < SLOT_BYTES || slot.getInt() != MAGIC) {
            return new OtherProcess(Phase.STARTING, 0); // it runs but has not written its slot yet
        }
        int phase = slot.getInt();
        boolean valid = phase >= 0 && phase < Phase.values().length;
        return new OtherProcess(valid ? Phase.values()[phase] : Phase.STARTING, slot.getInt());
    }

    private void write() throws IOException {
        ByteBuffer slot = ByteBuffer.allocate(SLOT_BYTES);
        slot.putInt(MAGIC).putInt(phase.ordinal()).putInt(descriptorBudget).putInt(0).flip();
        file.write(slot, (long) ownSlot * SLOT_BYTES);
    }
}
