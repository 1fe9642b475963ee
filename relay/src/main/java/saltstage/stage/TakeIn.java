package saltstage.stage;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import saltstage.log.Log;
import saltstage.memory.RequestContext;
import saltstage.memory.Try;
import saltstage.wire.MalformedException;
import saltstage.wire.OpenLine;

/** Takes clients in: reads the first line, answers PING, turns bad input away, carries what clients send. */
public final class TakeIn implements Front {
    /** A client that has sent no whole first line by then has nothing to say; 3 s is what it is owed. */
    private static final Duration FIRST_LINE = Duration.ofSeconds(2);

    private final Admit admit;
    private final Clients clients;
    private final LineRelay relay;
    private final Book book;
    private final Doorway doorway;
    private volatile boolean leaving;

    /** Makes a client of an accepted socket. */
    interface Clients {
        /** The client. */
        LineClient of(Socket socket) throws IOException;
    }

    TakeIn(Doorway doorway, Admit admit, Clients clients, LineRelay relay, Book book) {
        this.doorway = doorway;
        this.admit = admit;
        this.clients = clients;
        this.relay = relay;
        this.book = book;
    }

    /** From now on PING is not answered with PONG: the front shall look elsewhere. */
    @Override
    public void leave() {
        leaving = true;
    }

    @Override
    public void turnAway() {
        for (LineClient client : doorway.all()) {
            if (client.turnsAway()) {
                book.tell(client, "BUSY");
                client.endSending(); // its thread reads on: a close over unread bytes would take this back
            }
        }
    }

    /** Takes an accepted socket; never blocks. */
    public void accept(Socket socket) throws IOException {
        LineClient client;
        try {
            client = clients.of(socket);
        } catch (IOException reset) { // it left while it waited to be accepted
            socket.close();
            return;
        }
        LineClient out = doorway.enter(client);
        if (out != null) {
            Log.warn("doorway.full", "from", out.remote());
            admit.turnAway(out);
        }
        if (!Threads.start("client", () -> serve(client))) {
            doorway.leave(client);
            admit.turnAway(client);
        }
    }

    private void serve(LineClient client) throws InterruptedException {
        RequestContext context = null;
        try {
            context = firstLine(client);
            if (context != null) {
                carry(client, context);
            }
        } catch (IOException gone) {
            Log.info("client.broken", "why", gone.getMessage());
        } finally {
            client.close();
            doorway.leave(client);
            if (context != null) {
                admit.release(context);
            }
        }
    }

    /** How many clients are connected, with a request and without. */
    @Override
    public int clients() {
        return requests() + doorway.size();
    }

    /** How many requests wait or stand. */
    @Override
    public int requests() {
        return admit.requests();
    }

    private RequestContext firstLine(LineClient client) throws IOException {
        try {
            while (true) {
                byte[] piece = client.lines().next(FIRST_LINE);
                if (piece == null) {
                    return null;
                }
                String line = OpenLine.text(piece);
                if (!line.equals("PING")) {
                    RequestContext context = admit.admit(client, OpenLine.parse(line));
                    if (context == null) { // turned away in that moment: what it asks has its answer
                        client.endAnswered(Book.LINGER, Book.MOST_IGNORED);
                    }
                    doorway.leave(client);
                    return context;
                }
                if (client.lines().midLine()) {
                    throw new MalformedException(Book.ONE_LINE);
                }
                client.send(leaving ? "ERR leaving" : "PONG");
            }
        } catch (SocketTimeoutException slow) {
            // Who has said nothing may ask in this moment: that it was refused is true of what it asks too.
            book.turnAway(client, "client.silent",
                client.lines().midLine() ? "ERR first line too slow" : "BUSY");
        } catch (MalformedException bad) {
            // Bad input must cost one line, be seen in the log and never reach a backend.
            book.turnAway(client, "client.malformed", "ERR " + bad.getMessage());
        }
        return null;
    }

    /** Reads the client to its end; the connection must not be closed while the other side may still send. */
    private void carry(LineClient client, RequestContext context) throws InterruptedException {
        boolean reset = false;
        try {
            byte[] piece = client.lines().next();
            while (piece != null) {
                if (context.phase() == RequestContext.Phase.WAITING) {
                    book.failEarly(context); // it has not waited for its answer
                }
                if (context.phase() != RequestContext.Phase.STANDING) {
                    client.endAnswered(Book.LINGER, Book.MOST_IGNORED);
                    return;
                }
                relay.toBackend(context.current(), piece);
                piece = client.lines().next();
            }
        } catch (IOException broken) {
            reset = true;
        }
        if (context.end(RequestContext.Phase.WAITING)) {
            book.left(context);
        }
        Try current = context.current();
        if (current != null) {
            relay.clientEnded(current, reset);
        }
        context.awaitEnd();
    }
}
