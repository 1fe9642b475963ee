package saltstage.coordinator.client;

/** A monotonic clock in nanoseconds; tests give one that drifts. */
@FunctionalInterface
public interface Ticker {
    /** The system's. */
    Ticker SYSTEM = System::nanoTime;

    /** Now. */
    long nanos();
}
