package saltstage.configuration.follower;

import java.io.IOException;
import java.util.Optional;
import saltstage.store.Disk;
import saltstage.store.Store;
import saltstage.store.StoreEventListener;

/**
 * Reads the configuration on a disk that another process writes to, each time that it has changed.
 * Returns only what the writer has made durable. Not thread safe.
 */
final class ConfigurationReader {
    private static final long NOTHING_READ = -1;

    private final Disk disk;
    private long lastReadSeq = NOTHING_READ;

    ConfigurationReader(Disk disk) {
        this.disk = disk;
    }

    /**
     * Returns the configuration if the writer has acknowledged a commit since the last call that
     * returned one; empty otherwise.
     */
    Optional<PersistedConfiguration> readIfChanged() throws IOException {
        if (Store.acknowledgedSeq(disk) == lastReadSeq) {
            return Optional.empty();
        }
        try (Store store = Store.openToRead(disk, StoreEventListener.NONE)) {
            long seq = store.statistics().lastSeq();
            // The log may end with a commit that is written and not yet forced.
            if (seq > Store.acknowledgedSeq(disk)) {
                return Optional.empty();
            }
            PersistedConfiguration persisted = ConfigurationStore.load(store);
            lastReadSeq = seq;
            return Optional.of(persisted);
        }
    }
}
