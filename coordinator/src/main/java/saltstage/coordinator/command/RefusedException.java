package saltstage.coordinator.command;

import saltstage.coordinator.model.Rejection;

/** The group refused a command; the command line prints why and ends with {@link ExitCode}. */
final class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient Rejection refusal;

    RefusedException(Rejection refusal) {
        super(refusal.why());
        this.refusal = refusal;
    }

    /** The group's reply. */
    Rejection refusal() {
        return refusal;
    }
}
