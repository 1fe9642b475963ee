package saltstage.coordinator.client;

/** A monotonic clock in nanoseconds; tests substitute one that drifts. */
@FunctionalInterface
public interface Ticker {
    /** The system's monotonic clock. */
    Ticker SYSTEM = System::nanoTime;

    /** The current time of this clock in nanoseconds. */
    long nanos();
}
