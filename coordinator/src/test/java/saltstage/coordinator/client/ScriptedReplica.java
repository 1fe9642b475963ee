package saltstage.coordinator.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.function.Function;
import saltstage.coordinator.group.GroupCodec;

/** A replica's HTTP API with responses that the test decides. */
final class ScriptedReplica implements AutoCloseable {
    /** An HTTP status and the body that goes with it. */
    record ScriptedResponse(int status, Object body) {}

    private final HttpServer server;

    /**
     * Answers each request with the function's result for its body, which is null if there is none.
     */
    ScriptedReplica(Function<JsonNode, ScriptedResponse> responder) throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", exchange -> respond(exchange, responder));
        server.start();
    }

    private static void respond(
            HttpExchange exchange, Function<JsonNode, ScriptedResponse> responder)
            throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        ScriptedResponse response =
                responder.apply(body.length == 0 ? null : GroupCodec.jsonMapper().readTree(body));
        byte[] bytes = GroupCodec.jsonMapper().writeValueAsBytes(response.body());
        exchange.sendResponseHeaders(response.status(), bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    /** The address of the API as HOST:PORT. */
    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
