package org.apache.qpid.protonj2.engine.impl;

import org.apache.qpid.protonj2.engine.Link;
import org.apache.qpid.protonj2.types.transport.Detach;

/**
 * Ends links that the remote side detached before its attach was answered. protonj2 1.0.0 cannot
 * open such a link any more, so that it never answers the two frames and keeps the link for as long
 * as its session lasts.
 */
public final class ProtonWithdrawnLinks {
    private ProtonWithdrawnLinks() {}

    /** Answers the attach without a terminus and the detach (2.6.3, 2.6.6), and frees the link. */
    public static void answer(Link<?> withdrawn) {
        ProtonLink<?> link = (ProtonLink<?>) withdrawn;
        ProtonSession session = link.getSession();
        long handle = session.findFreeLocalHandle(link);
        link.localAttach.setHandle(handle);
        if (link.isSender()) {
            link.localAttach.setInitialDeliveryCount(0);
        }
        ProtonEngine engine = session.getEngine();
        engine.fireWrite(link.localAttach, session.getLocalChannel());
        engine.fireWrite(new Detach().setHandle(handle).setClosed(true), session.getLocalChannel());
        session.freeLink(link);
    }
}
