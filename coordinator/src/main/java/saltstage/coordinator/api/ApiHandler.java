package saltstage.coordinator.api;

import io.microraft.exception.CannotReplicateException;
import io.microraft.exception.NotLeaderException;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import saltstage.coordinator.replica.Replica;

/**
 * The API of a replica, without the sockets: dispatches each request to the route registered under
 * its method and path, limits the number of requests in progress, and turns failures into error
 * responses.
 *
 * <p>Each resource has a class of its own with a method {@code routes()}; a new one is added to
 * {@link #ApiHandler(Replica)}.
 */
public final class ApiHandler {
    /** Further requests are rejected at once while this many are unanswered. */
    static final int MAX_CONCURRENT_REQUESTS = 20_000;

    private static final long RESPONSE_TIMEOUT_MS = 5_000;

    private final Map<String, Route> routes = new HashMap<>();
    private final Replica replica;
    private final AtomicInteger activeRequests = new AtomicInteger();

    /** A handler with the routes of all resources. */
    public ApiHandler(Replica replica) {
        this.replica = replica;
        StateChanges changes = new StateChanges(replica);
        routes.putAll(new CommandRoutes(replica, changes).routes());
        routes.putAll(new LeaseRoutes(replica, changes).routes());
        routes.putAll(new WindowRoutes(replica).routes());
        routes.putAll(new AdviceRoutes(replica).routes());
        routes.putAll(new ClusterRoutes(replica).routes());
        routes.putAll(new ConfigurationRoutes(replica).routes());
    }

    /** Answers one request; the future never fails. */
    CompletableFuture<ApiResponse> handle(FullHttpRequest request) {
        if (activeRequests.incrementAndGet() > MAX_CONCURRENT_REQUESTS) {
            activeRequests.decrementAndGet();
            return CompletableFuture.completedFuture(
                    ApiResponse.unavailable("busy: too many calls"));
        }
        return dispatch(request)
                .exceptionally(this::errorResponse)
                .completeOnTimeout(
                        ApiResponse.unavailable("open: no majority has answered"),
                        RESPONSE_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS)
                .whenComplete((response, failure) -> activeRequests.decrementAndGet());
    }

    private CompletableFuture<ApiResponse> dispatch(FullHttpRequest request) {
        try {
            ApiRequest apiRequest = ApiRequest.parse(request);
            Route route = routes.get(apiRequest.routeKey());
            return route != null
                    ? route.handle(apiRequest)
                    : CompletableFuture.completedFuture(
                            ApiResponse.notFound("no such call: " + apiRequest.routeKey()));
        } catch (RuntimeException failure) { // reported by the future, which ends the request
            return CompletableFuture.failedFuture(failure);
        }
    }

    private ApiResponse errorResponse(Throwable thrown) {
        boolean wrapped = thrown instanceof CompletionException && thrown.getCause() != null;
        Throwable cause = wrapped ? thrown.getCause() : thrown;
        if (cause instanceof BadRequestException || cause instanceof IllegalArgumentException) {
            return ApiResponse.badRequest(cause.getMessage());
        }
        if (cause instanceof NotLeaderException) {
            return ApiResponse.notLeader(replica.leaderClientAddress());
        }
        if (cause instanceof CannotReplicateException) {
            return ApiResponse.unavailable("busy: too much waits for a majority");
        }
        return ApiResponse.unavailable("open: " + cause.getClass().getSimpleName());
    }
}
