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
 * Discovery with a list of any length. A change is told as the whole list or as the one entry that
 * changed, the two ways that the protocol has.
 */
final class ListStandIn implements AutoCloseable {
    private static final long EMPTY_LINE_MS = 2_000;
    private static final int ADDRESSES_A_BLOCK = 250;

    private final int entries;
    private final int backendPort;
    private final boolean whole;
    private final Random random;
    private final ServerSocket listener;
    private long revision = 1;
    private String change = "";

    /** A list of so many entries, each at a loopback address of its own and all at this port. */
    ListStandIn(int entries, int backendPort, boolean whole, long seed) throws IOException {
        this.entries = entries;
        this.backendPort = backendPort;
        this.whole = whole;
        random = new Random(seed);
        listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    private static void start(Runnable work) {
        Thread thread = new Thread(work, "list");
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                start(() -> serve(socket));
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
            watch(out);
        } catch (IOException gone) {
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void watch(OutputStream out) throws IOException, InterruptedException {
        String told = list();
        long last = revision();
        while (true) {
            String chunk = Integer.toHexString(told.length() + 1) + "\r\n" + told + "\n\r\n";
            out.write(chunk.getBytes(StandardCharsets.US_ASCII));
            synchronized (this) {
                if (revision == last) {
                    wait(EMPTY_LINE_MS);
                }
                told = next(last);
                last = revision;
            }
        }
    }

    private synchronized String next(long last) {
        if (revision == last) {
            return "";
        }
        return whole || revision > last + 1 ? list() : change;
    }

    private synchronized long revision() {
        return revision;
    }

    /** One entry changes; all watches are told. */
    synchronized void change() {
        revision++;
        double capacity = 1 + random.nextInt(100) / 100.0;
        change =
                "{\"rev\":"
                        + revision
                        + ",\"all\":false,\"targets\":["
                        + entry(random.nextInt(entries), capacity)
                        + "]}";
        notifyAll();
    }

    private synchronized String list() {
        StringBuilder text =
                new StringBuilder("{\"rev\":" + revision + ",\"all\":true,\"targets\":[");
        for (int i = 0; i < entries; i++) {
            text.append(i == 0 ? "" : ",").append(entry(i, 1));
        }
        return text.append("]}").toString();
    }

    private String entry(int i, double capacity) {
        int block = i / ADDRESSES_A_BLOCK;
        String host =
                "127." + (1 + block / 250) + "." + block % 250 + "." + (1 + i % ADDRESSES_A_BLOCK);
        return "{\"uid\":\"g"
                + i
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
