package saltstage.store;

/** What the store has to tell beside its answers; must not block or throw. */
public interface StoreEvents {
    /** Tells nobody. */
    StoreEvents NONE = (event, pairs) -> {};

    /** An event, with names and values in turn. */
    void tell(String event, Object... pairs);
}
