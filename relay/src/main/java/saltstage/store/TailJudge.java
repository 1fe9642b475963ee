package saltstage.store;

/**
 * Says what the end of the log is where the next group cannot be read. At most one group is ever
 * unforced, and it is written in one piece: first the group, behind it its mirror (small groups),
 * or, only once the group is durable, its mark (large ones). So a later group proves that this one
 * was acknowledged; a mirror of it brings it back, whether it was acknowledged or not; a mark
 * proves that it was, and so does the file that says how far the store has acknowledged. With none
 * of these it was not, as far as the disk kept it.
 */
public final class TailJudge {
    /** What follows. */
    public enum Verdict {
        /** The log ends here, as it should. */
        CLEAN,
        /** An unacknowledged write was cut off: what it left is dropped, and told. */
        TORN,
        /** The group is damaged and its mirror is whole: it is put back. */
        RESTORE,
        /** Something acknowledged is damaged: nothing is served. */
        REFUSE
    }

    /** What was found from the first unreadable byte on. */
    public record Evidence(
            boolean laterGroup,
            boolean mirrorOfIt,
            boolean markOfIt,
            boolean restIsZero,
            boolean mirrorOrMarkOfLast) {}

    private TailJudge() {}

    /** Judges; acknowledged: the file beside the log says that this group was. */
    public static Verdict judge(Evidence found, boolean acknowledged) {
        if (found.laterGroup()) {
            return Verdict.REFUSE;
        }
        if (found.mirrorOfIt()) {
            return Verdict.RESTORE;
        }
        if (found.markOfIt() || acknowledged) {
            return Verdict.REFUSE;
        }
        return found.restIsZero() || found.mirrorOrMarkOfLast() ? Verdict.CLEAN : Verdict.TORN;
    }
}
