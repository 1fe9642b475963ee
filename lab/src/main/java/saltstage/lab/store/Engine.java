package saltstage.lab.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.rocksdb.Options;
import org.rocksdb.RocksDB;
import org.rocksdb.RocksDBException;
import org.rocksdb.WriteOptions;
import saltstage.store.FileDisk;
import saltstage.store.Store;
import saltstage.store.StoreEventListener;
import saltstage.store.StoreOptions;

/** Something that makes one pair durable at a time; used by many threads. */
interface Engine extends AutoCloseable {
    /** Returns once the pair is durable. */
    void put(byte[] key, byte[] value) throws Exception;

    @Override
    void close() throws Exception;

    /** The engines that are compared. */
    enum Kind {
        RAW_GROWING("append and force on a growing file"),
        RAW_FILLED("append and force on a filled file"),
        SALTSTAGE("saltstage.store"),
        MVSTORE("H2 MVStore 2.3.232"),
        ROCKSDB("RocksDB 10.10.1 with sync");

        private final String title;

        Kind(String title) {
            this.title = title;
        }

        String title() {
            return title;
        }

        Engine open(Path dir) throws Exception {
            Files.createDirectories(dir);
            return switch (this) {
                case RAW_GROWING -> new Raw(dir.resolve("raw"), 0);
                case RAW_FILLED -> new Raw(dir.resolve("raw"), 64 << 20);
                case SALTSTAGE -> new Ours(dir);
                case MVSTORE -> new Mv(dir.resolve("mv"));
                case ROCKSDB -> new Rocks(dir);
            };
        }
    }

    /** The limit: each record alone appended and forced. */
    final class Raw implements Engine {
        private final FileChannel file;
        private final long filled;
        private long end;

        Raw(Path path, int fill) throws IOException {
            file = FileChannel.open(path, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
            filled = fill;
            for (int at = 0; at < fill; at += 1 << 20) {
                file.write(ByteBuffer.allocate(1 << 20), at);
            }
            file.force(true);
        }

        @Override
        public synchronized void put(byte[] key, byte[] value) throws IOException {
            ByteBuffer out = ByteBuffer.allocate(key.length + value.length);
            out.put(key).put(value).flip();
            if (filled > 0 && end + out.remaining() > filled) {
                end = 0;
            }
            end += file.write(out, end);
            file.force(false);
        }

        @Override
        public void close() throws IOException {
            file.close();
        }
    }

    /** This repository's. */
    final class Ours implements Engine {
        private final Store store;

        Ours(Path dir) throws IOException {
            store = Store.open(FileDisk.openOrCreate(dir), StoreOptions.defaults(), StoreEventListener.NONE);
        }

        @Override
        public void put(byte[] key, byte[] value) throws IOException {
            store.put(key, value);
        }

        @Override
        public void close() throws IOException {
            store.close();
        }
    }

    /** MVStore; who waits while another commits is covered by the next commit, as in the others. */
    final class Mv implements Engine {
        private final MVStore store;
        private final MVMap<byte[], byte[]> map;

        Mv(Path file) {
            store = new MVStore.Builder().fileName(file.toString()).autoCommitDisabled().open();
            map = store.openMap("m");
        }

        @Override
        public void put(byte[] key, byte[] value) {
            map.put(key, value);
            long mine = store.getCurrentVersion();
            synchronized (this) {
                if (store.getCurrentVersion() == mine) {
                    store.commit();
                    store.sync();
                }
            }
        }

        @Override
        public void close() {
            store.closeImmediately();
        }
    }

    /** RocksDB with its own group commit. */
    final class Rocks implements Engine {
        private final Options options = new Options().setCreateIfMissing(true);
        private final WriteOptions durable = new WriteOptions().setSync(true);
        private final RocksDB db;

        Rocks(Path dir) throws RocksDBException {
            RocksDB.loadLibrary();
            db = RocksDB.open(options, dir.toString());
        }

        @Override
        public void put(byte[] key, byte[] value) throws RocksDBException {
            db.put(durable, key, value);
        }

        @Override
        public void close() {
            db.close();
            durable.close();
            options.close();
        }
    }
}
