package org.apache.qpid.protonj2.engine.impl;

import org.apache.qpid.protonj2.engine.Link;
import org.apache.qpid.protonj2.engine.Receiver;
import org.apache.qpid.protonj2.engine.Sender;
import org.apache.qpid.protonj2.engine.Session;

/**
 * Works around the flow control of protonj2 1.0.0, for which it must be in the library's package.
 * The library never returns the bytes received for a locally detached link to the session window. A
 * flow for one link opens the window for all links of the session, but the library notifies only
 * the sender of that link; a flow for the session notifies all, but only if the window was closed
 * until then. In both cases the other links would stall forever. The library also does not answer a
 * link that requests the flow state, and cannot reduce credit.
 */
public final class ProtonFlowControl {
    private ProtonFlowControl() {}

    /**
     * Returns bytes that were received for ended links to the session window and sends a flow
     * frame.
     */
    public static void restoreIncomingWindow(Session session, int bytes) {
        if (bytes > 0 && session.getIncomingCapacity() > 0) {
            session.setIncomingCapacity(session.getIncomingCapacity() + bytes);
        }
        ((ProtonSession) session).getIncomingWindow().writeFlow(null);
    }

    /**
     * Opens the window by the bytes that are about to be read with a flow for the session, before
     * the library does so with a flow for one link only.
     */
    public static void extendIncomingWindow(Session session, int bytes) {
        int capacity = session.getIncomingCapacity();
        session.setIncomingCapacity(capacity + bytes);
        ((ProtonSession) session).getIncomingWindow().writeFlow(null);
        session.setIncomingCapacity(capacity);
    }

    /** Returns the received bytes of a session that have not been read. */
    public static long unreadBytes(Session session) {
        return ((ProtonSession) session).getIncomingWindow().getIncomingBytes();
    }

    /** Makes a sender evaluate the window of its session again. */
    public static void refreshSender(Sender sender) {
        ProtonSession session = (ProtonSession) sender.getSession();
        ((ProtonSender) sender).handleSessionCreditStateUpdate(session.getOutgoingWindow());
    }

    /**
     * Sends the flow state of a link if the remote side has requested it (2.6.8, echo), once per
     * request.
     */
    public static void answerEcho(Link<?> link) {
        ProtonLinkCreditState state = ((ProtonLink<?>) link).getCreditState();
        if (state.isEcho() && link.isLocallyOpen() && link.isRemotelyOpen()) {
            state.clearEcho();
            ((ProtonSession) link.getSession()).writeFlow((ProtonLink<?>) link);
        }
    }

    /**
     * Reduces the granted credit (2.6.7), which the library can only increase. Deliveries in flight
     * may still arrive.
     */
    public static void reduceCredit(Receiver receiver, int credit) {
        ((ProtonLink<?>) receiver)
                .getCreditState()
                .incrementCredit(-Math.min(credit, receiver.getCredit()));
        ((ProtonSession) receiver.getSession()).writeFlow((ProtonLink<?>) receiver);
    }
}
