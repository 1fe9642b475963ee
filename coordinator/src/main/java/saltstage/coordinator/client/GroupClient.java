package saltstage.coordinator.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import saltstage.coordinator.group.GroupCodec;
import saltstage.coordinator.model.Command;
import saltstage.coordinator.model.Rejection;
import saltstage.coordinator.model.Reply;

/**
 * A client session with a group. It sends one command at a time, and the group executes each
 * command once however often it is sent. A call goes to the replica that answered last, follows
 * that replica's hint to the leader, and goes on to the next replica if one does not answer.
 */
public final class GroupClient {
    /**
     * An attempt without a response within this time is abandoned and repeated on another replica.
     */
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(1_500);

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);
    private static final long MIN_RETRY_DELAY_MS = 20;
    private static final long MAX_RETRY_DELAY_MS = 200;

    /** No majority could be reached in time; whether the command was executed is unknown. */
    public static final class GroupUnreachableException extends IOException {
        private static final long serialVersionUID = 1L;

        GroupUnreachableException(String message) {
            super(message);
        }
    }

    /**
     * A reply, and the time on the caller's monotonic clock at which its command was first sent:
     * the group cannot have replied earlier.
     */
    public record TimedReply(Reply reply, long sentNanos) {}

    private final List<String> replicaAddresses;
    private final Ticker ticker;
    private final HttpClient httpClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .build();
    private String sessionId = UUID.randomUUID().toString();
    private long sequenceNumber;
    private int nextReplica;
    private String leaderAddress;

    /**
     * Creates a client of the group whose replicas serve clients at these addresses, each as
     * HOST:PORT.
     */
    public GroupClient(List<String> replicaAddresses, Ticker ticker) {
        if (replicaAddresses.isEmpty()) {
            throw new IllegalArgumentException("no replica is named");
        }
        this.replicaAddresses = new ArrayList<>(replicaAddresses);
        this.ticker = ticker;
        nextReplica = ThreadLocalRandom.current().nextInt(replicaAddresses.size());
    }

    /** Sends a command and repeats it until it is answered or the time limit has passed. */
    public TimedReply send(Command command, Duration timeout)
            throws GroupUnreachableException, InterruptedException {
        return send(command, timeout, Duration.ZERO);
    }

    /**
     * Sends a command as {@link #send(Command, Duration)} does; the group may delay its answer by
     * up to {@code wait} while the caller waits in a queue.
     */
    public synchronized TimedReply send(Command command, Duration timeout, Duration wait)
            throws GroupUnreachableException, InterruptedException {
        long sentNanos = ticker.nanos();
        long deadlineNanos = sentNanos + timeout.toNanos();
        sequenceNumber++;
        while (true) {
            ObjectNode body =
                    GroupCodec.jsonMapper()
                            .createObjectNode()
                            .put("client", sessionId)
                            .put("seq", sequenceNumber)
                            .put("waitMs", wait.toMillis());
            body.set("command", GroupCodec.jsonMapper().valueToTree(command));
            JsonNode answer =
                    call(
                            "POST",
                            "/v1/do",
                            body.toString(),
                            deadlineNanos,
                            ATTEMPT_TIMEOUT.plus(wait));
            Reply reply;
            try {
                reply = GroupCodec.jsonMapper().treeToValue(answer, Reply.class);
            } catch (IOException unreadable) {
                throw new GroupUnreachableException(
                        "an answer that this build does not know: " + unreadable.getMessage());
            }
            if (reply instanceof Rejection rejection && rejection.code().equals("session-lost")) {
                sessionId = UUID.randomUUID().toString(); // the caller may send again
                sequenceNumber = 0;
            }
            return new TimedReply(reply, sentNanos);
        }
    }

    /**
     * Reads a path. The answer reflects the group's state after the call began, unless the path
     * asks for a stale one.
     */
    public synchronized JsonNode get(String path, Duration timeout)
            throws GroupUnreachableException, InterruptedException {
        return call(
                "GET",
                path,
                null,
                ticker.nanos() + timeout.toNanos(),
                ATTEMPT_TIMEOUT.plusSeconds(2));
    }

    /** Posts an operator's request, which may be sent more than once. */
    public synchronized JsonNode post(String path, JsonNode body, Duration timeout)
            throws GroupUnreachableException, InterruptedException {
        return call(
                "POST",
                path,
                body.toString(),
                ticker.nanos() + timeout.toNanos(),
                ATTEMPT_TIMEOUT.multipliedBy(3));
    }

    private JsonNode call(
            String method, String path, String body, long deadlineNanos, Duration attemptTimeout)
            throws GroupUnreachableException, InterruptedException {
        String lastError = "no replica answers";
        for (long delay = MIN_RETRY_DELAY_MS; ; delay = Math.min(MAX_RETRY_DELAY_MS, delay * 2)) {
            long leftNanos = deadlineNanos - ticker.nanos();
            if (leftNanos <= 0) {
                throw new GroupUnreachableException(lastError);
            }
            String address =
                    leaderAddress != null ? leaderAddress : replicaAddresses.get(nextReplica);
            try {
                Duration timeout =
                        Duration.ofNanos(
                                Math.max(1_000_000, Math.min(leftNanos, attemptTimeout.toNanos())));
                HttpResponse<String> response =
                        httpClient.send(
                                request(method, address, path, body, timeout),
                                HttpResponse.BodyHandlers.ofString());
                JsonNode answer = GroupCodec.jsonMapper().readTree(response.body());
                if (response.statusCode() == 200) {
                    leaderAddress = address;
                    return answer;
                }
                lastError =
                        address
                                + ": "
                                + answer.path("error").asText("status " + response.statusCode());
                if (response.statusCode() == 400 || response.statusCode() == 404) {
                    selectNextReplica(null, address); // this may be no replica any more
                    throw new IllegalArgumentException(lastError);
                }
                selectNextReplica(answer.path("leader").asText(null), address);
            } catch (IOException error) {
                lastError =
                        address
                                + ": "
                                + (error.getMessage() == null ? "no answer" : error.getMessage());
                selectNextReplica(null, address);
            }
            Thread.sleep(
                    Math.min(
                            Math.max(1, leftNanos / 1_000_000),
                            delay / 2 + ThreadLocalRandom.current().nextLong(delay / 2 + 1)));
        }
    }

    private static HttpRequest request(
            String method, String address, String path, String body, Duration timeout) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(timeout);
        return (body == null
                        ? request.GET()
                        : request.method(method, HttpRequest.BodyPublishers.ofString(body)))
                .build();
    }

    /**
     * Selects the replica of the next attempt: the leader named in a response, unless it is the
     * replica that has just failed to serve; otherwise the next one.
     */
    private void selectNextReplica(String leaderHint, String failedAddress) {
        leaderAddress =
                leaderHint == null
                                || leaderHint.equals(failedAddress)
                                || !replicaAddresses.contains(leaderHint)
                                        && !leaderHint.matches("[0-9.]+:\\d+")
                        ? null
                        : leaderHint;
        if (leaderAddress == null) {
            nextReplica = (nextReplica + 1) % replicaAddresses.size();
        }
    }
}
