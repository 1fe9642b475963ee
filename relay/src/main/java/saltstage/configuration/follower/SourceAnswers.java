package saltstage.configuration.follower;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.ErrorResponse;
import saltstage.wire.MalformedException;

/** Reads the read API's answers as events of the follower; what is not of that API is a failure. */
final class SourceAnswers {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;

    private SourceAnswers() {}

    static FollowerEvent changes(long request, HttpResponse<byte[]> answer, Duration elapsed) {
        if (answer.statusCode() != OK) {
            return refusal(request, answer);
        }
        try {
            return new FollowerEvent.ChangesReceived(
                    request, ConfigurationJson.changes(text(answer)), elapsed);
        } catch (MalformedException | RuntimeException malformed) {
            return malformed(request, malformed);
        }
    }

    static FollowerEvent snapshotPage(long request, HttpResponse<byte[]> answer) {
        if (answer.statusCode() != OK) {
            return refusal(request, answer);
        }
        try {
            return new FollowerEvent.SnapshotPageReceived(
                    request, ConfigurationJson.snapshotPage(text(answer)));
        } catch (MalformedException | RuntimeException malformed) {
            return malformed(request, malformed);
        }
    }

    private static FollowerEvent refusal(long request, HttpResponse<byte[]> answer) {
        int status = answer.statusCode();
        ErrorResponse error;
        try {
            error = ConfigurationJson.error(text(answer));
        } catch (MalformedException | RuntimeException malformed) {
            return new FollowerEvent.RequestFailed(request, "status " + status);
        }
        if (status == CONFLICT && error.error().equals(ErrorResponse.DIVERGED)) {
            return new FollowerEvent.Diverged(request);
        } else if (status == GONE && error.error().equals(ErrorResponse.TRUNCATED)) {
            return new FollowerEvent.Truncated(request);
        } else if (status == MISDIRECTED && error.error().equals(ErrorResponse.BEHIND)) {
            return new FollowerEvent.Behind(request, error.revision());
        } else if (status == UNAVAILABLE && error.error().equals(ErrorResponse.BUSY)) {
            return new FollowerEvent.Busy(request, Duration.ofMillis(error.retryMs()));
        }
        String detail = status == BAD_REQUEST ? ": " + error.error() : "";
        return new FollowerEvent.RequestFailed(request, "status " + status + detail);
    }

    private static FollowerEvent malformed(long request, Exception malformed) {
        return new FollowerEvent.RequestFailed(request, "malformed: " + malformed.getMessage());
    }

    private static String text(HttpResponse<byte[]> answer) {
        return new String(answer.body(), StandardCharsets.UTF_8);
    }
}
