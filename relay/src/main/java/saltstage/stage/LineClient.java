package saltstage.stage;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import saltstage.log.Log;
import saltstage.memory.ClientConnection;
import saltstage.memory.Timers;
import saltstage.memory.Try;
import saltstage.wire.LineConnection;
import saltstage.wire.OpenLine;

/** A client that speaks lines. */
public final class LineClient extends LineConnection implements ClientConnection {
    private final Timers timers;
    private final LineTry tries;
    private final LineRelay relay;
    private final CountDownLatch answered = new CountDownLatch(1);
    private volatile OpenLine open;

    /** A client that has asked, with what it has said behind its first line. */
    LineClient(Socket socket, byte[] rest, Timers timers, LineTry tries, LineRelay relay)
            throws IOException {
        super(socket, rest);
        this.timers = timers;
        this.tries = tries;
        this.relay = relay;
    }

    /** Its first line has come. */
    void asks(OpenLine line) {
        open = line;
    }

    /** Its first line. */
    OpenLine open() {
        return open;
    }

    @Override
    public void refused(Duration retryAfter) {
        answer(busy(retryAfter));
    }

    @Override
    public void failed(String why) {
        answer("ERR " + why);
    }

    /** The line that refuses, with the advice when to come again if there is any. */
    static String busy(Duration retryAfter) {
        return retryAfter.isZero() ? "BUSY" : "BUSY " + retryAfter.toMillis();
    }

    /** A few bytes on a connection that carried none before: this does not block. */
    private void answer(String line) {
        try {
            send(line);
        } catch (IOException gone) {
            Log.info("client.broken", "why", gone.getMessage());
        } finally {
            endSending();
            answered.countDown();
        }
        timers.after(Book.LINGER, this::close);
    }

    /** Whether its final answer, one that is not UP, has been written: nobody writes any more. */
    boolean isAnswered() {
        return answered.getCount() == 0;
    }

    /** Waits until whoever has ended the request has written the answer. */
    void awaitAnswer() throws InterruptedException {
        if (!answered.await(Book.LINGER.toMillis(), TimeUnit.MILLISECONDS)) {
            Log.warn("answer.late", "id", open.id());
        }
    }

    @Override
    public void attempt(Try begun, Instant until) {
        tries.attempt(begun, until);
    }

    @Override
    public boolean move(Try up, String reason) {
        return relay.move(up, reason);
    }
}
