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
 * A disk in memory that crashes, fails, falls short and fills at any single operation. What is not
 * forced survives a crash in any part, sector by sector, and unsynced names one by one.
 */
public final class FaultDisk implements Disk {
    static final int SECTOR = 512;

    /** What happens at the chosen operation. */
    public enum Fault {
        CRASH,
        FAIL,
        SHORT,
        FULL
    }

    /** Thrown at a crash: no code of the store's may go on. */
    static final class Crash extends Error {
        private static final long serialVersionUID = 1L;
    }

    private record Write(int at, byte[] bytes) {}

    private record NameChange(String from, String to, Node node) {}

    private static final class Node {
        private byte[] now = {};
        private byte[] forced = {};
        private final List<Write> unforced = new ArrayList<>();
        private final BitSet room =
                new BitSet(); // sectors that were ever written: a hole takes none

        boolean needsRoom(long position, int bytes) {
            int last = (int) (position + bytes - 1) / SECTOR;
            return room.nextClearBit((int) position / SECTOR) <= last;
        }

        static byte[] with(byte[] content, Write write) {
            byte[] next =
                    Arrays.copyOf(
                            content, Math.max(content.length, write.at() + write.bytes().length));
            System.arraycopy(write.bytes(), 0, next, write.at(), write.bytes().length);
            return next;
        }
    }

    private final TreeMap<String, Node> names = new TreeMap<>();
    private final TreeMap<String, Node> durableNames = new TreeMap<>();
    private final List<NameChange> unsynced = new ArrayList<>();
    private boolean locked;
    private boolean dead;
    private int operations;
    private int faultAt = Integer.MAX_VALUE;
    private Fault fault = Fault.CRASH;
    private boolean full;

    /** Done once, before the next file is made: what another thread does meanwhile. */
    private Callable<Void> beforeCreate;

    void beforeNextCreate(Callable<Void> what) {
        beforeCreate = what;
    }

    /** From the next operation on they count from 0; at this one the fault happens. */
    public void arm(int at, Fault what) {
        operations = 0;
        faultAt = at;
        fault = what;
    }

    /** How many operations that change something there were since the disk was armed. */
    public int operations() {
        return operations;
    }

    /** There is room again, nothing is armed, and the process that held the lock is dead. */
    public void makeRoom() {
        full = false;
        locked = false;
        faultAt = Integer.MAX_VALUE;
    }

    /**
     * The disk as the next start finds it: all that was forced, and of the rest what the chance
     * keeps.
     */
    public FaultDisk afterCrash(Random keep) {
        FaultDisk next = new FaultDisk();
        TreeMap<String, Node> kept = new TreeMap<>(durableNames);
        for (NameChange change : unsynced) {
            if (keep.nextBoolean()) {
                if (change.from() != null) {
                    kept.remove(change.from(), change.node());
                }
                if (change.to() != null) {
                    kept.put(change.to(), change.node());
                }
            }
        }
        kept.forEach(
                (name, node) -> {
                    byte[] content = node.forced;
                    for (Write write : node.unforced) {
                        for (int at = 0; at < write.bytes().length; ) {
                            int until =
                                    Math.min(
                                            write.bytes().length,
                                            at + SECTOR - (write.at() + at) % SECTOR);
                            if (keep.nextBoolean()) {
                                content =
                                        Node.with(
                                                content,
                                                new Write(
                                                        write.at() + at,
                                                        Arrays.copyOfRange(
                                                                write.bytes(), at, until)));
                            }
                            at = until;
                        }
                    }
                    next.put(name, content);
                });
        return next;
    }

    /** A copy with all that is there durable. */
    FaultDisk copy() {
        FaultDisk next = new FaultDisk();
        names.forEach((name, node) -> next.put(name, node.now));
        return next;
    }

    byte[] content(String name) {
        return names.get(name).now.clone();
    }

    void put(String name, byte[] content) {
        Node node = new Node();
        node.now = content.clone();
        node.forced = node.now;
        names.put(name, node);
        durableNames.put(name, node);
    }

    void remove(String name) {
        names.remove(name);
        durableNames.remove(name);
    }

    private synchronized boolean faultNow() throws IOException {
        if (dead) {
            throw new Crash();
        }
        if (operations++ < faultAt) {
            return false;
        }
        if (operations - 1 > faultAt && fault != Fault.FULL) {
            return false;
        }
        switch (fault) {
            case CRASH:
                dead = true;
                throw new Crash();
            case FAIL:
                throw new IOException("made to fail");
            case FULL:
                full = true;
                return false;
            default:
                return true;
        }
    }

    @Override
    public synchronized List<String> list() {
        return List.copyOf(names.keySet());
    }

    @Override
    public synchronized File create(String name) throws IOException {
        if (beforeCreate != null) {
            Callable<Void> meanwhile = beforeCreate;
            beforeCreate = null;
            try {
                meanwhile.call();
            } catch (Exception e) {
                throw new IOException(e);
            }
        }
        faultNow();
        if (full) {
            throw new FullException("no room for " + name);
        }
        Node node = new Node();
        if (names.putIfAbsent(name, node) != null) {
            throw new IOException("there already: " + name);
        }
        unsynced.add(new NameChange(null, name, node));
        return new Handle(node);
    }

    @Override
    public synchronized File open(String name, boolean toWrite) throws IOException {
        Node node = names.get(name);
        if (node == null) {
            throw new FileNotFoundException(name);
        }
        return new Handle(node);
    }

    @Override
    public synchronized void rename(String from, String to) throws IOException {
        faultNow();
        Node node = names.remove(from);
        names.put(to, node);
        unsynced.add(new NameChange(from, to, node));
    }

    @Override
    public synchronized void delete(String name) throws IOException {
        faultNow();
        Node node = names.remove(name);
        if (node != null) {
            unsynced.add(new NameChange(name, null, node));
        }
    }

    @Override
    public synchronized void syncDirectory() throws IOException {
        faultNow();
        durableNames.clear();
        durableNames.putAll(names);
        unsynced.clear();
    }

    @Override
    public synchronized Closeable lock(String name) {
        if (locked) {
            return null;
        }
        locked = true;
        return () -> locked = false;
    }

    private final class Handle implements File {
        private final Node node;

        Handle(Node node) {
            this.node = node;
        }

        @Override
        public int read(ByteBuffer into, long position) {
            synchronized (FaultDisk.this) {
                int bytes =
                        (int) Math.max(0, Math.min(into.remaining(), node.now.length - position));
                into.put(node.now, (int) Math.min(position, node.now.length), bytes);
                return bytes;
            }
        }

        @Override
        public int write(ByteBuffer from, long position) throws IOException {
            synchronized (FaultDisk.this) {
                boolean shortened = faultNow();
                if (full && node.needsRoom(position, from.remaining())) {
                    throw new FullException("no room to grow");
                }
                byte[] bytes =
                        new byte[shortened ? Math.min(10, from.remaining() / 2) : from.remaining()];
                from.get(bytes);
                Write write = new Write((int) position, bytes);
                node.now = Node.with(node.now, write);
                node.unforced.add(write);
                node.room.set(
                        (int) position / SECTOR,
                        (int) (position + bytes.length + SECTOR - 1) / SECTOR);
                return bytes.length;
            }
        }

        @Override
        public void force() throws IOException {
            synchronized (FaultDisk.this) {
                try {
                    faultNow();
                    for (Write write : node.unforced) {
                        node.forced = Node.with(node.forced, write);
                    }
                } catch (IOException failed) {
                    failed.addSuppressed(
                            new IOException("the cache forgets that these were not written"));
                    node.unforced
                            .clear(); // as Linux does: a later force has nothing left and succeeds
                    throw failed;
                }
                node.unforced.clear();
            }
        }

        @Override
        public long size() {
            synchronized (FaultDisk.this) {
                return node.now.length;
            }
        }

        @Override
        public void close() {
            // nothing is held
        }
    }
}
