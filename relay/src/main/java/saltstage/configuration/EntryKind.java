package saltstage.configuration;

/** The kind of an entry; its wire name is the first part of the entry's key. */
public enum EntryKind {
    /** A setting of the relays; the entry's name is the name of the setting. */
    SETTING("setting"),
    /** A backend; the entry's name is the backend's identifier. */
    BACKEND("backend"),
    /** The backend that serves a shard of a topic; the entry's name is the topic and number. */
    SHARD("shard"),
    /** An operator's suspension of a backend; the entry's name is the backend's identifier. */
    SUSPENSION("suspension");

    private final String wireName;

    EntryKind(String wireName) {
        this.wireName = wireName;
    }

    /** The name of this kind in keys and in JSON. */
    public String wireName() {
        return wireName;
    }
}
