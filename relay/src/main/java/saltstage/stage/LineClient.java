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
            Socket socket,
            byte[] remainingInput,
            Timers timers,
            LineAttemptRunner attemptRunner,
            LineForwarder forwarder)
            throws IOException {
        super(socket, remainingInput);
        this.timers = timers;
        this.attemptRunner = attemptRunner;
        this.forwarder = forwarder;
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
    public void fail(String reason) {
        answer("ERR " + reason);
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
        } catch (IOException e) {
            Log.info("client.broken", "why", e.getMessage());
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
    public void startAttempt(Attempt attempt, Instant deadline) {
        attemptRunner.start(attempt, deadline);
    }

    @Override
    public boolean move(Attempt attempt, String reason) {
        return forwarder.move(attempt, reason);
    }
}
