import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import saltstage.configuration.Change;
import saltstage.configuration.ChangeHistory;
import saltstage.configuration.ChangesResponse;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.ConfigurationView;
import saltstage.configuration.EntryKey;
import saltstage.configuration.ErrorResponse;
import saltstage.configuration.Mutation;
import saltstage.configuration.SnapshotPager;

/**
 * A source of configuration by revision that answers as the read API is written: one that has every accepted change
 * and tells it at once. The formats are those of the project's own classes.
 */
final class ConfigurationSource {
    private final Journal journal;
    private final HttpServer server;
    private final ConfigurationView view = new ConfigurationView();
    private final ChangeHistory history = new ChangeHistory(0, view.digest());
    private final SnapshotPager pager = new SnapshotPager();
    private final Map<Long, Double> firstConfirmed = new HashMap<>();

    ConfigurationSource(Journal journal) throws IOException {
        this.journal = journal;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/v1/configuration/", this::handle);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Accepts a change; it is told to all who wait. */
    synchronized long accept(String mutationsJson) throws Exception {
        List<Mutation> mutations = ConfigurationJson.parseMutations(mutationsJson);
        Change change = view.accept(mutations);
        history.append(change);
        journal.line("source: revision %d: %s", change.revision(), mutationsJson);
        notifyAll();
        return change.revision();
    }

    /** When the relay first confirmed this revision or a later one; negative before. */
    synchronized double confirmedAt(long revision) {
        return firstConfirmed.entrySet().stream().filter(e -> e.getKey() >= revision)
            .mapToDouble(Map.Entry::getValue).min().orElse(-1);
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        String query = exchange.getRequestURI().getRawQuery();
        for (String pair : query == null ? new String[0] : query.split("&")) {
            int equals = pair.indexOf('=');
            values.put(pair.substring(0, equals), java.net.URLDecoder.decode(pair.substring(equals + 1),
                StandardCharsets.UTF_8));
        }
        return values;
    }

    private void handle(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        int status = 200;
        String body;
        try {
            if (exchange.getRequestURI().getPath().endsWith("/changes")) {
                ChangeHistory.Result result = await(query);
                if (result instanceof ChangeHistory.Changes found) {
                    synchronized (this) {
                        body = ConfigurationJson.toJson(
                            new ChangesResponse(view.revision(), view.digest(), found.changes()));
                    }
                } else {
                    ChangeHistory.Failure failure = (ChangeHistory.Failure) result;
                    status = failure == ChangeHistory.Failure.DIVERGED ? 409
                        : failure == ChangeHistory.Failure.TRUNCATED ? 410 : 421;
                    body = ConfigurationJson.toJson(new ErrorResponse(failure.name().toLowerCase(), view.revision(), 0));
                }
            } else {
                synchronized (this) {
                    String from = query.get("from");
                    body = ConfigurationJson.toJson(pager.page(view, Long.parseLong(query.get("revision")),
                        from == null ? null : EntryKey.parse(from), Integer.parseInt(query.get("limit"))));
                }
            }
        } catch (Exception malformed) {
            status = 400;
            body = "{\"error\":\"malformed\"}";
        }
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private synchronized ChangeHistory.Result await(Map<String, String> query) throws Exception {
        long after = Long.parseLong(query.get("after"));
        long digest = ConfigurationJson.parseDigest(query.get("digest"), "digest");
        int limit = Integer.parseInt(query.getOrDefault("limit", "100"));
        long deadline = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        if (firstConfirmed.putIfAbsent(after, journal.seconds()) == null) {
            journal.line("source: follower %s asks for what follows revision %d", query.get("follower"), after);
        }
        while (true) {
            ChangeHistory.Result result = history.changesAfter(after, digest, limit);
            long left = (deadline - System.nanoTime()) / 1_000_000;
            if (!(result instanceof ChangeHistory.Changes found) || !found.changes().isEmpty() || left <= 0) {
                return result;
            }
            wait(left);
        }
    }
}
