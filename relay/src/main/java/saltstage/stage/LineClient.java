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

/** A client that speaks lines. */
public final class LineClient extends LineConnection implements ClientConnection {
    private final Timers timers;
    private final LineAttemptRunner attemptRunner;
    private final LineForwarder forwarder;
    private final CountDownLatch answerWritten = new CountDownLatch(1);
    private volatile OpenRequest openRequest;

    /** A client that has asked, with what it has said behind its first line. */
    LineClient(
            Socket socket, byte[] rest, Timers timers, LineAttemptRunner tries, LineForwarder relay)
            throws IOException {
        super(socket, rest);
        this.timers = timers;
        this.attemptRunner = tries;
        this.forwarder = relay;
    }

    /** Its first line has come. */
    void setOpenRequest(OpenRequest line) {
        openRequest = line;
    }

    /** Its first line. */
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

    /** The line that refuses, with the advice when to come again if there is any. */
    static String busyLine(Duration retryAfter) {
        return retryAfter.isZero() ? "BUSY" : "BUSY " + retryAfter.toMillis();
    }

    /** A few bytes on a connection that carried none before: this does not block. */
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

    /** Whether its final answer, one that is not UP, has been written: nobody writes any more. */
    boolean isAnswered() {
        return answerWritten.getCount() == 0;
    }

    /** Waits until whoever has ended the request has written the answer. */
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
