package saltstage.coordinator.replica;

/** The operation of the first log entry of each leader's term; it changes nothing. */
enum NewTermOperation {
    INSTANCE
}
