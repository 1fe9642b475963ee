package saltstage.coordinator.configuration;

import saltstage.coordinator.model.Reply;

/** The replies to commands that change the configuration. */
public final class ConfigurationReplies {
    private ConfigurationReplies() {}

    /**
     * The change is in force.
     *
     * @param revision the revision that the change created, or the newest revision if all its
     *     values were in force already
     * @param digest the digest of all entries at that revision
     * @param mutations the number of entries that were changed, without values in force already
     */
    public record Changed(long revision, String digest, int mutations) implements Reply {}

    /**
     * The change is rejected as a whole.
     *
     * @param code the kind of rejection
     * @param key the key that is at fault; empty if it is the change as a whole
     * @param value the rejected value
     * @param wanted a description of the values that are accepted
     */
    public record Rejected(RejectionCode code, String key, String value, String wanted)
            implements Reply {
        /** Returns the rejection as one sentence for operators. */
        public String message() {
            return (key.isEmpty() ? "" : key + ": ") + "'" + value + "' is not accepted; " + wanted;
        }
    }
}
