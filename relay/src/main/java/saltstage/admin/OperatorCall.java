package saltstage.admin;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.regex.Pattern;

/** One call: a word and, where it takes one, a backend's id, parted by one blank. */
record OperatorCall(String command, String backendId) {
    /**
     * The longest line, its end not counted: a word, a blank and the longest id that a list may
     * have.
     */
    static final int MAX_LINE_BYTES = 160;

    private static final Pattern ID_PATTERN = Pattern.compile("[!-~]{1,128}");

    /** A call that cannot be taken; the message is what its caller is told. */
    static final class BadCallException extends Exception {
        private static final long serialVersionUID = 1L;

        BadCallException(String why) {
            super(why);
        }
    }

    /** Reads a line without its end. */
    static OperatorCall parse(String line) throws BadCallException {
        String[] parts = line.strip().split(" +", 3);
        boolean named = parts[0].equals("SUSPEND") || parts[0].equals("RESTORE");
        if (!named && !parts[0].equals("STATUS") && !parts[0].equals("METRICS")) {
            throw new BadCallException(
                    parts[0].isEmpty()
                            ? "empty call"
                            : "unknown call, known: STATUS, METRICS, SUSPEND ID, RESTORE ID");
        }
        if (named && parts.length < 2) {
            throw new BadCallException(parts[0] + " takes the id of a backend");
        }
        if (parts.length > (named ? 2 : 1)) {
            throw new BadCallException(
                    parts[0] + (named ? " takes one id" : " takes nothing more"));
        }
        if (named && !ID_PATTERN.matcher(parts[1]).matches()) {
            throw new BadCallException("that is no id of a backend");
        }
        return new OperatorCall(parts[0], named ? parts[1] : null);
    }

    /** The whole answer, now or soon. */
    CompletionStage<String> execute(OperatorService desk) {
        switch (command) {
            case "STATUS":
                String why = desk.notReadyReason();
                return CompletableFuture.completedFuture(
                        why == null ? "done ready\r\n" : errorLine(why));
            case "METRICS":
                return CompletableFuture.completedFuture(desk.metrics() + "end\r\n");
            case "SUSPEND":
                return desk.suspend(backendId)
                        .thenApply(bad -> bad == null ? "done suspended\r\n" : errorLine(bad));
            default:
                return desk.restore(backendId)
                        .thenApply(bad -> bad == null ? "done restored\r\n" : errorLine(bad));
        }
    }

    static String errorLine(String why) {
        return "error " + why.replaceAll("[^ -~]", "?") + "\r\n";
    }
}
