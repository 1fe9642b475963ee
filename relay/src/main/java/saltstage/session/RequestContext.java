package saltstage.session;

import java.time.Instant;

/** A client's request and, once established, its connection; it gets exactly one final answer. */
public final class RequestContext {
    /**
     * WAITING for the final answer; ESTABLISHED at a backend; ENDED when answered, abandoned by the
     * client, moved or closed.
     */
    public enum Phase {
        WAITING,
        ESTABLISHED,
        ENDED
    }

    private final long id;
    private final RequestAttributes attributes;
    private final Instant deadline;
    private final ClientConnection client;
    private Phase phase = Phase.WAITING;
    private boolean wasEstablished;
    private Attempt currentAttempt;
    private Instant possibleExecutionSince;

    /** Creates the context of a request that was just accepted. */
    public RequestContext(
            long id, RequestAttributes attributes, Instant deadline, ClientConnection client) {
        this.id = id;
        this.attributes = attributes;
        this.deadline = deadline;
        this.client = client;
    }

    /** Returns the relay's own number for this request. */
    public long id() {
        return id;
    }

    /** Returns the attributes of the request. */
    public RequestAttributes attributes() {
        return attributes;
    }

    /** Returns when the client gives up. */
    public Instant deadline() {
        return deadline;
    }

    /** Returns the client's side. */
    public ClientConnection client() {
        return client;
    }

    /** Returns the current phase. */
    public synchronized Phase phase() {
        return phase;
    }

    /** Returns the attempt that is in progress or established, or null. */
    public synchronized Attempt currentAttempt() {
        return currentAttempt;
    }

    /** Begins the next attempt; returns null if the request no longer waits for an answer. */
    public synchronized Attempt beginAttempt(Backend backend, Instant sentAt) {
        if (phase != Phase.WAITING) {
            return null;
        }
        currentAttempt = new Attempt(this, backend, sentAt);
        return currentAttempt;
    }

    /** Records that an attempt sent at this time may have been executed. */
    public synchronized void recordPossibleExecution(Instant sentAt) {
        possibleExecutionSince = possibleExecutionSince == null ? sentAt : possibleExecutionSince;
    }

    /** Returns when the first attempt that may have been executed was sent, or null. */
    public synchronized Instant possibleExecutionSince() {
        return possibleExecutionSince;
    }

    /** Marks the request as established; returns false if it no longer waits for its answer. */
    public synchronized boolean establish() {
        if (phase != Phase.WAITING) {
            return false;
        }
        phase = Phase.ESTABLISHED;
        wasEstablished = true;
        return true;
    }

    /** Returns whether it was ever established at a backend: the client has then received UP. */
    public synchronized boolean wasEstablished() {
        return wasEstablished;
    }

    /**
     * Ends the request if it is in this phase; returns true for the one caller that may decide how
     * it ends.
     */
    public synchronized boolean end(Phase expected) {
        if (phase != expected) {
            return false;
        }
        phase = Phase.ENDED;
        notifyAll();
        return true;
    }

    /** Waits until the request has ended. */
    public synchronized void awaitEnd() throws InterruptedException {
        while (phase != Phase.ENDED) {
            wait();
        }
    }
}
