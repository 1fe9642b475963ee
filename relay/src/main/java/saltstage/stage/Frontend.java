package saltstage.stage;

/** Where clients come in; each protocol has its own. */
public interface Frontend {
    /** The relay leaves: newcomers shall look elsewhere, as far as the protocol can tell them. */
    void startDraining();

    /** The relay is about to end: who is connected and has no request is told so; never blocks. */
    void rejectPendingClients();

    /** How many clients are connected, with a request and without. */
    int clientCount();

    /** How many requests wait or stand. */
    int requestCount();
}
