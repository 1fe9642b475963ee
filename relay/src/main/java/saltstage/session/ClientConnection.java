package saltstage.session;

import java.time.Duration;
import java.time.Instant;

/**
 * The client's side of one request, independent of the protocol: how the request is answered, how
 * an attempt is made for it and how the client is moved. The stages decide and record; the
 * implementations speak the protocol. No method blocks.
 */
public interface ClientConnection {
    /**
     * Sends the final answer that the request is rejected and that a retry is harmless; zero gives
     * no advice when to retry.
     */
    void reject(Duration retryAfter);

    /** Sends the final answer that the request has failed. */
    void fail(String reason);

    /**
     * Starts an attempt that may take until this time. The implementation records when the attempt
     * is established or ends.
     */
    void startAttempt(Attempt attempt, Instant deadline);

    /**
     * Moves the client of an established attempt; returns false if a move is in progress or it is
     * too late.
     */
    boolean move(Attempt attempt, String reason);

    /** Returns the remote address, for the log. */
    String remoteAddress();
}
