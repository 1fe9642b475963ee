package saltstage.wire;

/** The connection to the backend that serves one attempt, independent of the protocol. */
public interface BackendConnection {
    /** Closes the connection immediately. Any thread may call this, and more than once. */
    void close();
}
