package saltstage.stage;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import saltstage.lifecycle.Log;
import saltstage.memory.ClientConnection;
import saltstage.memory.RequestContext;
import saltstage.memory.Try;
import saltstage.wire.MalformedException;
import saltstage.wire.OpenLine;

/** Takes clients in: reads the first line, answers PING, turns bad input away, carries what clients send. */
public final class TakeIn {
    /** A client that has sent no whole first line by then has nothing to say. */
    private static final Duration FIRST_LINE = Duration.ofSeconds(5);

    private final Admit admit;
    private final Relay relay;
    private final Book book;
    private final AtomicInteger clients = new AtomicInteger();
    private volatile boolean leaving;

    TakeIn(Admit admit, Relay relay, Book book) {
        this.admit = admit;
        this.relay = relay;
        this.book = book;
    }

    /** From now on PING is not answered with PONG: the front shall look elsewhere. */
    public void leave() {
        leaving = true;
    }

    /** Takes an accepted socket; never blocks. */
    public void accept(Socket socket) {
        clients.incrementAndGet();
        if (!Threads.start("client", () -> serve(socket))) {
            clients.decrementAndGet();
            admit.turnAway(socket);
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            ClientConnection client = new ClientConnection(socket);
            RequestContext context = firstLine(client);
            if (context != null) {
                carry(context);
            }
        } catch (IOException broken) {
            Log.info("client.broken", "why", broken.getMessage());
        } finally {
            clients.decrementAndGet();
        }
    }

    /** How many clients are connected. */
    public int clients() {
        return clients.get();
    }

    private RequestContext firstLine(ClientConnection client) throws IOException {
        try {
            while (true) {
                byte[] piece = client.lines().next(FIRST_LINE);
                if (piece == null) {
                    return null;
                }
                String line = OpenLine.text(piece);
                if (!line.equals("PING")) {
                    return admit.admit(client, OpenLine.parse(line), clients.get());
                }
                client.send(leaving ? "ERR leaving" : "PONG");
            }
        } catch (SocketTimeoutException slow) {
            book.turnAway(client, "ERR first line too slow");
        } catch (MalformedException bad) {
            // Bad input must cost one line, be seen in the log and never reach a backend.
            book.turnAway(client, "ERR " + bad.getMessage());
        }
        return null;
    }

    /** Reads the client to its end; the connection must not be closed while the other side may still send. */
    private void carry(RequestContext context) throws InterruptedException {
        boolean reset = false;
        try {
            byte[] piece = context.client().lines().next();
            while (piece != null) {
                if (!context.keepEarly(piece)) {
                    relay.toBackend(context.current(), piece);
                }
                piece = context.client().lines().next();
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
