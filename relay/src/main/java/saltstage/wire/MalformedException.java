package saltstage.wire;

/** What came is not what the protocol allows; the message is one plain line. */
public final class MalformedException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Says what is wrong. */
    public MalformedException(String message) {
        super(message);
    }
}
