package saltstage.coordinator.replica;

/** The first entry of each leadership; it changes nothing. */
enum NewTermOperation {
    INSTANCE
}
