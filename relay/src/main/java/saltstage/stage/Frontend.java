package saltstage.stage;

/** Accepts clients; each protocol has its own frontend. */
public interface Frontend {
    /** Starts draining: new clients are told to go elsewhere, as far as the protocol can say so. */
    void startDraining();

    /**
     * Answers connected clients that have no request, because the relay is about to end; never
     * blocks.
     */
    void rejectPendingClients();

    /** Returns the number of connected clients, with and without a request. */
    int clientCount();

    /** Returns the number of requests that are waiting or established. */
    int requestCount();
}
