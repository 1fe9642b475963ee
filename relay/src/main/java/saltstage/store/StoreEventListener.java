package saltstage.store;

/**
 * Receives events of the store, such as repairs and failures. Implementations must not block or
 * throw.
 */
public interface StoreEventListener {
    /** A listener that ignores all events. */
    StoreEventListener NONE = (event, pairs) -> {};

    /** Receives an event with alternating field names and values. */
    void onEvent(String event, Object... pairs);
}
