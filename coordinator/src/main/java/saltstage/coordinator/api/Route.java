package saltstage.coordinator.api;

import java.util.concurrent.CompletableFuture;

/** Answers the requests of one method and path. */
@FunctionalInterface
interface Route {
    /** Returns a future of the response; throws {@link BadRequestException} for a bad request. */
    CompletableFuture<ApiResponse> handle(ApiRequest request);
}
