package saltstage.store;

/** What the store has to tell beside its answers; must not block or throw. */
public interface StoreEventListener {
    /** Tells nobody. */
    StoreEventListener NONE = (event, pairs) -> {};

    /** An event, with names and values in turn. */
    void onEvent(String event, Object... pairs);
}
