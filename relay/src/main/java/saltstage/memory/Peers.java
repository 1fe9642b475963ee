package saltstage.memory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import saltstage.wire.HostList;

/** The list of backends as this relay has it. */
public final class Peers {
    private final Map<String, Peer> peers = new ConcurrentHashMap<>();
    private final Predicate<String> suspended;
    private volatile long rev;

    /** No backend is suspended. */
    public Peers() {
        this(uid -> false);
    }

    /** A list of which operators may have suspended some. */
    public Peers(Predicate<String> suspended) {
        this.suspended = suspended;
    }

    /** Whether operators have suspended this backend, listed or not. */
    public boolean suspended(String uid) {
        return suspended.test(uid);
    }

    /** The version of the list held. */
    public long rev() {
        return rev;
    }

    /** The backend of this name, or null. */
    public Peer find(String uid) {
        return peers.get(uid);
    }

    /** All that are listed. */
    public Collection<Peer> all() {
        return peers.values();
    }

    /** The whole list as it is now. */
    public synchronized HostList list() {
        return new HostList(rev, true, peers.values().stream().map(Peer::entry).toList());
    }

    /** Takes a list or a change of it; returns the processes that have ended by it. */
    public synchronized List<Peer> update(HostList list) {
        rev = list.rev();
        List<Peer> ended = new ArrayList<>();
        Set<String> named = new HashSet<>();
        for (HostList.Entry entry : list.targets()) {
            named.add(entry.uid());
            Peer held = peers.get(entry.uid());
            boolean restarted = held != null && !held.entry().startedAt().equals(entry.startedAt());
            if (held != null && (restarted || entry.state() == HostList.State.GONE)) {
                peers.remove(entry.uid());
                ended.add(held);
            }
            if (entry.state() != HostList.State.GONE) {
                peers.computeIfAbsent(entry.uid(), uid -> new Peer(entry, suspended)).update(entry);
            }
        }
        if (list.all()) {
            for (Peer held : List.copyOf(peers.values())) {
                if (!named.contains(held.entry().uid())) {
                    peers.remove(held.entry().uid());
                    ended.add(held);
                }
            }
        }
        ended.forEach(Peer::end);
        return ended;
    }
}
