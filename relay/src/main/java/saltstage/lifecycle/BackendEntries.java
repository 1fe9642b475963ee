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

/** The backends of the configuration as lists in discovery's form. Not thread safe. */
final class BackendEntries {
    private static final int MAX_ID_LENGTH = 128;

    private final Map<String, BackendList.Entry> entriesById = new TreeMap<>();
    private final Map<String, BackendList.Entry> changed = new TreeMap<>();

    /** Forgets all; what is set from here on is the whole list. */
    void clear() {
        entriesById.clear();
        changed.clear();
    }

    /** A backend says this from now on; null: it is deleted. */
    void set(String id, EntryValue.Backend value) {
        BackendList.Entry entry = value == null ? null : toListEntry(id, value);
        BackendList.Entry before =
                entry == null ? entriesById.remove(id) : entriesById.put(id, entry);
        if (entry != null) {
            changed.put(id, entry);
        } else if (before != null) {
            changed.put(id, goneEntry(before));
        }
    }

    /** Whether any backend is named. */
    boolean isEmpty() {
        return entriesById.isEmpty();
    }

    /** All that are named. */
    BackendList fullList(long revision) {
        changed.clear();
        return new BackendList(revision, true, List.copyOf(entriesById.values()));
    }

    /**
     * What has changed since the last call of this or of {@link #fullList}; null where nothing has.
     */
    BackendList changesSinceLast(long revision) {
        if (changed.isEmpty()) {
            return null;
        }
        Collection<BackendList.Entry> entries = new ArrayList<>(changed.values());
        changed.clear();
        return new BackendList(revision, false, List.copyOf(entries));
    }

    private static BackendList.Entry goneEntry(BackendList.Entry before) {
        return new BackendList.Entry(
                before.uid(),
                before.endpoint(),
                before.zone(),
                before.cell(),
                BackendList.State.GONE,
                before.weight(),
                before.startedAt());
    }

    /**
     * Null where lists cannot carry it; that is logged, and the backend is as one that is deleted.
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
        } catch (MalformedException notInFigures) {
            Log.warn("configuration.backend.refused", "peer", id, "why", notInFigures.getMessage());
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
