package saltstage.coordinator.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import saltstage.coordinator.group.GroupCodec;
import saltstage.coordinator.group.GroupState;
import saltstage.coordinator.replica.Replica;

/** The group itself: this replica's status, its members, its leadership and its backup. */
final class ClusterRoutes {
    private final Replica replica;

    /** The state after a membership request. The component name is part of the JSON. */
    record MembershipState(String state) {}

    ClusterRoutes(Replica replica) {
        this.replica = replica;
    }

    Map<String, Route> routes() {
        return Map.of(
                "GET /v1/status", this::status,
                "GET /v1/backup", this::backup,
                "POST /v1/join", this::join,
                "POST /v1/leave", this::leave,
                "POST /v1/transfer", this::transfer);
    }

    private CompletableFuture<ApiResponse> status(ApiRequest request) {
        return replica.status().thenApply(ApiResponse::ok);
    }

    private CompletableFuture<ApiResponse> backup(ApiRequest request) {
        return replica.read(GroupState::image, false)
                .thenApply(image -> ApiResponse.ok(GroupCodec.encodeSnapshot(image)));
    }

    private CompletableFuture<ApiResponse> join(ApiRequest request) {
        JsonNode body = request.body();
        return replica.join(
                        ApiRequest.requiredString(body, "name"),
                        ApiRequest.requiredString(body, "disk"),
                        ApiRequest.requiredString(body, "peers"),
                        ApiRequest.requiredString(body, "clients"))
                .thenApply(ClusterRoutes::membershipResponse);
    }

    private CompletableFuture<ApiResponse> leave(ApiRequest request) {
        return replica.leave(ApiRequest.requiredString(request.body(), "name"))
                .thenApply(ClusterRoutes::membershipResponse);
    }

    private CompletableFuture<ApiResponse> transfer(ApiRequest request) {
        return replica.transferLeadership(ApiRequest.requiredString(request.body(), "to"))
                .thenApply(done -> membershipResponse("handed-over"));
    }

    private static ApiResponse membershipResponse(String state) {
        return ApiResponse.ok(new MembershipState(state));
    }
}
