package saltstage.session;

import java.io.IOException;
import java.time.Instant;
import saltstage.wire.BackendConnection;

/** One attempt to send a request to a backend; once established, the state of its connection. */
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

    Attempt(RequestContext context, Backend backend, Instant sentAt) {
        this.context = context;
        this.backend = backend;
        this.sentAt = sentAt;
    }

    /** Returns the request that this attempt belongs to. */
    public RequestContext context() {
        return context;
    }

    /** Returns the backend that the request is sent to. */
    public Backend backend() {
        return backend;
    }

    /** Returns when the load balancer started the attempt. */
    public Instant sentAt() {
        return sentAt;
    }

    /**
     * Registers the connection that is about to be opened. Throws if the attempt was cancelled
     * before, so that no connection is begun.
     */
    public synchronized void connectionStarted(BackendConnection newConnection) throws IOException {
        if (cancelled) {
            throw new IOException("given up");
        }
        pendingConnection = newConnection;
    }

    /**
     * Registers the open connection. Closes it at once and throws if the attempt was cancelled
     * meanwhile.
     */
    public synchronized void connectionOpened(BackendConnection newConnection) throws IOException {
        connection = newConnection;
        if (cancelled) {
            newConnection.close();
            throw new IOException("given up");
        }
    }

    /** Returns the open connection, or null before it is open. */
    public synchronized BackendConnection connection() {
        return connection;
    }

    /** Cancels the attempt: closes its connection, now or as soon as there is one. */
    public synchronized void cancel() {
        cancelled = true;
        if (connection != null) {
            connection.close();
        } else if (pendingConnection != null) {
            // Otherwise it would occupy a slot at the backend and a descriptor here to no use.
            pendingConnection.close();
        }
    }

    /** Records that a line was sent to the backend. */
    public void lineSent(Instant now) {
        if (unansweredSince == null) {
            unansweredSince = now;
        }
    }

    /**
     * Called when a line was received from the backend: returns when the oldest unanswered line was
     * sent and clears it; null if no line was unanswered.
     */
    public Instant takeUnansweredSince() {
        Instant since = unansweredSince;
        unansweredSince = null;
        return since;
    }

    /**
     * Returns when the oldest unanswered line was sent to the backend; null if there is none or a
     * write to the client is in progress.
     */
    public Instant unansweredSince() {
        return writingToClient ? null : unansweredSince;
    }

    /**
     * Records whether a write to the client is in progress: the backend is not to blame for a slow
     * client.
     */
    public void setWritingToClient(boolean writing) {
        writingToClient = writing;
    }

    /**
     * Returns the load last reported on this connection; {@code Double.MAX_VALUE} before the first
     * report.
     */
    public double load() {
        return load;
    }

    /** Records the load reported on this connection. */
    public void setLoad(double reportedLoad) {
        load = reportedLoad;
    }

    /**
     * Requests that the client be moved; returns false if that was requested before. The thread
     * that reads from the backend performs the move.
     */
    public synchronized boolean requestMove(String reason) {
        if (moveReason != null) {
            return false;
        }
        moveReason = reason;
        return true;
    }

    /** Returns why the client is to be moved, or null if no move was requested. */
    public String moveReason() {
        return moveReason;
    }

    /** Records that the client has closed its side of the connection. */
    public void markClientEnded() {
        clientEnded = true;
    }

    /** Returns whether the client has closed its side of the connection. */
    public boolean hasClientEnded() {
        return clientEnded;
    }
}
