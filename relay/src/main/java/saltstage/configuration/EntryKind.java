package saltstage.configuration;

/** What an entry is about; its word is the first part of the entry's key. */
public enum EntryKind {
    /** A setting of the relays, by its name. */
    SETTING("setting"),
    /** A backend, by its identifier. */
    BACKEND("backend"),
    /** The backend that serves a shard of a topic, by topic and number. */
    SHARD("shard"),
    /** A backend that operators have suspended, by its identifier. */
    SUSPENSION("suspension");

    private final String wireName;

    EntryKind(String word) {
        this.wireName = word;
    }

    /** The word in keys. */
    public String wireName() {
        return wireName;
    }
}
