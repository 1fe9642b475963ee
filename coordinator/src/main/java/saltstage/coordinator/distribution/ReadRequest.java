package saltstage.coordinator.distribution;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.ConfigurationLimits;
import saltstage.configuration.EntryKey;
import saltstage.wire.MalformedException;

/** A request of the read API; {@code docs/design/configuration.md} describes the parameters. */
sealed interface ReadRequest {
    /** The prefix of all paths of the read API. */
    String PATH_PREFIX = "/v1/configuration/";

    /**
     * A request for the changes after a revision.
     *
     * @param zone the follower's zone; empty if the request does not name it
     */
    record Changes(long after, long digest, String follower, String zone, long waitMs, int limit)
            implements ReadRequest {}

    /**
     * A request for a page of a snapshot.
     *
     * @param from the first key of the page; null for the first page
     * @param follower the follower's name; empty if the request does not name it
     */
    record Snapshot(long revision, EntryKey from, int limit, String follower)
            implements ReadRequest {}

    /** A request for the followers' confirmations of a revision; 0 stands for the newest. */
    record Status(long revision) implements ReadRequest {}

    /** Parses the path and query of a GET; returns null if the path is not of the read API. */
    static ReadRequest parse(String uri) throws MalformedException {
        try {
            QueryStringDecoder decoder = new QueryStringDecoder(uri);
            Parameters parameters = new Parameters(decoder.parameters());
            return switch (decoder.path()) {
                case PATH_PREFIX + "changes" -> parseChanges(parameters);
                case PATH_PREFIX + "snapshot" -> parseSnapshot(parameters);
                case PATH_PREFIX + "status" -> new Status(parameters.revision("revision"));
                default -> null;
            };
        } catch (IllegalArgumentException malformed) { // bad escapes or entry key
            throw new MalformedException("request: " + malformed.getMessage());
        }
    }

    private static Changes parseChanges(Parameters parameters) throws MalformedException {
        if (parameters.name("follower").isEmpty()) {
            throw new MalformedException("'follower' is missing");
        }
        return new Changes(
                parameters.revision("after"),
                ConfigurationJson.parseDigest(parameters.string("digest", ""), "'digest'"),
                parameters.name("follower"),
                parameters.name("zone"),
                parameters.boundedInteger("waitMs", 0, DistributorHandler.MAX_WAIT_MS),
                (int)
                        parameters.boundedInteger(
                                "limit",
                                ConfigurationLimits.MAX_CHANGES_PER_RESPONSE,
                                ConfigurationLimits.MAX_CHANGES_PER_RESPONSE));
    }

    private static Snapshot parseSnapshot(Parameters parameters) throws MalformedException {
        String from = parameters.string("from", "");
        int max = ConfigurationLimits.MAX_ENTRIES_PER_PAGE;
        return new Snapshot(
                parameters.revision("revision"),
                from.isEmpty() ? null : EntryKey.parse(from),
                (int) parameters.boundedInteger("limit", max, max),
                parameters.name("follower"));
    }

    /** The parameters of a query, each validated when it is read. */
    record Parameters(Map<String, List<String>> valuesByName) {
        private static final Pattern INTEGER_PATTERN = Pattern.compile("\\d{1,16}");
        private static final int MAX_NAME_LENGTH = ConfigurationLimits.MAX_IDENTIFIER_LENGTH;
        private static final Pattern NAME_PATTERN =
                Pattern.compile("[!-~]{0," + MAX_NAME_LENGTH + "}");

        String string(String name, String defaultValue) {
            List<String> values = valuesByName.getOrDefault(name, List.of());
            return values.isEmpty() ? defaultValue : values.get(0);
        }

        /** Returns a name, or an empty text if the parameter is absent. */
        String name(String name) throws MalformedException {
            String text = string(name, "");
            if (!NAME_PATTERN.matcher(text).matches()) {
                throw new MalformedException(
                        "'"
                                + name
                                + "' takes up to "
                                + MAX_NAME_LENGTH
                                + " visible ASCII characters");
            }
            return text;
        }

        long revision(String name) throws MalformedException {
            long revision = integer(name, 0);
            if (revision > ConfigurationLimits.MAX_SAFE_INTEGER) {
                throw new MalformedException("'" + name + "' is too large");
            }
            return revision;
        }

        /** Returns a whole number, limited to the upper bound. */
        long boundedInteger(String name, long defaultValue, long max) throws MalformedException {
            return Math.min(max, integer(name, defaultValue));
        }

        private long integer(String name, long defaultValue) throws MalformedException {
            String text = string(name, Long.toString(defaultValue));
            if (!INTEGER_PATTERN.matcher(text).matches()) {
                throw new MalformedException("'" + name + "' takes a whole number");
            }
            return Long.parseLong(text);
        }
    }
}
