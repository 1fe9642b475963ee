package saltstage.configuration.follower;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import saltstage.configuration.Change;
import saltstage.configuration.ConfigurationView;
import saltstage.store.FileDisk;
import saltstage.store.StoreEventListener;
import saltstage.store.StoreException;

/**
 * A directory with a {@link ConfigurationStore}. If the directory is damaged or holds something
 * else, it is renamed as a whole and the follower starts with an empty one. Of the processes that
 * share a directory, the one that holds the store's lock is the writer until it closes the
 * directory or ends; the others can read what it has made durable, and their writes fail.
 */
public final class ConfigurationDirectory implements ConfigurationPersistence, Closeable {
    private static final String SET_ASIDE_SUFFIX = ".set-aside-";

    private final Path path;
    private final StoreEventListener events;
    private final PersistedConfiguration persistedConfiguration;
    private final ConfigurationReader reader;
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
        reader = new ConfigurationReader(new FileDisk(path));
    }

    /** The configuration that the directory held when it was opened. */
    public PersistedConfiguration persistedConfiguration() {
        return persistedConfiguration;
    }

    private PersistedConfiguration open() throws IOException {
        try {
            return openStore();
        } catch (StoreException.Locked locked) {
            events.onEvent("configuration.shared", "dir", path);
            return ConfigurationStore.read(new FileDisk(path));
        }
    }

    /** Opens the store to write; sets the directory aside if it is unusable. */
    private PersistedConfiguration openStore() throws IOException {
        try {
            store = ConfigurationStore.open(FileDisk.openOrCreate(path), events);
        } catch (StoreException.Locked | StoreException.DiskFull unavailable) {
            throw unavailable;
        } catch (StoreException | ConfigurationStore.InvalidStateException invalid) {
            Path target =
                    path.resolveSibling(path.getFileName() + SET_ASIDE_SUFFIX + Instant.now());
            Files.move(path, target, StandardCopyOption.ATOMIC_MOVE);
            events.onEvent("configuration.set_aside", "to", target, "why", invalid.getMessage());
            store = ConfigurationStore.open(FileDisk.openOrCreate(path), events);
        }
        return store.persistedConfiguration();
    }

    /** Whether this process is the writer. */
    public synchronized boolean isWriter() {
        return store != null;
    }

    /**
     * Becomes the writer if no other process is. The directory then holds the given configuration,
     * which is in force in this process, or the newer one that it held before.
     *
     * @return the configuration that the directory holds; empty while another process is the writer
     */
    public synchronized Optional<PersistedConfiguration> tryBecomeWriter(
            PersistedConfiguration inForce) throws IOException {
        if (store != null) {
            return Optional.of(store.persistedConfiguration());
        }
        PersistedConfiguration onDisk;
        try {
            onDisk = openStore();
        } catch (StoreException.Locked locked) {
            return Optional.empty();
        }
        if (onDisk.view().revision() >= inForce.view().revision()) {
            return Optional.of(onDisk);
        }
        try {
            store.replace(inForce);
            return Optional.of(inForce);
        } catch (IOException failure) {
            close();
            store = null;
            throw failure;
        }
    }

    /**
     * Returns the configuration if the writer has changed the directory since the last call that
     * returned one; empty otherwise. Meant for a process that is not the writer.
     */
    public synchronized Optional<PersistedConfiguration> readIfChanged() throws IOException {
        return reader.readIfChanged();
    }

    /** Returns the store; opens it first if another process had it locked at the start. */
    private synchronized ConfigurationStore store() throws IOException {
        if (store == null) {
            openStore();
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
