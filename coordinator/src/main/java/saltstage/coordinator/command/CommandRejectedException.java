package saltstage.coordinator.command;

import saltstage.coordinator.model.Rejection;

/** The group rejected a command; the process exits with {@link ExitCode#REJECTED}. */
final class CommandRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Rejection rejection;

    CommandRejectedException(Rejection rejection) {
        super(rejection.why());
        this.rejection = rejection;
    }

    /** The reply of the group. */
    Rejection rejection() {
        return rejection;
    }
}
