package saltstage.coordinator.api;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import saltstage.coordinator.group.GroupState;
import saltstage.coordinator.lease.Leases;
import saltstage.coordinator.replica.Replica;

/** Reads leases: a list by prefix, and a single lease whose next change a request can wait for. */
final class LeaseRoutes {
    private static final int DEFAULT_LIMIT = 1_000;
    private static final int MAX_LIMIT = 10_000;
    private static final long MAX_REVISION = Long.MAX_VALUE >> 12;

    private final Replica replica;
    private final StateChanges changes;

    /**
     * Leases, the group time at which they were read, and whether they may be stale. The component
     * names are part of the JSON.
     */
    record LeaseList(List<Leases.Row> leases, long groupNow, boolean stale) {
        private long revision() {
            return leases.isEmpty() ? 0 : leases.get(0).revision();
        }
    }

    LeaseRoutes(Replica replica, StateChanges changes) {
        this.replica = replica;
        this.changes = changes;
    }

    Map<String, Route> routes() {
        return Map.of("GET /v1/leases", this::list, "GET /v1/lease", this::watch);
    }

    private CompletableFuture<ApiResponse> list(ApiRequest request) {
        String prefix = request.parameter("prefix", "");
        int limit = (int) request.integerParameter("limit", DEFAULT_LIMIT, MAX_LIMIT);
        boolean stale = request.integerParameter("stale", 0, 1) == 1;
        return replica.read(
                        state ->
                                new LeaseList(
                                        state.leases().list(prefix, limit),
                                        state.time().now(),
                                        stale),
                        stale)
                .thenApply(ApiResponse::ok);
    }

    private CompletableFuture<ApiResponse> watch(ApiRequest request) {
        String name = request.parameter("name", "");
        long after = request.integerParameter("after", 0, MAX_REVISION);
        long waitMs = request.integerParameter("waitMs", 0, StateChanges.MAX_WAIT_MS);
        return readOnceChanged(name, after, StateChanges.deadlineNanos(waitMs))
                .thenApply(ApiResponse::ok);
    }

    /** The lease once its revision differs from {@code after}, or at the deadline. */
    private CompletableFuture<LeaseList> readOnceChanged(
            String name, long after, long deadlineNanos) {
        return replica.read(state -> findLease(state, name), false)
                .thenCompose(
                        read ->
                                read.revision() != after
                                        ? CompletableFuture.completedFuture(read)
                                        : readAfterNextChange(read, name, after, deadlineNanos));
    }

    private CompletableFuture<LeaseList> readAfterNextChange(
            LeaseList read, String name, long after, long deadlineNanos) {
        return changes.awaitNext(deadlineNanos)
                .thenCompose(
                        changed ->
                                changed
                                        ? readOnceChanged(name, after, deadlineNanos)
                                        : CompletableFuture.completedFuture(read));
    }

    private static LeaseList findLease(GroupState state, String name) {
        Leases.Row row = state.leases().find(name);
        return new LeaseList(row == null ? List.of() : List.of(row), state.time().now(), false);
    }
}
