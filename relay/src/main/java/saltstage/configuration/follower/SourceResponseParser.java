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
            long request, HttpResponse<byte[]> response, Duration elapsed) {
        if (response.statusCode() != OK) {
            return parseError(request, response);
        }
        try {
            return new FollowerEvent.ChangesReceived(
                    request, ConfigurationJson.parseChanges(bodyText(response)), elapsed);
        } catch (MalformedException | RuntimeException malformed) {
            return malformedResponse(request, malformed);
        }
    }

    static FollowerEvent parseSnapshotPage(long request, HttpResponse<byte[]> response) {
        if (response.statusCode() != OK) {
            return parseError(request, response);
        }
        try {
            return new FollowerEvent.SnapshotPageReceived(
                    request, ConfigurationJson.parseSnapshotPage(bodyText(response)));
        } catch (MalformedException | RuntimeException malformed) {
            return malformedResponse(request, malformed);
        }
    }

    private static FollowerEvent parseError(long request, HttpResponse<byte[]> response) {
        int status = response.statusCode();
        ErrorResponse error;
        try {
            error = ConfigurationJson.parseError(bodyText(response));
        } catch (MalformedException | RuntimeException malformed) {
            return new FollowerEvent.RequestFailed(request, "status " + status);
        }
        if (status == CONFLICT && error.error().equals(ErrorResponse.DIVERGED)) {
            return new FollowerEvent.Diverged(request);
        } else if (status == GONE && error.error().equals(ErrorResponse.TRUNCATED)) {
            return new FollowerEvent.Truncated(request);
        } else if (status == MISDIRECTED_REQUEST && error.error().equals(ErrorResponse.BEHIND)) {
            return new FollowerEvent.Behind(request, error.revision());
        } else if (status == SERVICE_UNAVAILABLE && error.error().equals(ErrorResponse.BUSY)) {
            return new FollowerEvent.Busy(request, Duration.ofMillis(error.retryMs()));
        }
        String detail = status == BAD_REQUEST ? ": " + error.error() : "";
        return new FollowerEvent.RequestFailed(request, "status " + status + detail);
    }

    private static FollowerEvent malformedResponse(long request, Exception malformed) {
        return new FollowerEvent.RequestFailed(request, "malformed: " + malformed.getMessage());
    }

    private static String bodyText(HttpResponse<byte[]> response) {
        return new String(response.body(), StandardCharsets.UTF_8);
    }
}
