package saltstage.coordinator.api;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.microraft.exception.CannotReplicateException;
import io.microraft.exception.NotLeaderException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import saltstage.coordinator.advice.AdviceBook;
import saltstage.coordinator.advice.Advisor;
import saltstage.coordinator.advice.Board;
import saltstage.coordinator.advice.NodeSnapshot;
import saltstage.coordinator.group.Codec;
import saltstage.coordinator.group.GroupState;
import saltstage.coordinator.lease.LeaseCommands;
import saltstage.coordinator.lease.LeaseReplies;
import saltstage.coordinator.lease.Leases;
import saltstage.coordinator.model.Command;
import saltstage.coordinator.model.Reply;
import saltstage.coordinator.replica.Replica;
import saltstage.coordinator.window.FleetPlan;
import saltstage.coordinator.window.Window;

/**
 * What clients can ask of a replica, without the sockets: a request's method, path and body in, an
 * answer out, sooner or later. Whatever is malformed gets one clear error and changes nothing.
 */
public final class ApiHandler {
    /** So many calls may be under way in all; the next are turned away at once. */
    static final int MAX_CONCURRENT_CALLS = 20_000;

    private static final long MAX_WAIT_MS = 2_000;
    private static final long RESPONSE_TIMEOUT_MS = 5_000;
    private static final int RETRY_MS = 200;
    private static final int MAX_ROWS = 10_000;
    private static final long MAX_TIME_MS = 4_102_444_800_000L;

    /** An answer: HTTP's status and a value that becomes JSON, or bytes as they are. */
    record ApiResponse(int status, Object body) {}

    /** An error as clients see it. */
    record ApiError(String error, long retryMs, String leader) {}

    private static final class BadRequestException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        BadRequestException(String why) {
            super(why, null, false, false);
        }
    }

    /** No tenant is moved to a node that goes out within so long. */
    private static final long AVOID_AHEAD_MS = 3_600_000;

    private final Board board = new Board();
    private final Replica replica;
    private final AtomicInteger calls = new AtomicInteger();

    /** A handler of this replica's calls. */
    public ApiHandler(Replica replica) {
        this.replica = replica;
    }

    /** Answers one request. */
    CompletableFuture<ApiResponse> handle(FullHttpRequest request) {
        if (calls.incrementAndGet() > MAX_CONCURRENT_CALLS) {
            calls.decrementAndGet();
            return CompletableFuture.completedFuture(
                    new ApiResponse(503, new ApiError("busy: too many calls", RETRY_MS, null)));
        }
        CompletableFuture<ApiResponse> answer;
        try {
            answer =
                    request.decoderResult().isSuccess()
                            ? route(request)
                            : CompletableFuture.failedFuture(new BadRequestException("not HTTP"));
        } catch (BadRequestException bad) {
            answer = CompletableFuture.failedFuture(bad);
        }
        return answer.exceptionally(this::fault)
                .completeOnTimeout(
                        new ApiResponse(
                                503,
                                new ApiError("open: no majority has answered", RETRY_MS, null)),
                        RESPONSE_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS)
                .whenComplete((any, thrown) -> calls.decrementAndGet());
    }

    private ApiResponse fault(Throwable thrown) {
        Throwable why =
                thrown instanceof CompletionException && thrown.getCause() != null
                        ? thrown.getCause()
                        : thrown;
        if (why instanceof BadRequestException || why instanceof IllegalArgumentException) {
            return new ApiResponse(400, new ApiError(why.getMessage(), 0, null));
        }
        if (why instanceof NotLeaderException) {
            return new ApiResponse(
                    421, new ApiError("another replica leads", RETRY_MS, replica.leaderClients()));
        }
        if (why instanceof CannotReplicateException) {
            return new ApiResponse(
                    503, new ApiError("busy: too much waits for a majority", RETRY_MS, null));
        }
        return new ApiResponse(
                503, new ApiError("open: " + why.getClass().getSimpleName(), RETRY_MS, null));
    }

    private CompletableFuture<ApiResponse> route(FullHttpRequest request) {
        QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        boolean post = request.method().equals(HttpMethod.POST);
        if (!post && !request.method().equals(HttpMethod.GET)) {
            throw new BadRequestException("GET and POST are taken");
        }
        String call = (post ? "POST " : "GET ") + uri.path();
        return switch (call) {
            case "POST /v1/do" -> command(body(request));
            case "GET /v1/leases" -> leases(uri.parameters());
            case "GET /v1/lease" -> lease(uri.parameters());
            case "GET /v1/windows" ->
                    replica.read(
                                    state ->
                                            new WindowList(
                                                    state.windows().plan(),
                                                    state.windows().all(),
                                                    state.time().day()),
                                    false)
                            .thenApply(read -> new ApiResponse(200, read));
            case "GET /v1/levels" -> levels(uri.parameters());
            case "GET /v1/status" ->
                    replica.status().thenApply(status -> new ApiResponse(200, status));
            case "POST /v1/snapshot" -> snapshot(body(request));
            case "GET /v1/advice" -> advice();
            case "POST /v1/join" -> join(body(request));
            case "POST /v1/leave" ->
                    replica.leave(text(body(request), "name"))
                            .thenApply(state -> new ApiResponse(200, Map.of("state", state)));
            case "POST /v1/transfer" ->
                    replica.transfer(text(body(request), "to"))
                            .thenApply(
                                    done -> new ApiResponse(200, Map.of("state", "handed-over")));
            case "GET /v1/backup" ->
                    replica.read(GroupState::image, false)
                            .thenApply(image -> new ApiResponse(200, Codec.snapshot(image)));
            default ->
                    CompletableFuture.completedFuture(
                            new ApiResponse(404, new ApiError("no such call: " + call, 0, null)));
        };
    }

    // ---- reading requests

    private static JsonNode body(FullHttpRequest request) {
        try {
            JsonNode read =
                    Codec.json().readTree(request.content().toString(StandardCharsets.UTF_8));
            if (read == null || !read.isObject()) {
                throw new BadRequestException("the body is no JSON object");
            }
            return read;
        } catch (JsonProcessingException bad) {
            throw new BadRequestException("the body is no JSON: " + bad.getOriginalMessage());
        }
    }

    private static String text(JsonNode body, String name) {
        JsonNode value = body.get(name);
        if (value == null || !value.isTextual() || value.textValue().isEmpty()) {
            throw new BadRequestException("'" + name + "' takes a text");
        }
        return value.textValue();
    }

    private static long whole(
            Map<String, List<String>> parameters, String name, long absent, long most) {
        String text = parameters.getOrDefault(name, List.of(Long.toString(absent))).get(0);
        if (!text.matches("\\d{1,15}") || Long.parseLong(text) > most) {
            throw new BadRequestException("'" + name + "' takes a whole number up to " + most);
        }
        return Long.parseLong(text);
    }

    // ---- commands

    private CompletableFuture<ApiResponse> command(JsonNode body) {
        String client = text(body, "client");
        JsonNode seq = body.get("seq");
        if (client.length() > 100
                || seq == null
                || !seq.isIntegralNumber()
                || seq.longValue() < 1) {
            throw new BadRequestException(
                    "'client' takes a text of up to 100 characters, 'seq' a number from 1 on");
        }
        Command command;
        try {
            command = Codec.command(body.path("command"));
        } catch (JsonProcessingException bad) {
            throw new BadRequestException(
                    "'command': " + bad.getOriginalMessage().lines().findFirst().orElse("?"));
        }
        if (command == null || command.getClass().getName().contains("GroupCommands")) {
            throw new BadRequestException("'command' takes a command for clients");
        }
        long waitMs = Math.min(MAX_WAIT_MS, body.path("waitMs").asLong(0));
        CompletableFuture<Reply> reply = replica.propose(client, seq.longValue(), command);
        if (command instanceof LeaseCommands.Acquire ask && waitMs > 0) {
            reply =
                    reply.thenCompose(
                            first ->
                                    first instanceof LeaseReplies.Held held && held.queued()
                                            ? untilItsTurn(
                                                    ask,
                                                    held,
                                                    System.nanoTime() + waitMs * 1_000_000)
                                            : done(first));
        }
        return reply.thenApply(said -> new ApiResponse(200, said));
    }

    private static <T> CompletableFuture<T> done(T value) {
        return CompletableFuture.completedFuture(value);
    }

    /** Holds the answer back until asking again may bring another one, or the wait is over. */
    private CompletableFuture<Reply> untilItsTurn(
            LeaseCommands.Acquire ask, Reply held, long until) {
        return nextChange(until)
                .thenCompose(
                        changed -> {
                            if (!changed) {
                                return done(held);
                            }
                            return replica.read(
                                            state ->
                                                    mayBeGranted(
                                                            state.leases().find(ask.name()),
                                                            ask.owner()),
                                            true)
                                    .thenCompose(
                                            now ->
                                                    now
                                                            ? done(held)
                                                            : untilItsTurn(ask, held, until));
                        });
    }

    private static boolean mayBeGranted(Leases.Row row, String owner) {
        return row == null || row.owner() == null && owner.equals(row.claimant());
    }

    /** True at the state's next change; false once the time is over, or too many wait. */
    private CompletableFuture<Boolean> nextChange(long until) {
        CompletableFuture<Boolean> changed = new CompletableFuture<>();
        long left = until - System.nanoTime();
        if (left <= 0 || !replica.onChange(() -> changed.complete(true))) {
            return done(false);
        }
        return changed.completeOnTimeout(false, left, TimeUnit.NANOSECONDS);
    }

    // ---- reads

    /** What was read, and how old it may be. */
    record LeaseList(List<Leases.Row> leases, long groupNow, boolean stale) {}

    private CompletableFuture<ApiResponse> leases(Map<String, List<String>> parameters) {
        String prefix = parameters.getOrDefault("prefix", List.of("")).get(0);
        int most = (int) whole(parameters, "limit", 1_000, MAX_ROWS);
        boolean stale = whole(parameters, "stale", 0, 1) == 1;
        return replica.read(
                        state ->
                                new LeaseList(
                                        state.leases().list(prefix, most),
                                        state.time().now(),
                                        stale),
                        stale)
                .thenApply(read -> new ApiResponse(200, read));
    }

    /** The windows, what they are planned by, and the group's time of day. */
    record WindowList(FleetPlan plan, List<Window> windows, long day) {}

    private CompletableFuture<ApiResponse> levels(Map<String, List<String>> parameters) {
        long from = whole(parameters, "from", 0, MAX_TIME_MS);
        long to = whole(parameters, "to", from, MAX_TIME_MS);
        int most = (int) whole(parameters, "most", 200, MAX_ROWS);
        return replica.read(
                        state -> {
                            long now = state.time().day();
                            return state.windows().levels(from == 0 ? now : from, to, most, now);
                        },
                        false)
                .thenApply(read -> new ApiResponse(200, read));
    }

    private CompletableFuture<ApiResponse> lease(Map<String, List<String>> parameters) {
        String name = parameters.getOrDefault("name", List.of("")).get(0);
        long after = whole(parameters, "after", 0, Long.MAX_VALUE >> 12);
        long until = System.nanoTime() + whole(parameters, "waitMs", 0, MAX_WAIT_MS) * 1_000_000;
        return watched(name, after, until);
    }

    private CompletableFuture<ApiResponse> watched(String name, long after, long until) {
        return replica.read(
                        state -> {
                            Leases.Row row = state.leases().find(name);
                            return new LeaseList(
                                    row == null ? List.of() : List.of(row),
                                    state.time().now(),
                                    false);
                        },
                        false)
                .thenCompose(
                        read -> {
                            long revision =
                                    read.leases().isEmpty() ? 0 : read.leases().get(0).revision();
                            return revision != after
                                    ? done(new ApiResponse(200, read))
                                    : nextChange(until)
                                            .thenCompose(
                                                    changed ->
                                                            changed
                                                                    ? watched(name, after, until)
                                                                    : done(
                                                                            new ApiResponse(
                                                                                    200, read)));
                        });
    }

    /** All that an advisor goes by, and what was said. */
    record AdviceStatus(
            AdviceBook.Image book,
            List<Board.View> views,
            List<Advisor.Made> made,
            Set<String> avoid) {}

    private CompletableFuture<ApiResponse> advice() {
        return replica.read(
                        state -> {
                            synchronized (board) {
                                return new AdviceStatus(
                                        state.advice().image(),
                                        board.views(System.nanoTime() / 1_000_000),
                                        state.advice().made(state.time().now()),
                                        state.windows()
                                                .avoided(state.time().day(), AVOID_AHEAD_MS));
                            }
                        },
                        false)
                .thenApply(read -> new ApiResponse(200, read));
    }

    /**
     * Snapshots are kept by who leads, and by nobody else: whoever comes to lead begins with none.
     */
    private CompletableFuture<ApiResponse> snapshot(JsonNode body) {
        NodeSnapshot snapshot;
        try {
            snapshot = Codec.json().treeToValue(body, NodeSnapshot.class);
        } catch (JsonProcessingException bad) {
            throw new BadRequestException(
                    "no snapshot: " + bad.getOriginalMessage().lines().findFirst().orElse("?"));
        }
        if (snapshot.fault() != null) {
            throw new BadRequestException(snapshot.fault());
        }
        if (!replica.leads()) {
            return CompletableFuture.completedFuture(
                    new ApiResponse(
                            421,
                            new ApiError(
                                    "another replica leads", RETRY_MS, replica.leaderClients())));
        }
        synchronized (board) {
            boolean taken = board.take(snapshot, System.nanoTime() / 1_000_000);
            return done(new ApiResponse(200, Map.of("taken", taken)));
        }
    }

    private CompletableFuture<ApiResponse> join(JsonNode body) {
        return replica.join(
                        text(body, "name"),
                        text(body, "disk"),
                        text(body, "peers"),
                        text(body, "clients"))
                .thenApply(state -> new ApiResponse(200, Map.of("state", state)));
    }
}
