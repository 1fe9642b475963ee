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

/** A storage engine under comparison: makes one pair durable at a time, for many threads. */
interface StorageEngine extends AutoCloseable {
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

        StorageEngine open(Path dir) throws Exception {
            Files.createDirectories(dir);
            return switch (this) {
                case RAW_GROWING -> new RawFileEngine(dir.resolve("raw"), 0);
                case RAW_FILLED -> new RawFileEngine(dir.resolve("raw"), 64 << 20);
                case SALTSTAGE -> new SaltstageEngine(dir);
                case MVSTORE -> new MvStoreEngine(dir.resolve("mv"));
                case ROCKSDB -> new RocksDbEngine(dir);
            };
        }
    }

    /** The baseline: appends each record to a raw file and forces it to disk on its own. */
    final class RawFileEngine implements StorageEngine {
        private final FileChannel file;
        private final long filledBytes;
        private long position;

        RawFileEngine(Path path, int fillBytes) throws IOException {
            file = FileChannel.open(path, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
            filledBytes = fillBytes;
            for (int offset = 0; offset < fillBytes; offset += 1 << 20) {
                file.write(ByteBuffer.allocate(1 << 20), offset);
            }
            file.force(true);
        }

        @Override
        public synchronized void put(byte[] key, byte[] value) throws IOException {
            ByteBuffer pair = ByteBuffer.allocate(key.length + value.length);
            pair.put(key).put(value).flip();
            if (filledBytes > 0 && position + pair.remaining() > filledBytes) {
                position = 0;
            }
            position += file.write(pair, position);
            file.force(false);
        }

        @Override
        public void close() throws IOException {
            file.close();
        }
    }

    /** This repository's store. */
    final class SaltstageEngine implements StorageEngine {
        private final Store store;

        SaltstageEngine(Path dir) throws IOException {
            store =
                    Store.open(
                            FileDisk.openOrCreate(dir),
                            StoreOptions.defaults(),
                            StoreEventListener.NONE);
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

    /**
     * H2 MVStore with group commit: a writer that waits while another one commits is covered by the
     * next commit, as in the other engines.
     */
    final class MvStoreEngine implements StorageEngine {
        private final MVStore store;
        private final MVMap<byte[], byte[]> map;

        MvStoreEngine(Path file) {
            store = new MVStore.Builder().fileName(file.toString()).autoCommitDisabled().open();
            map = store.openMap("m");
        }

        @Override
        public void put(byte[] key, byte[] value) {
            map.put(key, value);
            long version = store.getCurrentVersion();
            synchronized (this) {
                if (store.getCurrentVersion() == version) {
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
    final class RocksDbEngine implements StorageEngine {
        private final Options options = new Options().setCreateIfMissing(true);
        private final WriteOptions syncWrites = new WriteOptions().setSync(true);
        private final RocksDB database;

        RocksDbEngine(Path dir) throws RocksDBException {
            RocksDB.loadLibrary();
            database = RocksDB.open(options, dir.toString());
        }

        @Override
        public void put(byte[] key, byte[] value) throws RocksDBException {
            database.put(syncWrites, key, value);
        }

        @Override
        public void close() {
            database.close();
            syncWrites.close();
            options.close();
        }
    }
}
