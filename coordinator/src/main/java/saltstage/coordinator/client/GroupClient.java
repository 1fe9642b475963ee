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

        GroupUnreachableException(String why) {
            super(why);
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
    public GroupClient(List<String> places, Ticker ticker) {
        if (places.isEmpty()) {
            throw new IllegalArgumentException("no replica is named");
        }
        this.replicaAddresses = new ArrayList<>(places);
        this.ticker = ticker;
        nextReplica = ThreadLocalRandom.current().nextInt(places.size());
    }

    /** Sends a command and repeats it until it is answered or the time limit has passed. */
    public TimedReply send(Command command, Duration within)
            throws GroupUnreachableException, InterruptedException {
        return send(command, within, Duration.ZERO);
    }

    /**
     * Sends a command as {@link #send(Command, Duration)} does; the group may delay its answer by
     * up to {@code wait} while the caller waits in a queue.
     */
    public synchronized TimedReply send(Command command, Duration within, Duration wait)
            throws GroupUnreachableException, InterruptedException {
        long first = ticker.nanos();
        long until = first + within.toNanos();
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
                    call("POST", "/v1/do", body.toString(), until, ATTEMPT_TIMEOUT.plus(wait));
            Reply reply;
            try {
                reply = GroupCodec.jsonMapper().treeToValue(answer, Reply.class);
            } catch (IOException unknown) {
                throw new GroupUnreachableException(
                        "an answer that this build does not know: " + unknown.getMessage());
            }
            if (reply instanceof Rejection no && no.code().equals("session-lost")) {
                sessionId = UUID.randomUUID().toString(); // the caller may send again
                sequenceNumber = 0;
            }
            return new TimedReply(reply, first);
        }
    }

    /**
     * Reads a path. The answer reflects the group's state after the call began, unless the path
     * asks for a stale one.
     */
    public synchronized JsonNode get(String path, Duration within)
            throws GroupUnreachableException, InterruptedException {
        return call(
                "GET",
                path,
                null,
                ticker.nanos() + within.toNanos(),
                ATTEMPT_TIMEOUT.plusSeconds(2));
    }

    /** Posts an operator's request, which may be sent more than once. */
    public synchronized JsonNode post(String path, JsonNode body, Duration within)
            throws GroupUnreachableException, InterruptedException {
        return call(
                "POST",
                path,
                body.toString(),
                ticker.nanos() + within.toNanos(),
                ATTEMPT_TIMEOUT.multipliedBy(3));
    }

    private JsonNode call(String method, String path, String body, long until, Duration patience)
            throws GroupUnreachableException, InterruptedException {
        String last = "no replica answers";
        for (long pause = MIN_RETRY_DELAY_MS; ; pause = Math.min(MAX_RETRY_DELAY_MS, pause * 2)) {
            long left = until - ticker.nanos();
            if (left <= 0) {
                throw new GroupUnreachableException(last);
            }
            String place =
                    leaderAddress != null ? leaderAddress : replicaAddresses.get(nextReplica);
            try {
                Duration timeout =
                        Duration.ofNanos(Math.max(1_000_000, Math.min(left, patience.toNanos())));
                HttpResponse<String> response =
                        httpClient.send(
                                request(method, place, path, body, timeout),
                                HttpResponse.BodyHandlers.ofString());
                JsonNode answer = GroupCodec.jsonMapper().readTree(response.body());
                if (response.statusCode() == 200) {
                    leaderAddress = place;
                    return answer;
                }
                last =
                        place
                                + ": "
                                + answer.path("error").asText("status " + response.statusCode());
                if (response.statusCode() == 400 || response.statusCode() == 404) {
                    selectNextReplica(null, place); // the address may belong to no replica any more
                    throw new IllegalArgumentException(last);
                }
                selectNextReplica(answer.path("leader").asText(null), place);
            } catch (IOException silent) {
                last =
                        place
                                + ": "
                                + (silent.getMessage() == null ? "no answer" : silent.getMessage());
                selectNextReplica(null, place);
            }
            Thread.sleep(
                    Math.min(
                            Math.max(1, left / 1_000_000),
                            pause / 2 + ThreadLocalRandom.current().nextLong(pause / 2 + 1)));
        }
    }

    private static HttpRequest request(
            String method, String place, String path, String body, Duration timeout) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + place + path)).timeout(timeout);
        return (body == null
                        ? request.GET()
                        : request.method(method, HttpRequest.BodyPublishers.ofString(body)))
                .build();
    }

    /**
     * Selects the replica of the next attempt: the leader named in a response, unless it is the
     * replica that has just failed to serve; otherwise the next one.
     */
    private void selectNextReplica(String toldLeader, String not) {
        leaderAddress =
                toldLeader == null
                                || toldLeader.equals(not)
                                || !replicaAddresses.contains(toldLeader)
                                        && !toldLeader.matches("[0-9.]+:\\d+")
                        ? null
                        : toldLeader;
        if (leaderAddress == null) {
            nextReplica = (nextReplica + 1) % replicaAddresses.size();
        }
    }
}
