package org.apache.qpid.protonj2.engine.impl;

import org.apache.qpid.protonj2.engine.Link;
import org.apache.qpid.protonj2.engine.Receiver;
import org.apache.qpid.protonj2.engine.Sender;
import org.apache.qpid.protonj2.engine.Session;

/**
 * What protonj2 1.0.0 does with session windows, put right from within its package. Bytes that come
 * for a link which this side has detached are never given back to the window. A flow for one link
 * opens the window for all links of a session, but the library tells only that one link's sender; a
 * flow for the session tells all, if the window was shut until then. Either way the others would
 * stand still for good. And it answers no link that asks for its state, and takes no credit back.
 */
public final class ProtonFlowControl {
    private ProtonFlowControl() {}

    /**
     * Gives back bytes of a session's window that came for links which are no more, and says so.
     */
    public static void restoreIncomingWindow(Session session, int bytes) {
        if (bytes > 0 && session.getIncomingCapacity() > 0) {
            session.setIncomingCapacity(session.getIncomingCapacity() + bytes);
        }
        ((ProtonSession) session).getIncomingWindow().writeFlow(null);
    }

    /**
     * Opens the window by bytes that are about to be read, before a flow for one link alone can.
     */
    public static void extendIncomingWindow(Session session, int bytes) {
        int capacity = session.getIncomingCapacity();
        session.setIncomingCapacity(capacity + bytes);
        ((ProtonSession) session).getIncomingWindow().writeFlow(null);
        session.setIncomingCapacity(capacity);
    }

    /** Has a sender look at its session's window anew. */
    public static void refreshSender(Sender sender) {
        ProtonSession session = (ProtonSession) sender.getSession();
        ((ProtonSender) sender).handleSessionCreditStateUpdate(session.getOutgoingWindow());
    }

    /**
     * Tells the state of a link where its other side has asked for that (2.6.8, echo); once an
     * asking.
     */
    public static void answerEcho(Link<?> link) {
        ProtonLinkCreditState state = ((ProtonLink<?>) link).getCreditState();
        if (state.isEcho() && link.isLocallyOpen() && link.isRemotelyOpen()) {
            state.clearEcho();
            ((ProtonSession) link.getSession()).writeFlow((ProtonLink<?>) link);
        }
    }

    /**
     * Takes credit back that was given (2.6.7); the library only adds. What is on its way may still
     * come.
     */
    public static void reduceCredit(Receiver receiver, int credit) {
        ((ProtonLink<?>) receiver)
                .getCreditState()
                .incrementCredit(-Math.min(credit, receiver.getCredit()));
        ((ProtonSession) receiver.getSession()).writeFlow((ProtonLink<?>) receiver);
    }
}
