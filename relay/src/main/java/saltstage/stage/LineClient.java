package saltstage.stage;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicReference;
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
    /** How its first answer came about: by a request, or by being turned away without one; the first wins. */
    private final AtomicReference<Turn> turn = new AtomicReference<>(Turn.OPEN);
    private volatile OpenLine open;

    /** OPEN: it has been told nothing; ASKED: it has a request; AWAY: it was turned away without one. */
    enum Turn { OPEN, ASKED, AWAY }

    /** Wraps an accepted socket. */
    LineClient(Socket socket, Timers timers, LineTry tries, LineRelay relay) throws IOException {
        super(socket);
        this.timers = timers;
        this.tries = tries;
        this.relay = relay;
    }

    /** Its first line has come; false where it was turned away in that moment, and has its answer. */
    boolean asks(OpenLine line) {
        open = line;
        return turn.compareAndSet(Turn.OPEN, Turn.ASKED);
    }

    /** It is to be turned away without a request; true for the one caller that may tell it so. */
    boolean turnsAway() {
        return turn.compareAndSet(Turn.OPEN, Turn.AWAY);
    }

    /** Whether it has a request, which ends in a way of its own. */
    boolean hasAsked() {
        return turn.get() == Turn.ASKED;
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
        }
        endSending();
        timers.after(Book.LINGER, this::close);
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
