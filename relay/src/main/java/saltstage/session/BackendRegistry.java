package saltstage.session;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import saltstage.wire.BackendList;

/** The backend list as this relay currently has it. */
public final class BackendRegistry {
    private final Map<String, Backend> backends = new ConcurrentHashMap<>();
    private final Predicate<String> suspensionCheck;
    private volatile long revision;

    /** Creates an empty registry in which no backend is suspended. */
    public BackendRegistry() {
        this(backendId -> false);
    }

    /** Creates an empty registry in which operators may have suspended some backends. */
    public BackendRegistry(Predicate<String> suspensionCheck) {
        this.suspensionCheck = suspensionCheck;
    }

    /** Returns whether operators have suspended this backend, listed or not. */
    public boolean isSuspended(String backendId) {
        return suspensionCheck.test(backendId);
    }

    /** Returns the revision of the current list. */
    public long revision() {
        return revision;
    }

    /** Returns the backend with this id, or null. */
    public Backend find(String backendId) {
        return backends.get(backendId);
    }

    /** Returns all listed backends. */
    public Collection<Backend> all() {
        return backends.values();
    }

    /** Returns the full list as it is now. */
    public synchronized BackendList toBackendList() {
        return new BackendList(
                revision, true, backends.values().stream().map(Backend::entry).toList());
    }

    /** Applies a full list or a delta; returns the backend processes that have ended by it. */
    public synchronized List<Backend> update(BackendList list) {
        revision = list.revision();
        List<Backend> ended = new ArrayList<>();
        Set<String> listedIds = new HashSet<>();
        for (BackendList.Entry entry : list.entries()) {
            listedIds.add(entry.uid());
            Backend known = backends.get(entry.uid());
            boolean restarted =
                    known != null && !known.entry().startedAt().equals(entry.startedAt());
            if (known != null && (restarted || entry.state() == BackendList.State.GONE)) {
                backends.remove(entry.uid());
                ended.add(known);
            }
            if (entry.state() != BackendList.State.GONE) {
                backends.computeIfAbsent(
                                entry.uid(), backendId -> new Backend(entry, suspensionCheck))
                        .update(entry);
            }
        }
        if (list.full()) {
            for (Backend known : List.copyOf(backends.values())) {
                if (!listedIds.contains(known.entry().uid())) {
                    backends.remove(known.entry().uid());
                    ended.add(known);
                }
            }
        }
        ended.forEach(Backend::markEnded);
        return ended;
    }
}
