package saltstage.lab.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;

/**
 * A discovery service with a backend list of any length. It sends each change either as the full
 * list or as a delta with the one changed entry: the protocol allows both.
 */
final class LargeListDiscovery implements AutoCloseable {
    private static final long EMPTY_LINE_INTERVAL_MS = 2_000;
    private static final int ADDRESSES_PER_BLOCK = 250;

    private final int entryCount;
    private final int backendPort;
    private final boolean sendsFullList;
    private final Random random;
    private final ServerSocket listener;
    private long revision = 1;
    private String lastChange = "";

    /** Serves a list in which each entry has its own loopback address and all share one port. */
    LargeListDiscovery(int entryCount, int backendPort, boolean sendsFullList, long seed)
            throws IOException {
        this.entryCount = entryCount;
        this.backendPort = backendPort;
        this.sendsFullList = sendsFullList;
        random = new Random(seed);
        listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        startDaemon(this::acceptAll);
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "list");
        thread.setDaemon(true);
        thread.start();
    }

    /** The address on which this discovery service listens. */
    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = listener.accept();
                startDaemon(() -> serve(socket));
            }
        } catch (IOException closed) {
            return;
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = in.readLine(); line != null && !line.isEmpty(); ) {
                line = in.readLine();
            }
            OutputStream out = socket.getOutputStream();
            out.write(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            sendChanges(out);
        } catch (IOException gone) {
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendChanges(OutputStream out) throws IOException, InterruptedException {
        String message = fullList();
        long sentRevision = revision();
        while (true) {
            String chunk = Integer.toHexString(message.length() + 1) + "\r\n" + message + "\n\r\n";
            out.write(chunk.getBytes(StandardCharsets.US_ASCII));
            synchronized (this) {
                if (revision == sentRevision) {
                    wait(EMPTY_LINE_INTERVAL_MS);
                }
                message = changeSince(sentRevision);
                sentRevision = revision;
            }
        }
    }

    private synchronized String changeSince(long sentRevision) {
        if (revision == sentRevision) {
            return "";
        }
        return sendsFullList || revision > sentRevision + 1 ? fullList() : lastChange;
    }

    private synchronized long revision() {
        return revision;
    }

    /** Changes the capacity of a random entry and wakes all watches, which send the change. */
    synchronized void changeEntry() {
        revision++;
        double capacity = 1 + random.nextInt(100) / 100.0;
        lastChange =
                "{\"rev\":"
                        + revision
                        + ",\"all\":false,\"targets\":["
                        + entryJson(random.nextInt(entryCount), capacity)
                        + "]}";
        notifyAll();
    }

    private synchronized String fullList() {
        StringBuilder text =
                new StringBuilder("{\"rev\":" + revision + ",\"all\":true,\"targets\":[");
        for (int i = 0; i < entryCount; i++) {
            text.append(i == 0 ? "" : ",").append(entryJson(i, 1));
        }
        return text.append("]}").toString();
    }

    private String entryJson(int index, double capacity) {
        int block = index / ADDRESSES_PER_BLOCK;
        String host =
                "127."
                        + (1 + block / 250)
                        + "."
                        + block % 250
                        + "."
                        + (1 + index % ADDRESSES_PER_BLOCK);
        return "{\"uid\":\"g"
                + index
                + "\",\"endpoint\":\""
                + host
                + ":"
                + backendPort
                + "\",\"az\":\"a\",\"model\":\"stand-in\",\"pod_group\":0,\"state\":\"ready\""
                + ",\"capacity_hint\":"
                + capacity
                + ",\"boot_ms\":0}";
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
