package saltstage.stage;

import java.io.IOException;
import java.util.Queue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import saltstage.log.Log;
import saltstage.session.Attempt;
import saltstage.session.RequestContext;
import saltstage.wire.MalformedException;
import saltstage.wire.OpenRequest;

/**
 * Frontend of the line protocol: checks first lines, answers PING, rejects malformed input and
 * forwards what clients send.
 */
public final class LineFrontend implements Frontend, ClientAcceptor.FirstLineListener {
    private final ClientAcceptor acceptor;
    private final AdmissionControl admissionControl;
    private final ClientFactory clientFactory;
    private final LineForwarder forwarder;
    private final OutcomeRecorder outcomeRecorder;
    private final ThreadBudget threadBudget;
    private final LinkedBlockingQueue<ReceivedRequest> receivedRequests =
            new LinkedBlockingQueue<>();
    private final Queue<OpenRequest> parsedLines = new java.util.ArrayDeque<>();

    /** Requests whose first line has arrived and that are not admitted yet. */
    private final AtomicInteger unadmittedCount = new AtomicInteger();

    private volatile boolean draining;

    /** A client whose request has arrived, with that request. */
    private record ReceivedRequest(PendingClient client, OpenRequest openRequest) {}

    /**
     * Creates a client from a connection whose request has arrived, with the input that followed
     * its first line.
     */
    interface ClientFactory {
        /** Creates the client. */
        LineClient create(PendingClient pendingClient) throws IOException;
    }

    LineFrontend(
            int maxPendingClients,
            AdmissionControl admissionControl,
            ClientFactory clientFactory,
            LineForwarder forwarder,
            OutcomeRecorder outcomeRecorder,
            ThreadBudget threadBudget) {
        acceptor = new ClientAcceptor(maxPendingClients, this);
        this.admissionControl = admissionControl;
        this.clientFactory = clientFactory;
        this.forwarder = forwarder;
        this.outcomeRecorder = outcomeRecorder;
        this.threadBudget = threadBudget;
    }

    /** Returns the acceptor of this frontend's connections. */
    public ClientAcceptor acceptor() {
        return acceptor;
    }

    /**
     * Starts the thread that takes requests over from the acceptor, which must not wait for other
     * threads to start.
     */
    public void start() {
        Threads.startLoop("starter", () -> startRequest(receivedRequests.take()));
    }

    /** Answers PING with an error from now on, so that its sender directs new clients elsewhere. */
    @Override
    public void startDraining() {
        draining = true;
    }

    /** Both processes accept at one socket, so pending clients are served here as before. */
    @Override
    public void startHandover() {}

    @Override
    public void rejectPendingClients() {
        acceptor.rejectPendingClients();
    }

    /** Returns the number of connected clients, with and without a request. */
    @Override
    public int clientCount() {
        return requestCount() + unadmittedCount.get() + acceptor.pendingClientCount();
    }

    /** Returns the number of requests that are waiting or established. */
    @Override
    public int requestCount() {
        return admissionControl.requestCount();
    }

    @Override
    public boolean firstLineReceived(PendingClient client, byte[] piece) {
        try {
            String line = OpenRequest.decodeLine(piece);
            if (!line.equals("PING")) {
                return tryQueueRequest(client, OpenRequest.parse(line));
            }
            if (client.hasBufferedInput()) {
                throw new MalformedException(OutcomeRecorder.ONE_LINE_ONLY_ERROR);
            }
            client.send(draining ? "ERR leaving" : "PONG");
        } catch (MalformedException e) {
            // Malformed input must cost only one line, must be logged and must never reach a
            // backend.
            rejectWithWarning(client, "client.malformed", "ERR " + e.getMessage());
        } catch (IOException e) {
            rejectWithWarning(client, "client.broken", "ERR " + e.getMessage());
        }
        return false;
    }

    private boolean tryQueueRequest(PendingClient client, OpenRequest openRequest)
            throws MalformedException {
        if (admissionControl.rejectIfFull(openRequest, unadmittedCount.get())) {
            acceptor.answer(client, admissionControl.busyLine());
            return false;
        }
        parsedLines.add(openRequest);
        unadmittedCount.incrementAndGet();
        return true;
    }

    @Override
    public void requestReceived(PendingClient client) {
        // Lines are parsed in the order of these calls.
        receivedRequests.add(new ReceivedRequest(client, parsedLines.remove()));
    }

    @Override
    public void firstLineTimedOut(PendingClient client) {
        // A client that has sent nothing may be sending a request at this moment. BUSY is then true
        // of that request, too.
        rejectWithWarning(
                client,
                "client.silent",
                client.hasBufferedInput() ? "ERR first line too slow" : "BUSY");
    }

    @Override
    public void clientEvicted(PendingClient client) {
        Log.warn("doorway.full", "from", client.remote());
        try {
            client.send(admissionControl.busyLine());
        } catch (IOException e) {
            Log.info("client.broken", "why", e.getMessage());
        }
    }

    @Override
    public void relayShuttingDown(PendingClient client) {
        acceptor.answer(client, "BUSY");
    }

    private void rejectWithWarning(PendingClient client, String event, String answer) {
        Log.warn(event, "from", client.remote(), "answer", answer);
        acceptor.answer(client, answer);
    }

    private void startRequest(ReceivedRequest request) throws IOException {
        LineClient client;
        try {
            client = clientFactory.create(request.client());
        } catch (IOException e) {
            request.client().close();
            unadmittedCount.decrementAndGet();
            return;
        }
        if (!threadBudget.tryAcquire()) {
            rejectForThreads(client);
        } else if (!threadBudget.start("client", () -> serve(client, request.openRequest()))) {
            threadBudget.release();
            rejectForThreads(client);
        }
    }

    /** Rejects a request for lack of a thread. */
    private void rejectForThreads(LineClient client) {
        outcomeRecorder.rejectedForThreads();
        outcomeRecorder.sendLine(client, admissionControl.busyLine());
        client.shutdownOutput();
        acceptor.lingerAndClose(client.channel());
        unadmittedCount.decrementAndGet();
    }

    private void serve(LineClient client, OpenRequest openRequest) throws InterruptedException {
        RequestContext context = null;
        boolean completed = false;
        try {
            context = admitOrReject(client, openRequest);
            if (context != null && client.isAnswered()) {
                acceptor.lingerAndClose(client.channel());
            } else if (context != null) {
                forwardFromClient(client, context);
            }
            completed = true;
        } catch (IOException e) {
            Log.info("client.broken", "why", e.getMessage());
            client.close();
            completed = true;
        } finally {
            if (!completed) {
                failAfterFault(client, context);
            }
            if (context != null) {
                admissionControl.release(context);
            }
            threadBudget.release();
        }
    }

    /** Answers the client after a fault of the relay, such as a class that cannot be loaded. */
    private void failAfterFault(LineClient client, RequestContext context) {
        if (context == null) {
            outcomeRecorder.sendLine(client, "ERR failed");
            client.shutdownOutput();
            acceptor.lingerAndClose(client.channel());
        } else {
            outcomeRecorder.fail(context);
        }
    }

    private RequestContext admitOrReject(LineClient client, OpenRequest openRequest)
            throws IOException {
        try {
            return admissionControl.admit(client, openRequest);
        } catch (MalformedException e) {
            Log.warn(
                    "client.malformed",
                    "from",
                    client.remoteAddress(),
                    "answer",
                    "ERR " + e.getMessage());
            outcomeRecorder.sendLine(client, "ERR " + e.getMessage());
            client.shutdownOutput();
            acceptor.lingerAndClose(client.channel());
            return null;
        } finally {
            unadmittedCount.decrementAndGet();
        }
    }

    /**
     * Lets the client of an ended request close the connection. The thread that ended the request
     * may still be writing the answer.
     */
    private void lingerAndClose(LineClient client, RequestContext context)
            throws InterruptedException {
        if (!context.wasEstablished()) {
            client.awaitAnswer();
        }
        client.shutdownOutput();
        acceptor.lingerAndClose(client.channel());
    }

    /**
     * Reads from the client until its input ends. The connection must not be closed while the
     * client may still send.
     */
    private void forwardFromClient(LineClient client, RequestContext context)
            throws InterruptedException {
        boolean reset = false;
        try {
            byte[] piece = client.reader().readLine();
            while (piece != null) {
                if (context.phase() == RequestContext.Phase.WAITING) {
                    // The client did not wait for its answer.
                    outcomeRecorder.failForEarlyInput(context);
                }
                if (context.phase() != RequestContext.Phase.ESTABLISHED) {
                    lingerAndClose(client, context);
                    return;
                }
                forwarder.sendToBackend(context.currentAttempt(), piece);
                piece = client.reader().readLine();
            }
        } catch (IOException e) {
            reset = true;
        }
        if (context.end(RequestContext.Phase.WAITING)) {
            outcomeRecorder.clientLeft(context);
        }
        Attempt current = context.currentAttempt();
        if (current != null) {
            forwarder.handleClientEnd(current, reset);
        }
        context.awaitEnd();
        client.close();
    }
}
