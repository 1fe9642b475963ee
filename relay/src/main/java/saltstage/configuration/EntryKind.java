package saltstage.configuration;

/** The kind of an entry; its wire name is the first part of the entry's key. */
public enum EntryKind {
    /** A setting of the relays, identified by its name. */
    SETTING("setting"),
    /** A backend, identified by its identifier. */
    BACKEND("backend"),
    /** The backend that serves a shard of a topic, identified by topic and shard number. */
    SHARD("shard"),
    /** An operator's suspension of a backend, identified by the backend's identifier. */
    SUSPENSION("suspension");

    private final String wireName;

    EntryKind(String word) {
        this.wireName = word;
    }

    /** The name of this kind in keys and in JSON. */
    public String wireName() {
        return wireName;
    }
}
