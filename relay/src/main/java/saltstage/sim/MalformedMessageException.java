package saltstage.sim;

/** Input that is not the wire; its message names the line and the field. */
public final class MalformedMessageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
        super(message);
    }
}
