package saltstage.coordinator.command;

/** The exit codes of the commands, beside picocli's codes for usage errors and failures. */
final class ExitCode {
    static final int OK = 0;

    /** The group rejected the command, or the settings are malformed. */
    static final int REJECTED = 1;

    /** No replica of the group could be reached: EX_UNAVAILABLE of sysexits.h. */
    static final int UNREACHABLE = 69;

    /** The lease was lost, or not granted in time: EX_TEMPFAIL of sysexits.h. */
    static final int LEASE_LOST = 75;

    private ExitCode() {}
}
