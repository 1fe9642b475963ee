package saltstage.memory;

import java.io.IOException;
import java.time.Instant;
import saltstage.wire.BackendConnection;

/** One attempt at one backend; once it stands, what is known of its connection. */
public final class Try {
    private final RequestContext context;
    private final Peer peer;
    private final Instant sentAt;
    private BackendConnection dialled;
    private BackendConnection backend;
    private boolean givenUp;
    private volatile Instant unansweredSince;
    private volatile String moveReason;
    private volatile boolean clientEnded;
    private volatile boolean writing;
    private volatile double load = Double.MAX_VALUE;

    Try(RequestContext context, Peer peer, Instant sentAt) {
        this.context = context;
        this.peer = peer;
        this.sentAt = sentAt;
    }

    /** The request it is for. */
    public RequestContext context() {
        return context;
    }

    /** The backend it goes to. */
    public Peer peer() {
        return peer;
    }

    /** When the module sent it. */
    public Instant sentAt() {
        return sentAt;
    }

    /** Its connection is about to be made: a try that was given up by now is not begun. */
    public synchronized void connecting(BackendConnection to) throws IOException {
        if (givenUp) {
            throw new IOException("given up");
        }
        dialled = to;
    }

    /** Its connection is up; closed again at once where the try was given up meanwhile. */
    public synchronized void connected(BackendConnection to) throws IOException {
        backend = to;
        if (givenUp) {
            to.close();
            throw new IOException("given up");
        }
    }

    /** Its connection, or null before it is up. */
    public synchronized BackendConnection backend() {
        return backend;
    }

    /** Closes its connection, now or as soon as there is one. */
    public synchronized void giveUp() {
        givenUp = true;
        if (backend != null) {
            backend.close();
        } else if (dialled != null) {
            dialled.close(); // else it would take a place at the backend, and a descriptor here,
            // for nobody
        }
    }

    /** A line went to the backend. */
    public void asked(Instant now) {
        if (unansweredSince == null) {
            unansweredSince = now;
        }
    }

    /** A line came back: the time since the oldest that was unanswered, else null. */
    public Instant takeUnanswered() {
        Instant since = unansweredSince;
        unansweredSince = null;
        return since;
    }

    /** When the oldest unanswered line went to the backend, or null. */
    public Instant unansweredSince() {
        return writing ? null : unansweredSince;
    }

    /** Marks that a write to the client is under way: its slowness is not the backend's. */
    public void writing(boolean now) {
        writing = now;
    }

    /** The load last told of it; endless before the first. */
    public double load() {
        return load;
    }

    /** Its load was told. */
    public void load(double told) {
        load = told;
    }

    /** Asks that the client be moved, once; the thread that reads from the backend does it. */
    public synchronized boolean askMove(String reason) {
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
    public void clientEnded() {
        clientEnded = true;
    }

    /** Whether the client has ended its side. */
    public boolean hasClientEnded() {
        return clientEnded;
    }
}
