package saltstage.store;

/**
 * Says what the end of the log is where the next group cannot be read. At most one group is ever
 * unforced, and it is written in one piece: first the group, behind it its mirror (small groups),
 * or, only once the group is durable, its mark (large ones). So a later group proves that this one
 * was acknowledged; a mirror of it brings it back, whether it was acknowledged or not; a mark
 * proves that it was, and so does the file that says how far the store has acknowledged. With none
 * of these it was not, as far as the disk kept it.
 */
public final class TailClassifier {
    /** What follows. */
    public enum TailState {
        /** The log ends here, as it should. */
        CLEAN,
        /** An unacknowledged write was cut off: what it left is dropped, and told. */
        TORN,
        /** The group is damaged and its mirror is whole: it is put back. */
        RESTORABLE,
        /** Something acknowledged is damaged: nothing is served. */
        DAMAGED
    }

    /** What was found from the first unreadable byte on. */
    public record Findings(
            boolean hasLaterGroup,
            boolean hasMirror,
            boolean hasCommitMarker,
            boolean isRestZero,
            boolean hasTrailerOfPrevious) {}

    private TailClassifier() {}

    /** Judges; acknowledged: the file beside the log says that this group was. */
    public static TailState classify(Findings found, boolean acknowledged) {
        if (found.hasLaterGroup()) {
            return TailState.DAMAGED;
        }
        if (found.hasMirror()) {
            return TailState.RESTORABLE;
        }
        if (found.hasCommitMarker() || acknowledged) {
            return TailState.DAMAGED;
        }
        return found.isRestZero() || found.hasTrailerOfPrevious()
                ? TailState.CLEAN
                : TailState.TORN;
    }
}
