package saltstage.lab.trial;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A resource outside the group that is protected by fencing tokens. It receives operations, each
 * with the lease holder and its fencing token, rejects an operation whose token is lower than one
 * seen before, and records all of them for the evaluation.
 */
final class FencedResource implements AutoCloseable {
    /** An operation as it was received. */
    record Operation(long atMs, String holder, long fencingToken, boolean accepted) {}

    private final ServerSocket listener;
    private final long startNanos = System.nanoTime();
    private final List<Operation> operations = new ArrayList<>();
    private final Map<Long, String> holdersByToken = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();
    private long highestToken;

    FencedResource() throws IOException {
        listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::acceptAll, "fenced-resource");
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private void acceptAll() {
        while (!listener.isClosed()) {
            try {
                Socket connection = listener.accept();
                Thread thread = new Thread(() -> serve(connection), "fenced-resource");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection;
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(
                                        connection.getInputStream(), StandardCharsets.US_ASCII))) {
            connection.setTcpNoDelay(true);
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String[] words = line.split(" ");
                boolean accepted = perform(words[0], Long.parseLong(words[1]));
                String answer = accepted ? "ok\n" : "stale\n";
                connection.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException closed) {
            return;
        }
    }

    private synchronized boolean perform(String holder, long fencingToken) {
        boolean accepted = fencingToken >= highestToken;
        highestToken = Math.max(highestToken, fencingToken);
        operations.add(
                new Operation(
                        (System.nanoTime() - startNanos) / 1_000_000,
                        holder,
                        fencingToken,
                        accepted));
        String owner = holdersByToken.putIfAbsent(fencingToken, holder);
        if (owner != null && !owner.equals(holder)) {
            violations.add(
                    "fencing token "
                            + fencingToken
                            + " was granted to "
                            + owner
                            + " and to "
                            + holder);
        }
        return accepted;
    }

    /** Returns the operations received so far. */
    synchronized List<Operation> operations() {
        return List.copyOf(operations);
    }

    /** Returns the number of lease grants whose holder performed an operation. */
    synchronized int grantCount() {
        return holdersByToken.size();
    }

    /** Returns a violation for each use of one fencing token by two holders. */
    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    long elapsedMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
