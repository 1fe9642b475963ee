package saltstage.amqp;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.qpid.protonj2.engine.Session;

/**
 * A session to a backend. The sending links of one session of a client share one, since they share
 * a window at their client too: who is held up by it was so already. A receiving link has one of
 * its own. On the loop of its connection only.
 */
final class BackendSession {
    /** Each peer allows that many handles (2.7.2 lets it say fewer than the usual 2^32). */
    static final int MAX_LINKS = 64;

    private final Session session;
    private final Runnable emptyListener;
    private final Set<BackendLink> links = new LinkedHashSet<>();

    /** Links with something to send that the window had no room for. */
    private final Set<BackendLink> blockedLinks = new LinkedHashSet<>();

    private boolean closed;

    /**
     * Over this session of the library's, not open yet; empty is told once no link is left on it.
     */
    BackendSession(Session session, Runnable empty) {
        this.session = session;
        this.emptyListener = empty;
        session.closeHandler(ended -> endedByBackend()).open();
    }

    Session session() {
        return session;
    }

    boolean hasRoom() {
        return !closed && links.size() < MAX_LINKS;
    }

    void addLink(BackendLink link) {
        links.add(link);
    }

    /** The link is over; its end has been said. The last one closes the session. */
    void removeLink(BackendLink link, boolean canSpeak) {
        blockedLinks.remove(link);
        if (links.remove(link) && links.isEmpty()) {
            closed = true;
            emptyListener.run();
            if (canSpeak) {
                session.close();
            }
        }
    }

    /** The link could send on if the window were open. */
    void addBlockedLink(BackendLink link) {
        blockedLinks.add(link);
    }

    /** Something has come that may have opened the window: those that wait for it look again. */
    void resumeBlockedLinks() {
        if (!blockedLinks.isEmpty()) {
            List<BackendLink> now = List.copyOf(blockedLinks);
            blockedLinks.clear();
            now.forEach(BackendLink::resume);
        }
    }

    /** The backend has ended it: so are all its links. */
    private void endedByBackend() {
        closed = true;
        emptyListener.run();
        List<BackendLink> all = List.copyOf(links);
        links.clear();
        blockedLinks.clear();
        all.forEach(link -> link.connectionLost(true));
        session.close();
    }
}
