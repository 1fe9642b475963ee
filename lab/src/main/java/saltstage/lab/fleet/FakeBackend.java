package saltstage.lab.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A fake backend on loopback that speaks the line protocol: it answers OPEN with UP, echoes the
 * lines of established clients and reports its load when it is probed with STATS. It can drain
 * (rejects new clients with BUSY and moves the established ones one by one), be killed (resets open
 * connections and refuses new ones), freeze (stops answering while its connections stay open) and
 * delay its answers.
 */
public final class FakeBackend {
    /** The state of a fake backend. */
    public enum State {
        READY,
        DRAINING,
        SILENT,
        DEAD
    }

    private static final int ACCEPT_BACKLOG = 512;
    private static final int MAX_CLIENTS = 200;
    private static final Duration MOVE_INTERVAL = Duration.ofMillis(50);

    private final String uid;
    private final String zone;
    private final InetSocketAddress address;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
    private final Set<Socket> establishedSockets = ConcurrentHashMap.newKeySet();
    private final AtomicLong servedCount = new AtomicLong();
    private final AtomicLong rejectedCount = new AtomicLong();
    private volatile ServerSocket listener;
    private volatile State state = State.READY;
    private volatile Duration answerDelay = Duration.ZERO;
    private volatile long startedAtMillis;

    /** Starts a backend that listens on a free port of the loopback address. */
    public FakeBackend(String uid, String zone) throws IOException {
        this(uid, zone, InetAddress.getLoopbackAddress());
    }

    /** Starts a backend that listens on a free port of the given address. */
    public FakeBackend(String uid, String zone, InetAddress ipAddress) throws IOException {
        this.uid = uid;
        this.zone = zone;
        listener = listen(new InetSocketAddress(ipAddress, 0));
        address = (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private ServerSocket listen(InetSocketAddress bindAddress) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(bindAddress, ACCEPT_BACKLOG);
        startDaemon(uid + " accepts", () -> acceptAll(socket));
        return socket;
    }

    /** Starts a daemon thread with a 256 KiB stack. */
    static void startDaemon(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll(ServerSocket serverSocket) {
        try {
            while (true) {
                Socket socket = serverSocket.accept();
                openSockets.add(socket);
                startDaemon(uid, () -> serve(socket));
            }
        } catch (IOException closed) { // kill() closed the listener
            return;
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1),
                            1024);
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                delayAnswer();
                String answer = answer(socket, line);
                socket.getOutputStream()
                        .write((answer + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                if (!answer.startsWith("UP") && line.startsWith("OPEN ")) {
                    return;
                }
            }
        } catch (IOException disconnected) { // by the relay or by kill()
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            establishedSockets.remove(socket);
            openSockets.remove(socket);
        }
    }

    private void delayAnswer() throws InterruptedException {
        Thread.sleep(answerDelay.toMillis());
        while (state == State.SILENT) {
            Thread.sleep(20);
        }
    }

    private String answer(Socket socket, String line) {
        if (line.equals("PING")) {
            return "PONG";
        }
        if (line.equals("STATS")) {
            return String.format(
                    Locale.ROOT,
                    "PONG x0=%.2f,queue=0",
                    (double) establishedSockets.size() / MAX_CLIENTS);
        }
        if (!line.startsWith("OPEN ")) {
            return line;
        }
        String[] fields = line.split(" ");
        if (fields.length != 4) {
            return "SYNTAX";
        }
        if (state == State.DRAINING || establishedSockets.size() >= MAX_CLIENTS) {
            rejectedCount.incrementAndGet();
            return "BUSY";
        }
        establishedSockets.add(socket);
        return "UP " + uid + "-" + servedCount.incrementAndGet();
    }

    /** Rejects new clients from now on and sends MOVE to the established ones one after another. */
    public void drain() {
        state = State.DRAINING;
        startDaemon(
                uid + " drains",
                () -> {
                    try {
                        for (Socket socket : establishedSockets) {
                            if (state != State.DRAINING) {
                                return;
                            }
                            sendMove(socket);
                            Thread.sleep(MOVE_INTERVAL.toMillis());
                        }
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
    }

    private static void sendMove(Socket socket) {
        try {
            socket.getOutputStream().write("MOVE\r\n".getBytes(StandardCharsets.ISO_8859_1));
            socket.shutdownOutput();
        } catch (IOException disconnected) { // the client has already left
            return;
        }
    }

    /** Simulates the death of the process: open connections are reset and new ones are refused. */
    public void kill() throws IOException {
        state = State.DEAD;
        listener.close();
        for (Socket socket : openSockets) {
            try {
                socket.setSoLinger(true, 0);
            } catch (SocketException closed) { // the connection has ended in the meantime
                continue;
            } finally {
                socket.close();
            }
        }
    }

    /** Simulates a frozen machine: connections stay open, but nothing is sent on them any more. */
    public void freeze() {
        state = State.SILENT;
    }

    /** Serves again; a killed backend restarts as a new process at the same address. */
    public void start() throws IOException {
        if (state == State.DEAD) {
            listener = listen(address);
            startedAtMillis = System.currentTimeMillis();
        }
        state = State.READY;
    }

    /** Delays every answer by this time. */
    public void setAnswerDelay(Duration delay) {
        answerDelay = delay;
    }

    /** The address that the backend listens on. */
    public InetSocketAddress address() {
        return address;
    }

    /** The backend's unique id, as in the backend list. */
    public String uid() {
        return uid;
    }

    /** The backend's current state. */
    public State state() {
        return state;
    }

    /** The number of clients that are established now. */
    public int establishedCount() {
        return establishedSockets.size();
    }

    /** The number of clients that were accepted since the first start. */
    public long servedCount() {
        return servedCount.get();
    }

    /** The number of clients that were rejected since the first start. */
    public long rejectedCount() {
        return rejectedCount.get();
    }

    /** The backend's entry in the backend list, as JSON. */
    String listEntry() {
        String listedState =
                switch (state) {
                    case READY, SILENT -> "ready"; // discovery cannot see that it is frozen
                    case DRAINING -> "draining";
                    case DEAD -> "gone";
                };
        return "{\"uid\":\""
                + uid
                + "\",\"endpoint\":\""
                + address.getAddress().getHostAddress()
                + ":"
                + address.getPort()
                + "\",\"az\":\""
                + zone
                + "\",\"model\":\"stand-in\",\"pod_group\":0,\"state\":\""
                + listedState
                + "\",\"capacity_hint\":1.0,\"boot_ms\":"
                + startedAtMillis
                + "}";
    }
}
