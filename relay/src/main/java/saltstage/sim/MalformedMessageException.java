package saltstage.sim;

/** Thrown for input that violates the simulator protocol; its text names the line and the field. */
public final class MalformedMessageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
        super(message);
    }
}
