package saltstage.store;

/**
 * Classifies the end of the log from the first group that cannot be read. At most one group is
 * unforced at any time, and the parts are written in this order: the group, then behind it either
 * its mirror (small groups, in the same write) or its commit marker (large groups, only once the
 * group is durable).
 *
 * <p>A later group therefore proves that the unreadable group was acknowledged. A mirror allows the
 * group to be restored, whether it was acknowledged or not. A commit marker proves that it was
 * acknowledged, and so does the file with the acknowledged sequence number. Without any of these
 * the group was not acknowledged, as far as the disk has kept what was written.
 */
public final class TailClassifier {
    /** The state of the end of the log. */
    public enum TailState {
        /** The log ends here as expected. */
        CLEAN,
        /** An unacknowledged write was cut off. Its remains are dropped and reported. */
        TORN,
        /** The group is damaged but its mirror is intact. The group is restored from it. */
        RESTORABLE,
        /** Acknowledged data is damaged. The store must not be opened. */
        DAMAGED
    }

    /** What a scan found from the first unreadable byte on. */
    public record Findings(
            boolean hasLaterGroup,
            boolean hasMirror,
            boolean hasCommitMarker,
            boolean isRestZero,
            boolean hasTrailerOfPrevious) {}

    private TailClassifier() {}

    /**
     * Classifies the findings; {@code acknowledged} says whether the sequence number file lists the
     * unreadable group as acknowledged.
     */
    public static TailState classify(Findings findings, boolean acknowledged) {
        if (findings.hasLaterGroup()) {
            return TailState.DAMAGED;
        }
        if (findings.hasMirror()) {
            return TailState.RESTORABLE;
        }
        if (findings.hasCommitMarker() || acknowledged) {
            return TailState.DAMAGED;
        }
        return findings.isRestZero() || findings.hasTrailerOfPrevious()
                ? TailState.CLEAN
                : TailState.TORN;
    }
}
