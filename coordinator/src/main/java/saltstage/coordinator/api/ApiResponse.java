package saltstage.coordinator.api;

/**
 * A response to one request.
 *
 * @param status the HTTP status
 * @param body a value that becomes JSON, or a byte array that is sent as it is
 */
record ApiResponse(int status, Object body) {
    /** The delay before a client should retry a request that may succeed then. */
    private static final int RETRY_DELAY_MS = 200;

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int MISDIRECTED_REQUEST = 421;
    private static final int SERVICE_UNAVAILABLE = 503;

    static ApiResponse ok(Object body) {
        return new ApiResponse(OK, body);
    }

    static ApiResponse badRequest(String error) {
        return new ApiResponse(BAD_REQUEST, new ApiError(error, 0, null));
    }

    static ApiResponse notFound(String error) {
        return new ApiResponse(NOT_FOUND, new ApiError(error, 0, null));
    }

    /** This replica does not lead; {@code leader} is null if none is known. */
    static ApiResponse notLeader(String leader) {
        return new ApiResponse(
                MISDIRECTED_REQUEST, new ApiError("another replica leads", RETRY_DELAY_MS, leader));
    }

    static ApiResponse unavailable(String error) {
        return new ApiResponse(SERVICE_UNAVAILABLE, new ApiError(error, RETRY_DELAY_MS, null));
    }
}
