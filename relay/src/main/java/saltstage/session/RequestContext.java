package saltstage.session;

import java.time.Instant;

/** A client's request, then the connection it became; it gets exactly one final answer. */
public final class RequestContext {
    /**
     * WAITING for its final answer, STANDING at a backend, ENDED: answered, left, moved or over.
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

    /** A request that was just taken. */
    public RequestContext(
            long id, RequestAttributes terms, Instant deadline, ClientConnection client) {
        this.id = id;
        this.attributes = terms;
        this.deadline = deadline;
        this.client = client;
    }

    /** The relay's own number for it. */
    public long id() {
        return id;
    }

    /** What it asks for. */
    public RequestAttributes attributes() {
        return attributes;
    }

    /** When the client gives up. */
    public Instant deadline() {
        return deadline;
    }

    /** The client's side. */
    public ClientConnection client() {
        return client;
    }

    /** How far it has come. */
    public synchronized Phase phase() {
        return phase;
    }

    /** The try that is out or stands, or null. */
    public synchronized Attempt currentAttempt() {
        return currentAttempt;
    }

    /** Begins the next try, or returns null where no answer is owed any more. */
    public synchronized Attempt beginAttempt(Backend peer, Instant sentAt) {
        if (phase != Phase.WAITING) {
            return null;
        }
        currentAttempt = new Attempt(this, peer, sentAt);
        return currentAttempt;
    }

    /** A try that was sent then may have had its effect. */
    public synchronized void recordPossibleExecution(Instant sentAt) {
        possibleExecutionSince = possibleExecutionSince == null ? sentAt : possibleExecutionSince;
    }

    /** When the first try that may have had its effect was sent, or null. */
    public synchronized Instant possibleExecutionSince() {
        return possibleExecutionSince;
    }

    /** The first UP wins: from here on the connection stands. */
    public synchronized boolean establish() {
        if (phase != Phase.WAITING) {
            return false;
        }
        phase = Phase.ESTABLISHED;
        wasEstablished = true;
        return true;
    }

    /** Whether it ever stood at a backend: its client then has its UP. */
    public synchronized boolean wasEstablished() {
        return wasEstablished;
    }

    /** Ends it; true for the one caller that may say how. */
    public synchronized boolean end(Phase from) {
        if (phase != from) {
            return false;
        }
        phase = Phase.ENDED;
        notifyAll();
        return true;
    }

    /** Waits until it has ended. */
    public synchronized void awaitEnd() throws InterruptedException {
        while (phase != Phase.ENDED) {
            wait();
        }
    }
}
