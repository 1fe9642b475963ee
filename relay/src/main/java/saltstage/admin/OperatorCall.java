package saltstage.admin;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.regex.Pattern;

/** One operator call: a command and, if the command takes one, a backend id after blanks. */
record OperatorCall(String command, String backendId) {
    /**
     * The longest line without its line end: a command, a blank and the longest id that a backend
     * list may contain.
     */
    static final int MAX_LINE_BYTES = 160;

    private static final Pattern ID_PATTERN = Pattern.compile("[!-~]{1,128}");

    /** The call is invalid; the message is sent to the operator. */
    static final class BadCallException extends Exception {
        private static final long serialVersionUID = 1L;

        BadCallException(String reason) {
            super(reason);
        }
    }

    /** Parses a line without its line end. */
    static OperatorCall parse(String line) throws BadCallException {
        String[] parts = line.strip().split(" +", 3);
        boolean takesId = parts[0].equals("SUSPEND") || parts[0].equals("RESTORE");
        if (!takesId && !parts[0].equals("STATUS") && !parts[0].equals("METRICS")) {
            throw new BadCallException(
                    parts[0].isEmpty()
                            ? "empty call"
                            : "unknown call, known: STATUS, METRICS, SUSPEND ID, RESTORE ID");
        }
        if (takesId && parts.length < 2) {
            throw new BadCallException(parts[0] + " takes the id of a backend");
        }
        if (parts.length > (takesId ? 2 : 1)) {
            throw new BadCallException(
                    parts[0] + (takesId ? " takes one id" : " takes nothing more"));
        }
        if (takesId && !ID_PATTERN.matcher(parts[1]).matches()) {
            throw new BadCallException("that is no id of a backend");
        }
        return new OperatorCall(parts[0], takesId ? parts[1] : null);
    }

    /** Executes the call; the returned stage completes with the whole answer. */
    CompletionStage<String> execute(OperatorService service) {
        switch (command) {
            case "STATUS":
                String reason = service.notReadyReason();
                return CompletableFuture.completedFuture(
                        reason == null ? "done ready\r\n" : errorLine(reason));
            case "METRICS":
                return CompletableFuture.completedFuture(service.metrics() + "end\r\n");
            case "SUSPEND":
                return service.suspend(backendId)
                        .thenApply(
                                error -> error == null ? "done suspended\r\n" : errorLine(error));
            default:
                return service.restore(backendId)
                        .thenApply(error -> error == null ? "done restored\r\n" : errorLine(error));
        }
    }

    static String errorLine(String reason) {
        return "error " + reason.replaceAll("[^ -~]", "?") + "\r\n";
    }
}
