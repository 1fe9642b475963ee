package saltstage.coordinator.command;

/** What the commands end with, beside picocli's codes for usage and unexpected failures. */
final class ExitCode {
    static final int OK = 0;

    /** The group refused the command, or the settings are malformed. */
    static final int REJECTED = 1;

    /** No group could be reached: EX_UNAVAILABLE of sysexits.h. */
    static final int UNREACHABLE = 69;

    /** The lease was lost, or not had in time: EX_TEMPFAIL of sysexits.h. */
    static final int LEASE_LOST = 75;

    private ExitCode() {}
}
