package saltstage.coordinator.command;

import saltstage.coordinator.model.Rejection;

/** The group refused a command; the command line prints why and ends with {@link ExitCode}. */
final class CommandRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Rejection rejection;

    CommandRejectedException(Rejection rejection) {
        super(rejection.why());
        this.rejection = rejection;
    }

    /** The group's reply. */
    Rejection rejection() {
        return rejection;
    }
}
