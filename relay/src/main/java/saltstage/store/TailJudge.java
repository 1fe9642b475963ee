package saltstage.store;

/**
 * Says what the end of the log is where the next group cannot be read. At most one group is ever unforced,
 * and it is written in one piece: first the group, behind it its mirror (small groups), or, only once the
 * group is durable, its mark (large ones). So a later group proves that this one was acknowledged; a mirror
 * of it brings it back, whether it was acknowledged or not; a mark proves that it was; and with none of these
 * it cannot have been, unless more than one place of it was changed.
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
    public record Evidence(boolean laterGroup, boolean mirrorOfIt, boolean markOfIt, boolean restIsZero,
            boolean mirrorOrMarkOfLast) { }

    private TailJudge() {
    }

    /** Judges. */
    public static Verdict judge(Evidence found) {
        if (found.laterGroup()) {
            return Verdict.REFUSE;
        }
        if (found.mirrorOfIt()) {
            return Verdict.RESTORE;
        }
        if (found.markOfIt()) {
            return Verdict.REFUSE;
        }
        return found.restIsZero() || found.mirrorOrMarkOfLast() ? Verdict.CLEAN : Verdict.TORN;
    }
}
