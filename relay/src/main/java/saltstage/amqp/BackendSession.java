package saltstage.amqp;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.qpid.protonj2.engine.Session;

/**
 * A session to a backend. The sending links of one client session share a session, since they also
 * share a window on the client's side: they can block each other there already. A receiving link
 * has a session of its own. Used on the loop of its connection only.
 */
final class BackendSession {
    /** Every backend allows this many handles; 2.7.2 lets it announce fewer than the usual 2^32. */
    static final int MAX_LINKS = 64;

    private final Session session;
    private final Runnable emptyListener;
    private final Set<BackendLink> links = new LinkedHashSet<>();

    /** Links with bytes to send for which the session window had no room. */
    private final Set<BackendLink> blockedLinks = new LinkedHashSet<>();

    private boolean closed;

    /**
     * Opens the engine's session. The listener runs when the session has no links left or has
     * ended.
     */
    BackendSession(Session session, Runnable emptyListener) {
        this.session = session;
        this.emptyListener = emptyListener;
        session.closeHandler(ended -> endedByBackend()).open();
    }

    Session session() {
        return session;
    }

    /** Returns whether the session is open and can take another link. */
    boolean hasRoom() {
        return !closed && links.size() < MAX_LINKS;
    }

    void addLink(BackendLink link) {
        links.add(link);
    }

    /**
     * Removes a link that has ended and sent its detach. Removing the last one closes the session.
     */
    void removeLink(BackendLink link, boolean canSendFrames) {
        blockedLinks.remove(link);
        if (links.remove(link) && links.isEmpty()) {
            closed = true;
            emptyListener.run();
            if (canSendFrames) {
                session.close();
            }
        }
    }

    /** Registers a link that waits for the session window. */
    void addBlockedLink(BackendLink link) {
        blockedLinks.add(link);
    }

    /** Resumes the links that wait for the session window, which may have opened. */
    void resumeBlockedLinks() {
        if (!blockedLinks.isEmpty()) {
            List<BackendLink> unblocked = List.copyOf(blockedLinks);
            blockedLinks.clear();
            unblocked.forEach(BackendLink::resume);
        }
    }

    /** The backend has ended the session, which ends all its links. */
    private void endedByBackend() {
        closed = true;
        emptyListener.run();
        List<BackendLink> lostLinks = List.copyOf(links);
        links.clear();
        blockedLinks.clear();
        lostLinks.forEach(link -> link.connectionLost(true));
        session.close();
    }
}
