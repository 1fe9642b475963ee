package saltstage.store;

import java.io.Closeable;
import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Callable;

/**
 * An in-memory disk that can crash, fail, write short or become full at any single operation. After
 * a crash any subset of the unforced sectors and any subset of the unsynced name changes survives.
 */
public final class FaultInjectingDisk implements Disk {
    static final int SECTOR_BYTES = 512;

    /** The fault at the selected operation. */
    public enum Fault {
        CRASH,
        IO_ERROR,
        SHORT_WRITE,
        DISK_FULL
    }

    /**
     * Thrown by the operation that crashes and by all later ones. It is an {@link Error}, so that
     * the store does not handle it as an I/O failure.
     */
    static final class SimulatedCrash extends Error {
        private static final long serialVersionUID = 1L;
    }

    private record PendingWrite(int position, byte[] bytes) {}

    private record NameChange(String from, String to, Inode inode) {}

    private static final class Inode {
        private byte[] content = {};
        private byte[] durableContent = {};
        private final List<PendingWrite> unforcedWrites = new ArrayList<>();

        /** The sectors that were ever written; holes take no space. */
        private final BitSet allocatedSectors = new BitSet();

        boolean needsNewSectors(long position, int bytes) {
            int last = (int) (position + bytes - 1) / SECTOR_BYTES;
            return allocatedSectors.nextClearBit((int) position / SECTOR_BYTES) <= last;
        }

        static byte[] withWrite(byte[] content, PendingWrite write) {
            byte[] next =
                    Arrays.copyOf(
                            content,
                            Math.max(content.length, write.position() + write.bytes().length));
            System.arraycopy(write.bytes(), 0, next, write.position(), write.bytes().length);
            return next;
        }
    }

    private final TreeMap<String, Inode> files = new TreeMap<>();
    private final TreeMap<String, Inode> durableFiles = new TreeMap<>();
    private final List<NameChange> unsyncedNameChanges = new ArrayList<>();
    private boolean locked;
    private boolean crashed;
    private int operationCount;
    private int faultAtOperation = Integer.MAX_VALUE;
    private Fault fault = Fault.CRASH;
    private boolean diskFull;

    /**
     * Called once before the next file is created, to run another thread's action at that point.
     */
    private Callable<Void> nextCreateHook;

    void beforeNextCreate(Callable<Void> hook) {
        nextCreateHook = hook;
    }

    /** Injects the fault at this operation, counting from 0 with the next one. */
    public void injectFaultAt(int operation, Fault injected) {
        operationCount = 0;
        faultAtOperation = operation;
        fault = injected;
    }

    /** Returns the number of modifying operations since the last call of {@link #injectFaultAt}. */
    public int operationCount() {
        return operationCount;
    }

    /**
     * Removes the fault, frees disk space and releases the lock, as if the process that held it had
     * died.
     */
    public void clearFaults() {
        diskFull = false;
        locked = false;
        faultAtOperation = Integer.MAX_VALUE;
    }

    /**
     * Returns the disk as it is after a crash: everything that was forced, and a random subset of
     * the other changes.
     */
    public FaultInjectingDisk afterCrash(Random choice) {
        FaultInjectingDisk next = new FaultInjectingDisk();
        TreeMap<String, Inode> survivors = new TreeMap<>(durableFiles);
        for (NameChange change : unsyncedNameChanges) {
            if (choice.nextBoolean()) {
                if (change.from() != null) {
                    survivors.remove(change.from(), change.inode());
                }
                if (change.to() != null) {
                    survivors.put(change.to(), change.inode());
                }
            }
        }
        survivors.forEach(
                (name, inode) -> {
                    byte[] content = inode.durableContent;
                    for (PendingWrite write : inode.unforcedWrites) {
                        for (int start = 0; start < write.bytes().length; ) {
                            int end =
                                    Math.min(
                                            write.bytes().length,
                                            start
                                                    + SECTOR_BYTES
                                                    - (write.position() + start) % SECTOR_BYTES);
                            if (choice.nextBoolean()) {
                                content =
                                        Inode.withWrite(
                                                content,
                                                new PendingWrite(
                                                        write.position() + start,
                                                        Arrays.copyOfRange(
                                                                write.bytes(), start, end)));
                            }
                            start = end;
                        }
                    }
                    next.putFile(name, content);
                });
        return next;
    }

    /** Returns a copy in which all current content is durable. */
    FaultInjectingDisk durableCopy() {
        FaultInjectingDisk next = new FaultInjectingDisk();
        files.forEach((name, inode) -> next.putFile(name, inode.content));
        return next;
    }

    byte[] content(String name) {
        return files.get(name).content.clone();
    }

    void putFile(String name, byte[] content) {
        Inode inode = new Inode();
        inode.content = content.clone();
        inode.durableContent = inode.content;
        files.put(name, inode);
        durableFiles.put(name, inode);
    }

    void removeFile(String name) {
        files.remove(name);
        durableFiles.remove(name);
    }

    private synchronized boolean injectFault() throws IOException {
        if (crashed) {
            throw new SimulatedCrash();
        }
        if (operationCount++ < faultAtOperation) {
            return false;
        }
        if (operationCount - 1 > faultAtOperation && fault != Fault.DISK_FULL) {
            return false;
        }
        switch (fault) {
            case CRASH:
                crashed = true;
                throw new SimulatedCrash();
            case IO_ERROR:
                throw new IOException("injected I/O error");
            case DISK_FULL:
                diskFull = true;
                return false;
            default:
                return true;
        }
    }

    @Override
    public synchronized List<String> list() {
        return List.copyOf(files.keySet());
    }

    @Override
    public synchronized File create(String name) throws IOException {
        if (nextCreateHook != null) {
            Callable<Void> hook = nextCreateHook;
            nextCreateHook = null;
            try {
                hook.call();
            } catch (Exception e) {
                throw new IOException(e);
            }
        }
        injectFault();
        if (diskFull) {
            throw new FullException("no room for " + name);
        }
        Inode inode = new Inode();
        if (files.putIfAbsent(name, inode) != null) {
            throw new IOException("the file exists: " + name);
        }
        unsyncedNameChanges.add(new NameChange(null, name, inode));
        return new FileHandle(inode);
    }

    @Override
    public synchronized File open(String name, boolean toWrite) throws IOException {
        Inode inode = files.get(name);
        if (inode == null) {
            throw new FileNotFoundException(name);
        }
        return new FileHandle(inode);
    }

    @Override
    public synchronized void rename(String from, String to) throws IOException {
        injectFault();
        Inode inode = files.remove(from);
        files.put(to, inode);
        unsyncedNameChanges.add(new NameChange(from, to, inode));
    }

    @Override
    public synchronized void delete(String name) throws IOException {
        injectFault();
        Inode inode = files.remove(name);
        if (inode != null) {
            unsyncedNameChanges.add(new NameChange(name, null, inode));
        }
    }

    @Override
    public synchronized void syncDirectory() throws IOException {
        injectFault();
        durableFiles.clear();
        durableFiles.putAll(files);
        unsyncedNameChanges.clear();
    }

    @Override
    public synchronized Closeable lock(String name) {
        if (locked) {
            return null;
        }
        locked = true;
        return () -> locked = false;
    }

    private final class FileHandle implements File {
        private final Inode inode;

        FileHandle(Inode inode) {
            this.inode = inode;
        }

        @Override
        public int read(ByteBuffer into, long position) {
            synchronized (FaultInjectingDisk.this) {
                int bytes =
                        (int)
                                Math.max(
                                        0,
                                        Math.min(
                                                into.remaining(), inode.content.length - position));
                into.put(inode.content, (int) Math.min(position, inode.content.length), bytes);
                return bytes;
            }
        }

        @Override
        public int write(ByteBuffer from, long position) throws IOException {
            synchronized (FaultInjectingDisk.this) {
                boolean shortened = injectFault();
                if (diskFull && inode.needsNewSectors(position, from.remaining())) {
                    throw new FullException("no room to grow");
                }
                byte[] bytes =
                        new byte[shortened ? Math.min(10, from.remaining() / 2) : from.remaining()];
                from.get(bytes);
                PendingWrite write = new PendingWrite((int) position, bytes);
                inode.content = Inode.withWrite(inode.content, write);
                inode.unforcedWrites.add(write);
                inode.allocatedSectors.set(
                        (int) position / SECTOR_BYTES,
                        (int) (position + bytes.length + SECTOR_BYTES - 1) / SECTOR_BYTES);
                return bytes.length;
            }
        }

        @Override
        public void force() throws IOException {
            synchronized (FaultInjectingDisk.this) {
                try {
                    injectFault();
                    for (PendingWrite write : inode.unforcedWrites) {
                        inode.durableContent = Inode.withWrite(inode.durableContent, write);
                    }
                } catch (IOException e) {
                    e.addSuppressed(new IOException("the cache dropped the unwritten data"));
                    // Linux also drops the dirty pages, so that a later force succeeds.
                    inode.unforcedWrites.clear();
                    throw e;
                }
                inode.unforcedWrites.clear();
            }
        }

        @Override
        public long size() {
            synchronized (FaultInjectingDisk.this) {
                return inode.content.length;
            }
        }

        @Override
        public void close() {
            // There is nothing to release.
        }
    }
}
