package saltstage.configuration.follower;

import java.net.URI;
import java.util.List;

/**
 * Whom a follower asks, and as whom.
 *
 * @param sources base addresses such as {@code http://127.0.0.1:7300}, the preferred one first
 * @param name the follower's name, which confirmations are counted by
 * @param zone the zone that it runs in
 */
public record FollowerOptions(
        List<URI> sources, String name, String zone, FollowerTimings timings) {
    /** Copies the list; throws IllegalArgumentException where it is empty. */
    public FollowerOptions {
        sources = List.copyOf(sources);
        if (sources.isEmpty()) {
            throw new IllegalArgumentException("a follower needs a source");
        }
    }

    /** The base address of a source that listens at this host and port. */
    public static URI sourceUri(String hostAndPort) {
        return URI.create("http://" + hostAndPort);
    }
}
