package saltstage.configuration.follower;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Instant;
import java.util.List;
import saltstage.configuration.Change;
import saltstage.configuration.ConfigurationView;
import saltstage.store.Disk;
import saltstage.store.FileDisk;
import saltstage.store.StoreEventListener;
import saltstage.store.StoreException;

/**
 * A directory with a {@link ConfigurationStore}. If the directory is damaged or holds something
 * else, it is renamed as a whole and the follower starts with an empty one. While another process
 * of the same relay has the store locked, its state can be read, but writes fail until that process
 * has ended. Supports one writer.
 */
public final class ConfigurationDirectory implements ConfigurationPersistence, Closeable {
    private static final String SET_ASIDE_SUFFIX = ".set-aside-";

    private final Path path;
    private final StoreEventListener events;
    private final PersistedConfiguration persistedConfiguration;
    private ConfigurationStore store;

    /**
     * Opens a directory; creates it if it does not exist.
     *
     * @param events receives {@code configuration.set_aside}, {@code configuration.shared} and the
     *     store's own events
     */
    public ConfigurationDirectory(Path path, StoreEventListener events) throws IOException {
        this.path = path;
        this.events = events;
        persistedConfiguration = open();
    }

    /** The configuration that the directory held when it was opened. */
    public PersistedConfiguration persistedConfiguration() {
        return persistedConfiguration;
    }

    private PersistedConfiguration open() throws IOException {
        Disk disk = FileDisk.openOrCreate(path);
        try {
            return openStore(disk);
        } catch (StoreException.Locked locked) {
            events.onEvent("configuration.shared", "dir", path);
            return ConfigurationStore.read(disk);
        } catch (StoreException | ConfigurationStore.InvalidStateException invalid) {
            Path target =
                    path.resolveSibling(path.getFileName() + SET_ASIDE_SUFFIX + Instant.now());
            Files.move(path, target, StandardCopyOption.ATOMIC_MOVE);
            events.onEvent("configuration.set_aside", "to", target, "why", invalid.getMessage());
            return openStore(FileDisk.openOrCreate(path));
        }
    }

    private PersistedConfiguration openStore(Disk disk) throws IOException {
        store = ConfigurationStore.open(disk, events);
        return store.persistedConfiguration();
    }

    /** Returns the store; opens it first if another process had it locked at the start. */
    private synchronized ConfigurationStore store() throws IOException {
        if (store == null) {
            openStore(FileDisk.openOrCreate(path));
        }
        return store;
    }

    @Override
    public void write(List<Change> changes) throws IOException {
        store().write(changes);
    }

    @Override
    public void replace(ConfigurationView view) throws IOException {
        store().replace(view);
    }

    @Override
    public void recordConfirmation(Instant time) throws IOException {
        store().recordConfirmation(time);
    }

    @Override
    public synchronized void close() throws IOException {
        if (store != null) {
            store.close();
        }
    }
}
