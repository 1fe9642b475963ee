package saltstage.configuration.follower;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.ErrorResponse;
import saltstage.wire.MalformedException;

/** Converts responses of the read API to follower events; any other response is a failure. */
final class SourceResponseParser {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int MISDIRECTED_REQUEST = 421;
    private static final int SERVICE_UNAVAILABLE = 503;

    private SourceResponseParser() {}

    static FollowerEvent parseChanges(
            long requestId, HttpResponse<byte[]> response, Duration elapsed) {
        if (response.statusCode() != OK) {
            return parseError(requestId, response);
        }
        try {
            return new FollowerEvent.ChangesReceived(
                    requestId, ConfigurationJson.parseChanges(bodyText(response)), elapsed);
        } catch (MalformedException | RuntimeException malformed) {
            return malformedResponse(requestId, malformed);
        }
    }

    static FollowerEvent parseSnapshotPage(long requestId, HttpResponse<byte[]> response) {
        if (response.statusCode() != OK) {
            return parseError(requestId, response);
        }
        try {
            return new FollowerEvent.SnapshotPageReceived(
                    requestId, ConfigurationJson.parseSnapshotPage(bodyText(response)));
        } catch (MalformedException | RuntimeException malformed) {
            return malformedResponse(requestId, malformed);
        }
    }

    private static FollowerEvent parseError(long requestId, HttpResponse<byte[]> response) {
        int status = response.statusCode();
        ErrorResponse error;
        try {
            error = ConfigurationJson.parseError(bodyText(response));
        } catch (MalformedException | RuntimeException malformed) {
            return new FollowerEvent.RequestFailed(requestId, "status " + status);
        }
        if (status == CONFLICT && error.error().equals(ErrorResponse.DIVERGED)) {
            return new FollowerEvent.Diverged(requestId);
        } else if (status == GONE && error.error().equals(ErrorResponse.TRUNCATED)) {
            return new FollowerEvent.Truncated(requestId);
        } else if (status == MISDIRECTED_REQUEST && error.error().equals(ErrorResponse.BEHIND)) {
            return new FollowerEvent.Behind(requestId, error.revision());
        } else if (status == SERVICE_UNAVAILABLE && error.error().equals(ErrorResponse.BUSY)) {
            return new FollowerEvent.Busy(requestId, Duration.ofMillis(error.retryMs()));
        }
        String detail = status == BAD_REQUEST ? ": " + error.error() : "";
        return new FollowerEvent.RequestFailed(requestId, "status " + status + detail);
    }

    private static FollowerEvent malformedResponse(long requestId, Exception malformed) {
        return new FollowerEvent.RequestFailed(requestId, "malformed: " + malformed.getMessage());
    }

    private static String bodyText(HttpResponse<byte[]> response) {
        return new String(response.body(), StandardCharsets.UTF_8);
    }
}
