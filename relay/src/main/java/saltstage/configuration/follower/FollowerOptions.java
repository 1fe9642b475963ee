package saltstage.configuration.follower;

import java.net.URI;
import java.util.List;

/**
 * The sources of a follower, and how the follower identifies itself to them.
 *
 * @param sources base addresses such as {@code http://127.0.0.1:7300}, the preferred one first
 * @param name the follower's name, by which sources count confirmations
 * @param zone the zone that the follower runs in
 */
public record FollowerOptions(
        List<URI> sources, String name, String zone, FollowerTimings timings) {
    /** Copies the list of sources; throws IllegalArgumentException if it is empty. */
    public FollowerOptions {
        sources = List.copyOf(sources);
        if (sources.isEmpty()) {
            throw new IllegalArgumentException("a follower needs a source");
        }
    }

    /** Returns the base address of a source that listens at this host and port. */
    public static URI sourceUri(String hostAndPort) {
        return URI.create("http://" + hostAndPort);
    }
}
