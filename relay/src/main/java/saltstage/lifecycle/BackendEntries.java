package saltstage.lifecycle;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import saltstage.configuration.EntryValue;
import saltstage.log.Log;
import saltstage.wire.BackendList;
import saltstage.wire.MalformedException;

/**
 * Turns the backends of the shared configuration into backend lists as discovery sends them. Not
 * thread safe.
 */
final class BackendEntries {
    private static final int MAX_ID_LENGTH = 128;

    private final Map<String, BackendList.Entry> entriesById = new TreeMap<>();
    private final Map<String, BackendList.Entry> changedById = new TreeMap<>();

    /** Removes all backends; the ones set afterwards are the whole list. */
    void clear() {
        entriesById.clear();
        changedById.clear();
    }

    /** Sets a backend's value; null deletes the backend. */
    void set(String id, EntryValue.Backend value) {
        BackendList.Entry entry = value == null ? null : toListEntry(id, value);
        BackendList.Entry previous =
                entry == null ? entriesById.remove(id) : entriesById.put(id, entry);
        if (entry != null) {
            changedById.put(id, entry);
        } else if (previous != null) {
            changedById.put(id, goneEntry(previous));
        }
    }

    /** Whether no backend is listed. */
    boolean isEmpty() {
        return entriesById.isEmpty();
    }

    /** Returns all backends as a full list. */
    BackendList fullList(long revision) {
        changedById.clear();
        return new BackendList(revision, true, List.copyOf(entriesById.values()));
    }

    /**
     * Returns the changes since the last call of this method or of {@link #fullList}, or null if
     * there are none.
     */
    BackendList changesSinceLast(long revision) {
        if (changedById.isEmpty()) {
            return null;
        }
        Collection<BackendList.Entry> entries = new ArrayList<>(changedById.values());
        changedById.clear();
        return new BackendList(revision, false, List.copyOf(entries));
    }

    private static BackendList.Entry goneEntry(BackendList.Entry previous) {
        return new BackendList.Entry(
                previous.uid(),
                previous.endpoint(),
                previous.zone(),
                previous.cell(),
                BackendList.State.GONE,
                previous.weight(),
                previous.startedAt());
    }

    /**
     * Returns null for a backend that a list cannot represent; this is logged, and the backend is
     * treated as deleted.
     */
    private static BackendList.Entry toListEntry(String id, EntryValue.Backend value) {
        if (id.length() > MAX_ID_LENGTH) {
            Log.warn(
                    "configuration.backend.refused",
                    "peer",
                    id,
                    "why",
                    "an id of over 128 characters");
            return null;
        }
        try {
            return new BackendList.Entry(
                    id,
                    BackendList.parseAddress(value.address()),
                    value.zone(),
                    value.cell(),
                    toListState(value.state()),
                    value.weight(),
                    Instant.ofEpochMilli(value.startedAtMs()));
        } catch (MalformedException malformed) {
            Log.warn("configuration.backend.refused", "peer", id, "why", malformed.getMessage());
            return null;
        }
    }

    private static BackendList.State toListState(EntryValue.BackendState state) {
        return switch (state) {
            case READY -> BackendList.State.READY;
            case DRAINING -> BackendList.State.DRAINING;
            case GONE -> BackendList.State.GONE;
        };
    }
}
