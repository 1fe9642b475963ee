package saltstage.stage;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The connections that hold no request: those that have not asked yet and those that were turned away. They
 * have room of their own. Crowds that say nothing would otherwise take the descriptors, threads and memory
 * of clients that ask; where the room is full, who came first must go, as clients ask as soon as they come.
 */
final class Doorway {
    /** Of those that have sent something, the thread that reads it is merely late: some are passed over. */
    private static final int MOST_PASSED_OVER = 16;

    private int room;
    private final Set<LineClient> inside = new LinkedHashSet<>();

    /** A doorway for so many. */
    Doorway(int room) {
        this.room = room;
    }

    /** There is room for so many from now on; who is inside stays. */
    synchronized void room(int now) {
        room = now;
    }

    /** Takes one in; returns the one that has to go for it, or null. */
    synchronized LineClient enter(LineClient client) {
        LineClient out = inside.size() < room ? null : first();
        inside.remove(out);
        inside.add(client);
        return out;
    }

    private LineClient first() {
        Iterator<LineClient> oldest = inside.iterator();
        for (int i = 0; i < MOST_PASSED_OVER && oldest.hasNext(); i++) {
            LineClient client = oldest.next();
            if (!client.hasUnread()) {
                return client;
            }
        }
        return inside.iterator().next();
    }

    /** It has asked, or is gone; false where it had to go before. */
    synchronized boolean leave(LineClient client) {
        return inside.remove(client);
    }

    /** Those that are inside now. */
    synchronized List<LineClient> all() {
        return List.copyOf(inside);
    }

    /** How many are inside. */
    synchronized int size() {
        return inside.size();
    }
}
