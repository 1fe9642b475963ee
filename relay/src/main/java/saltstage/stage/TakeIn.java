package saltstage.stage;

import java.io.IOException;
import java.util.Queue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import saltstage.log.Log;
import saltstage.memory.RequestContext;
import saltstage.memory.Try;
import saltstage.wire.MalformedException;
import saltstage.wire.OpenLine;

/**
 * Takes clients in: judges first lines, answers PING, turns bad input away, carries what clients
 * send.
 */
public final class TakeIn implements Front, ClientAcceptor.FirstLines {
    private final ClientAcceptor acceptor;
    private final Admit admit;
    private final Clients clients;
    private final LineRelay relay;
    private final Book book;
    private final ThreadBudget threads;
    private final LinkedBlockingQueue<Request> asked = new LinkedBlockingQueue<>();
    private final Queue<OpenLine> parsed = new java.util.ArrayDeque<>();

    /** Requests that have been heard and are not admitted yet. */
    private final AtomicInteger arriving = new AtomicInteger();

    private volatile boolean leaving;

    /** A client that has asked, with its request. */
    private record Request(PendingClient client, OpenLine line) {}

    /**
     * Makes a client of a connection that has asked, with what it has said behind its first line.
     */
    interface Clients {
        /** The client. */
        LineClient of(PendingClient asking) throws IOException;
    }

    TakeIn(
            int room,
            Admit admit,
            Clients clients,
            LineRelay relay,
            Book book,
            ThreadBudget threads) {
        acceptor = new ClientAcceptor(room, this);
        this.admit = admit;
        this.clients = clients;
        this.relay = relay;
        this.book = book;
        this.threads = threads;
    }

    /** Where connections are accepted. */
    public ClientAcceptor acceptor() {
        return acceptor;
    }

    /**
     * Starts what takes requests over from the acceptor, which may not wait for the start of
     * threads.
     */
    public void start() {
        Threads.loop("starter", () -> begin(asked.take()));
    }

    /** From now on PING is not answered with PONG: the front shall look elsewhere. */
    @Override
    public void leave() {
        leaving = true;
    }

    @Override
    public void turnAway() {
        acceptor.turnAway();
    }

    /** How many clients are connected, with a request and without. */
    @Override
    public int clients() {
        return requests() + arriving.get() + acceptor.size();
    }

    /** How many requests wait or stand. */
    @Override
    public int requests() {
        return admit.requests();
    }

    // ---- on the acceptor's thread

    @Override
    public boolean heard(PendingClient client, byte[] piece) {
        try {
            String line = OpenLine.text(piece);
            if (!line.equals("PING")) {
                return asks(client, OpenLine.parse(line));
            }
            if (client.hasBegunLine()) {
                throw new MalformedException(Book.ONE_LINE);
            }
            client.send(leaving ? "ERR leaving" : "PONG");
        } catch (MalformedException bad) {
            // Bad input must cost one line, be seen in the log and never reach a backend.
            turnAway(client, "client.malformed", "ERR " + bad.getMessage());
        } catch (IOException gone) {
            turnAway(client, "client.broken", "ERR " + gone.getMessage());
        }
        return false;
    }

    private boolean asks(PendingClient client, OpenLine line) throws MalformedException {
        if (admit.refuses(line, arriving.get())) {
            acceptor.answer(client, admit.busy());
            return false;
        }
        parsed.add(line);
        arriving.incrementAndGet();
        return true;
    }

    @Override
    public void asked(PendingClient client) {
        asked.add(new Request(client, parsed.remove())); // lines are parsed in the order of this
    }

    @Override
    public void late(PendingClient client) {
        // Who has said nothing may ask in this moment: that it was refused is true of what it asks
        // too.
        turnAway(
                client,
                "client.silent",
                client.hasBegunLine() ? "ERR first line too slow" : "BUSY");
    }

    @Override
    public void evicted(PendingClient client) {
        Log.warn("doorway.full", "from", client.remote());
        try {
            client.send(admit.busy());
        } catch (IOException gone) {
            Log.info("client.broken", "why", gone.getMessage());
        }
    }

    @Override
    public void turnedAway(PendingClient client) {
        acceptor.answer(client, "BUSY");
    }

    private void turnAway(PendingClient client, String event, String answer) {
        Log.warn(event, "from", client.remote(), "answer", answer);
        acceptor.answer(client, answer);
    }

    // ---- on the starter's thread

    private void begin(Request request) throws IOException {
        LineClient client;
        try {
            client = clients.of(request.client());
        } catch (IOException gone) {
            request.client().close();
            arriving.decrementAndGet();
            return;
        }
        if (!threads.tryAcquire()) {
            refuse(client);
        } else if (!threads.start("client", () -> serve(client, request.line()))) {
            threads.release();
            refuse(client);
        }
    }

    /** There is no thread for this request: it is told to come again. */
    private void refuse(LineClient client) {
        book.refusedForThreads();
        book.tell(client, admit.busy());
        client.endSending();
        acceptor.seeOff(client.channel());
        arriving.decrementAndGet();
    }

    // ---- on the client's thread

    private void serve(LineClient client, OpenLine line) throws InterruptedException {
        RequestContext context = null;
        boolean over = false;
        try {
            context = admitOrTurnAway(client, line);
            if (context != null && client.isAnswered()) {
                acceptor.seeOff(client.channel());
            } else if (context != null) {
                carry(client, context);
            }
            over = true;
        } catch (IOException gone) {
            Log.info("client.broken", "why", gone.getMessage());
            client.close();
            over = true;
        } finally {
            if (!over) {
                failByFault(client, context);
            }
            if (context != null) {
                admit.release(context);
            }
            threads.release();
        }
    }

    /**
     * A fault of ours, as a class that cannot be loaded: its client is owed an answer all the same.
     */
    private void failByFault(LineClient client, RequestContext context) {
        if (context == null) {
            book.tell(client, "ERR failed");
            client.endSending();
            acceptor.seeOff(client.channel());
        } else {
            book.fail(context);
        }
    }

    private RequestContext admitOrTurnAway(LineClient client, OpenLine line) throws IOException {
        try {
            return admit.admit(client, line);
        } catch (MalformedException bad) {
            Log.warn(
                    "client.malformed",
                    "from",
                    client.remote(),
                    "answer",
                    "ERR " + bad.getMessage());
            book.tell(client, "ERR " + bad.getMessage());
            client.endSending();
            acceptor.seeOff(client.channel());
            return null;
        } finally {
            arriving.decrementAndGet();
        }
    }

    /** Its request has ended, by whatever thread: that one may still be writing the answer. */
    private void seeOff(LineClient client, RequestContext context) throws InterruptedException {
        if (!context.hasStood()) {
            client.awaitAnswer();
        }
        client.endSending();
        acceptor.seeOff(client.channel());
    }

    /**
     * Reads the client to its end; the connection must not be closed while the other side may still
     * send.
     */
    private void carry(LineClient client, RequestContext context) throws InterruptedException {
        boolean reset = false;
        try {
            byte[] piece = client.lines().next();
            while (piece != null) {
                if (context.phase() == RequestContext.Phase.WAITING) {
                    book.failEarly(context); // it has not waited for its answer
                }
                if (context.phase() != RequestContext.Phase.STANDING) {
                    seeOff(client, context);
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
        client.close();
    }
}
