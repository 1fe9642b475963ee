package saltstage.configuration.follower;

import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.ConfigurationLimits;

/** Builds one follower's requests to the read API. */
final class SourceRequestBuilder {
    private static final String CHANGES_PATH = "/v1/configuration/changes";
    private static final String SNAPSHOT_PATH = "/v1/configuration/snapshot";

    private final FollowerOptions options;
    private final String followerQuery;

    SourceRequestBuilder(FollowerOptions options) {
        this.options = options;
        followerQuery =
                "&follower=" + urlEncode(options.name()) + "&zone=" + urlEncode(options.zone());
    }

    HttpRequest build(FollowerEffect.RequestChanges request) {
        return buildGet(
                request.source(),
                CHANGES_PATH
                        + "?after="
                        + request.after()
                        + "&digest="
                        + ConfigurationJson.formatDigest(request.digest())
                        + followerQuery
                        + "&waitMs="
                        + request.pollWait().toMillis()
                        + "&limit="
                        + ConfigurationLimits.MAX_CHANGES_PER_RESPONSE);
    }

    HttpRequest build(FollowerEffect.RequestSnapshotPage request) {
        String from = request.from() == null ? "" : "&from=" + urlEncode(request.from().text());
        return buildGet(
                request.source(),
                SNAPSHOT_PATH
                        + "?revision="
                        + request.revision()
                        + from
                        + "&limit="
                        + ConfigurationLimits.MAX_ENTRIES_PER_PAGE);
    }

    private HttpRequest buildGet(int source, String pathAndQuery) {
        URI uri = URI.create(options.sources().get(source) + pathAndQuery);
        return HttpRequest.newBuilder(uri).header("User-Agent", "saltstage").build();
    }

    private static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
