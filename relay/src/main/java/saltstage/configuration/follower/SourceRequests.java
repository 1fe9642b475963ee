package saltstage.configuration.follower;

import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.ConfigurationLimits;

/** The read API's requests as one follower makes them. */
final class SourceRequests {
    private static final String CHANGES = "/v1/configuration/changes";
    private static final String SNAPSHOT = "/v1/configuration/snapshot";

    private final FollowerOptions options;
    private final String follower;

    SourceRequests(FollowerOptions options) {
        this.options = options;
        follower = "&follower=" + encoded(options.name()) + "&zone=" + encoded(options.zone());
    }

    HttpRequest of(FollowerEffect.RequestChanges request) {
        return get(
                request.source(),
                CHANGES
                        + "?after="
                        + request.after()
                        + "&digest="
                        + ConfigurationJson.text(request.digest())
                        + follower
                        + "&waitMs="
                        + request.poll().toMillis()
                        + "&limit="
                        + ConfigurationLimits.CHANGES_PER_ANSWER);
    }

    HttpRequest of(FollowerEffect.RequestSnapshotPage request) {
        String from = request.from() == null ? "" : "&from=" + encoded(request.from().text());
        return get(
                request.source(),
                SNAPSHOT
                        + "?revision="
                        + request.revision()
                        + from
                        + "&limit="
                        + ConfigurationLimits.ENTRIES_PER_PAGE);
    }

    private HttpRequest get(int source, String pathAndQuery) {
        URI uri = URI.create(options.sources().get(source) + pathAndQuery);
        return HttpRequest.newBuilder(uri).header("User-Agent", "saltstage").build();
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
