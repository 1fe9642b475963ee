package saltstage.coordinator.api;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import saltstage.coordinator.advice.AdviceLog;
import saltstage.coordinator.advice.Advisor;
import saltstage.coordinator.advice.NodeSnapshot;
import saltstage.coordinator.advice.NodeSnapshots;
import saltstage.coordinator.group.GroupCodec;
import saltstage.coordinator.group.GroupState;
import saltstage.coordinator.replica.Replica;

/** Receives the snapshots that nodes send, and reports what an advisor bases its advice on. */
final class AdviceRoutes {
    /** No tenant is moved to a node that goes into maintenance within this time. */
    private static final long MAINTENANCE_LOOKAHEAD_MS = 3_600_000;

    private static final long NANOS_PER_MS = 1_000_000;

    private final NodeSnapshots snapshots = new NodeSnapshots();
    private final Replica replica;

    /**
     * What an advisor bases its advice on, and the advice given so far. The component names are
     * part of the JSON.
     */
    record AdviceStatus(
            AdviceLog.Image book,
            List<NodeSnapshots.View> views,
            List<Advisor.RecentMove> made,
            Set<String> avoid) {}

    AdviceRoutes(Replica replica) {
        this.replica = replica;
    }

    Map<String, Route> routes() {
        return Map.of("GET /v1/advice", this::status, "POST /v1/snapshot", this::receiveSnapshot);
    }

    private CompletableFuture<ApiResponse> status(ApiRequest request) {
        return replica.read(this::adviceStatus, false).thenApply(ApiResponse::ok);
    }

    private AdviceStatus adviceStatus(GroupState state) {
        synchronized (snapshots) {
            return new AdviceStatus(
                    state.advice().image(),
                    snapshots.views(nowMs()),
                    state.advice().recentMoves(state.time().now()),
                    state.windows()
                            .nodesToAvoid(state.time().wallClockTime(), MAINTENANCE_LOOKAHEAD_MS));
        }
    }

    /** Only the leader keeps snapshots, so a new leader begins with none. */
    private CompletableFuture<ApiResponse> receiveSnapshot(ApiRequest request) {
        NodeSnapshot snapshot = parseSnapshot(request);
        if (!replica.isLeader()) {
            return CompletableFuture.completedFuture(
                    ApiResponse.notLeader(replica.leaderClientAddress()));
        }
        synchronized (snapshots) {
            boolean accepted = snapshots.update(snapshot, nowMs());
            return CompletableFuture.completedFuture(ApiResponse.ok(Map.of("taken", accepted)));
        }
    }

    private static NodeSnapshot parseSnapshot(ApiRequest request) {
        NodeSnapshot snapshot;
        try {
            snapshot = GroupCodec.jsonMapper().treeToValue(request.body(), NodeSnapshot.class);
        } catch (JsonProcessingException malformed) {
            throw new BadRequestException("no snapshot: " + ApiRequest.firstErrorLine(malformed));
        }
        if (snapshot.validationError() != null) {
            throw new BadRequestException(snapshot.validationError());
        }
        return snapshot;
    }

    private static long nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }
}
