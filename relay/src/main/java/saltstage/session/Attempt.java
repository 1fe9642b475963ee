package saltstage.session;

import java.io.IOException;
import java.time.Instant;
import saltstage.wire.BackendConnection;

/** One attempt at one backend; once it stands, what is known of its connection. */
public final class Attempt {
    private final RequestContext context;
    private final Backend backend;
    private final Instant sentAt;
    private BackendConnection pendingConnection;
    private BackendConnection connection;
    private boolean cancelled;
    private volatile Instant unansweredSince;
    private volatile String moveReason;
    private volatile boolean clientEnded;
    private volatile boolean writingToClient;
    private volatile double load = Double.MAX_VALUE;

    Attempt(RequestContext context, Backend peer, Instant sentAt) {
        this.context = context;
        this.backend = peer;
        this.sentAt = sentAt;
    }

    /** The request it is for. */
    public RequestContext context() {
        return context;
    }

    /** The backend it goes to. */
    public Backend backend() {
        return backend;
    }

    /** When the module sent it. */
    public Instant sentAt() {
        return sentAt;
    }

    /** Its connection is about to be made: a try that was given up by now is not begun. */
    public synchronized void connectionStarted(BackendConnection to) throws IOException {
        if (cancelled) {
            throw new IOException("given up");
        }
        pendingConnection = to;
    }

    /** Its connection is up; closed again at once where the try was given up meanwhile. */
    public synchronized void connectionOpened(BackendConnection to) throws IOException {
        connection = to;
        if (cancelled) {
            to.close();
            throw new IOException("given up");
        }
    }

    /** Its connection, or null before it is up. */
    public synchronized BackendConnection connection() {
        return connection;
    }

    /** Closes its connection, now or as soon as there is one. */
    public synchronized void cancel() {
        cancelled = true;
        if (connection != null) {
            connection.close();
        } else if (pendingConnection != null) {
            pendingConnection
                    .close(); // else it would take a place at the backend, and a descriptor here,
            // for nobody
        }
    }

    /** A line went to the backend. */
    public void lineSent(Instant now) {
        if (unansweredSince == null) {
            unansweredSince = now;
        }
    }

    /** A line came back: the time since the oldest that was unanswered, else null. */
    public Instant takeUnansweredSince() {
        Instant since = unansweredSince;
        unansweredSince = null;
        return since;
    }

    /** When the oldest unanswered line went to the backend, or null. */
    public Instant unansweredSince() {
        return writingToClient ? null : unansweredSince;
    }

    /** Marks that a write to the client is under way: its slowness is not the backend's. */
    public void setWritingToClient(boolean now) {
        writingToClient = now;
    }

    /** The load last told of it; endless before the first. */
    public double load() {
        return load;
    }

    /** Its load was told. */
    public void setLoad(double told) {
        load = told;
    }

    /** Asks that the client be moved, once; the thread that reads from the backend does it. */
    public synchronized boolean requestMove(String reason) {
        if (moveReason != null) {
            return false;
        }
        moveReason = reason;
        return true;
    }

    /** Why the client is to be moved, or null. */
    public String moveReason() {
        return moveReason;
    }

    /** The client has ended its side. */
    public void markClientEnded() {
        clientEnded = true;
    }

    /** Whether the client has ended its side. */
    public boolean hasClientEnded() {
        return clientEnded;
    }
}
