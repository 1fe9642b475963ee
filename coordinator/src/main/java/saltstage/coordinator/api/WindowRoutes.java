package saltstage.coordinator.api;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import saltstage.coordinator.group.GroupState;
import saltstage.coordinator.replica.Replica;
import saltstage.coordinator.window.FleetPlan;
import saltstage.coordinator.window.Window;

/** Reads maintenance windows and the capacity that remains during them. */
final class WindowRoutes {
    private static final int DEFAULT_LIMIT = 200;
    private static final int MAX_LIMIT = 10_000;

    /** The largest accepted time, in the year 2100; milliseconds since 1970. */
    private static final long MAX_TIME_MS = 4_102_444_800_000L;

    private final Replica replica;

    /**
     * The windows, the plan that they comply with, and the group's time of day. The component names
     * are part of the JSON.
     */
    record WindowList(FleetPlan plan, List<Window> windows, long day) {}

    WindowRoutes(Replica replica) {
        this.replica = replica;
    }

    Map<String, Route> routes() {
        return Map.of("GET /v1/windows", this::list, "GET /v1/levels", this::levels);
    }

    private CompletableFuture<ApiResponse> list(ApiRequest request) {
        return replica.read(WindowRoutes::windowList, false).thenApply(ApiResponse::ok);
    }

    private static WindowList windowList(GroupState state) {
        return new WindowList(
                state.windows().plan(), state.windows().all(), state.time().wallClockTime());
    }

    private CompletableFuture<ApiResponse> levels(ApiRequest request) {
        long from = request.integerParameter("from", 0, MAX_TIME_MS);
        long to = request.integerParameter("to", from, MAX_TIME_MS);
        int limit = (int) request.integerParameter("most", DEFAULT_LIMIT, MAX_LIMIT);
        return replica.read(
                        state -> {
                            long now = state.time().wallClockTime();
                            return state.windows().levels(from == 0 ? now : from, to, limit, now);
                        },
                        false)
                .thenApply(ApiResponse::ok);
    }
}
