package saltstage.stage;

/** Accepts clients; each protocol has its own frontend. */
public interface Frontend {
    /** Starts draining: new clients are directed to other relays if the protocol permits. */
    void startDraining();

    /**
     * Starts draining while another process of this relay already serves: new clients are left to
     * that process.
     */
    void startHandover();

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
