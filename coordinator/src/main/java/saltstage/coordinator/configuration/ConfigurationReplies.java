package saltstage.coordinator.configuration;

import saltstage.coordinator.model.Reply;

/** What changes of the configuration come to. */
public final class ConfigurationReplies {
    private ConfigurationReplies() {}

    /**
     * The change is in force.
     *
     * @param revision the revision since when; the one before it where the change said nothing new
     * @param digest the digest of all entries at that revision
     * @param mutations how many entries it changed; what is in force already is left out
     */
    public record Changed(long revision, String digest, int mutations) implements Reply {}

    /**
     * The change is refused whole.
     *
     * @param code the kind of refusal
     * @param key the key that is at fault; empty where it is the change as a whole
     * @param value what was asked for
     * @param wanted what would do
     */
    public record Rejected(RejectionCode code, String key, String value, String wanted)
            implements Reply {
        /** One sentence for people. */
        public String message() {
            return (key.isEmpty() ? "" : key + ": ") + "'" + value + "' is not accepted; " + wanted;
        }
    }
}
