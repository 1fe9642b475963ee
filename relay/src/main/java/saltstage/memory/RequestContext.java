package saltstage.memory;

import java.time.Instant;

/** A client's request, then the connection it became; it gets exactly one final answer. */
public final class RequestContext {
    /**
     * WAITING for its final answer, STANDING at a backend, ENDED: answered, left, moved or over.
     */
    public enum Phase {
        WAITING,
        STANDING,
        ENDED
    }

    private final long id;
    private final Terms terms;
    private final Instant deadline;
    private final ClientConnection client;
    private Phase phase = Phase.WAITING;
    private boolean hasStood;
    private Try current;
    private Instant mayHaveRunSince;

    /** A request that was just taken. */
    public RequestContext(long id, Terms terms, Instant deadline, ClientConnection client) {
        this.id = id;
        this.terms = terms;
        this.deadline = deadline;
        this.client = client;
    }

    /** The relay's own number for it. */
    public long id() {
        return id;
    }

    /** What it asks for. */
    public Terms terms() {
        return terms;
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
    public synchronized Try current() {
        return current;
    }

    /** Begins the next try, or returns null where no answer is owed any more. */
    public synchronized Try begin(Peer peer, Instant sentAt) {
        if (phase != Phase.WAITING) {
            return null;
        }
        current = new Try(this, peer, sentAt);
        return current;
    }

    /** A try that was sent then may have had its effect. */
    public synchronized void mayHaveRun(Instant sentAt) {
        mayHaveRunSince = mayHaveRunSince == null ? sentAt : mayHaveRunSince;
    }

    /** When the first try that may have had its effect was sent, or null. */
    public synchronized Instant mayHaveRunSince() {
        return mayHaveRunSince;
    }

    /** The first UP wins: from here on the connection stands. */
    public synchronized boolean stand() {
        if (phase != Phase.WAITING) {
            return false;
        }
        phase = Phase.STANDING;
        hasStood = true;
        return true;
    }

    /** Whether it ever stood at a backend: its client then has its UP. */
    public synchronized boolean hasStood() {
        return hasStood;
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
