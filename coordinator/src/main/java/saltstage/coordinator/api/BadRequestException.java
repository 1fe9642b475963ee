package saltstage.coordinator.api;

/** A request that is malformed; its message is shown to the client. */
final class BadRequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    BadRequestException(String message) {
        super(message, null, false, false);
    }
}
