package saltstage.session;

import java.time.Duration;
import java.time.Instant;

/**
 * The client's side of one request, whatever protocol it speaks: how it is answered, how a try is
 * made for it, how it is moved. The stages decide and book; what is spoken lies behind this. None
 * of it blocks.
 */
public interface ClientConnection {
    /** Final answer: refused, trying again is harmless; zero gives no advice when. */
    void reject(Duration retryAfter);

    /** Final answer: failed. */
    void fail(String why);

    /** Makes a try, which has this long; its end, or that it stands, is booked by who makes it. */
    void startAttempt(Attempt begun, Instant until);

    /** Moves the client of a standing try; false where that is under way or too late. */
    boolean move(Attempt up, String reason);

    /** Who it is, for the log. */
    String remoteAddress();
}
