package saltstage.stage;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import saltstage.log.Log;
import saltstage.session.Attempt;
import saltstage.session.ClientConnection;
import saltstage.session.Timers;
import saltstage.wire.LineConnection;
import saltstage.wire.OpenRequest;

/** A client that uses the line protocol. */
public final class LineClient extends LineConnection implements ClientConnection {
    private final Timers timers;
    private final LineAttemptRunner attemptRunner;
    private final LineForwarder forwarder;
    private final CountDownLatch answerWritten = new CountDownLatch(1);
    private volatile OpenRequest openRequest;

    /** Creates a client whose request has arrived, with the input that followed its first line. */
    LineClient(
            Socket socket, byte[] rest, Timers timers, LineAttemptRunner tries, LineForwarder relay)
            throws IOException {
        super(socket, rest);
        this.timers = timers;
        this.attemptRunner = tries;
        this.forwarder = relay;
    }

    /** Sets the parsed first line. */
    void setOpenRequest(OpenRequest line) {
        openRequest = line;
    }

    /** Returns the parsed first line. */
    OpenRequest openRequest() {
        return openRequest;
    }

    @Override
    public void reject(Duration retryAfter) {
        answer(busyLine(retryAfter));
    }

    @Override
    public void fail(String why) {
        answer("ERR " + why);
    }

    /** Returns the line that rejects a request, with the retry delay if there is one. */
    static String busyLine(Duration retryAfter) {
        return retryAfter.isZero() ? "BUSY" : "BUSY " + retryAfter.toMillis();
    }

    /**
     * Sends the final answer. This does not block: it is a few bytes on a connection that carried
     * none before.
     */
    private void answer(String line) {
        try {
            sendLine(line);
        } catch (IOException gone) {
            Log.info("client.broken", "why", gone.getMessage());
        } finally {
            shutdownOutput();
            answerWritten.countDown();
        }
        timers.schedule(OutcomeRecorder.LINGER, this::close);
    }

    /**
     * Returns whether the final answer, one other than UP, has been written. Nothing is written to
     * the client after it.
     */
    boolean isAnswered() {
        return answerWritten.getCount() == 0;
    }

    /** Waits until the thread that ended the request has written the answer. */
    void awaitAnswer() throws InterruptedException {
        if (!answerWritten.await(OutcomeRecorder.LINGER.toMillis(), TimeUnit.MILLISECONDS)) {
            Log.warn("answer.late", "id", openRequest.id());
        }
    }

    @Override
    public void startAttempt(Attempt begun, Instant until) {
        attemptRunner.start(begun, until);
    }

    @Override
    public boolean move(Attempt up, String reason) {
        return forwarder.move(up, reason);
    }
}
