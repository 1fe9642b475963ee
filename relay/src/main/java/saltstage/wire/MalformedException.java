package saltstage.wire;

/** Signals input that violates a protocol or file format. The message is a single line. */
public final class MalformedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message that says what is wrong. */
    public MalformedException(String message) {
        super(message);
    }
}
