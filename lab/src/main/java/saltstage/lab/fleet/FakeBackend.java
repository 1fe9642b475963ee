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
 * A stand-in for a gateway on loopback: takes OPEN lines, answers UP, echoes what clients say,
 * tells its load when it is probed. It can drain (BUSY for newcomers, clients sent away one by
 * one), be killed (resets and refuses), fall silent as a frozen machine does, and answer late.
 */
public final class FakeBackend {
    /** What it is doing. */
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

    /** A gateway that listens on a free port from the return on. */
    public FakeBackend(String uid, String zone) throws IOException {
        this(uid, zone, InetAddress.getLoopbackAddress());
    }

    /** The same, at an address of its own. */
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
        } catch (IOException closed) { // it was killed
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
        } catch (IOException disconnected) { // the relay left, or this gateway was killed
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

    /** Wants nothing new; sends its clients away one after the other. */
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
        } catch (IOException disconnected) { // it left by itself
            return;
        }
    }

    /** Dies as a process does: what is open is reset, what comes is refused. */
    public void kill() throws IOException {
        state = State.DEAD;
        listener.close();
        for (Socket socket : openSockets) {
            try {
                socket.setSoLinger(true, 0);
            } catch (SocketException closed) { // it ended meanwhile
                continue;
            } finally {
                socket.close();
            }
        }
    }

    /** Freezes as a machine does that is cut off: everything stays open and nothing is said. */
    public void freeze() {
        state = State.SILENT;
    }

    /** Serves again; a killed one as a new process at the same address. */
    public void start() throws IOException {
        if (state == State.DEAD) {
            listener = listen(address);
            startedAtMillis = System.currentTimeMillis();
        }
        state = State.READY;
    }

    /** Answers everything that much later. */
    public void setAnswerDelay(Duration delay) {
        answerDelay = delay;
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** Its name. */
    public String uid() {
        return uid;
    }

    /** What it is doing. */
    public State state() {
        return state;
    }

    /** How many clients stand here. */
    public int establishedCount() {
        return establishedSockets.size();
    }

    /** How many it has served since its first start. */
    public long servedCount() {
        return servedCount.get();
    }

    /** How many newcomers it has refused. */
    public long rejectedCount() {
        return rejectedCount.get();
    }

    /** Its entry in discovery's list. */
    String listEntry() {
        String listedState =
                switch (state) {
                    case READY, SILENT -> "ready"; // discovery knows only whether a process runs
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
