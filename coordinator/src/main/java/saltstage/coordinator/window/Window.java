package saltstage.coordinator.window;

/**
 * A window as it stands. Times in milliseconds since 1970; 0: not yet.
 *
 * @param start when it is planned to begin
 * @param begun when its drain was allowed
 * @param since when its present state began
 * @param proven what of its capacity was proven to be back, in thousandths of a mean connection
 *     load
 * @param why how it came to its present place
 */
public record Window(
        long id,
        WindowRequest wish,
        State state,
        long capacity,
        long start,
        long begun,
        long since,
        long proven,
        String why) {
    /** The states of a window. */
    public enum State {
        /** It waits for its time. */
        PLANNED,
        /** No time was found yet that would do; it is tried again when something changes. */
        PUT_OFF,
        /** An operator holds it back. */
        PAUSED,
        /** Its nodes take nothing new, and their connections leave. */
        DRAINING,
        /** Its nodes may be worked on. */
        OUT,
        /** Its nodes are back and cold. */
        WARMING,
        /** It was turned back while it drained; its nodes are being given back. */
        RETURNING,
        /** All of it was done and proven. */
        DONE,
        /** Nothing came of it. */
        WITHDRAWN,
        /** Its time ran out before a moment was found. */
        EXPIRED;

        /** Whether its capacity counts as out, but for what was proven. */
        public boolean isInProgress() {
            return this == DRAINING || this == OUT || this == WARMING || this == RETURNING;
        }

        /** Whether it may still begin. */
        public boolean isWaiting() {
            return this == PLANNED || this == PUT_OFF || this == PAUSED;
        }
    }

    Window withState(State next, long at, String because) {
        return new Window(id, wish, next, capacity, start, begun, at, proven, because);
    }

    Window withSchedule(long otherStart, State next, long now, String because) {
        return new Window(id, wish, next, capacity, otherStart, begun, now, proven, because);
    }

    Window beginDrain(long now) {
        return new Window(id, wish, State.DRAINING, capacity, start, now, now, 0, "begun");
    }

    Window withProvenCapacity(long back) {
        return new Window(
                id, wish, state, capacity, start, begun, since, Math.max(proven, back), why);
    }

    /** When it should be over, from its begin or its plan. */
    long plannedEnd() {
        return (begun > 0 ? begun : start) + wish.durationMs();
    }

    /** Whether it has taken longer than it was to. */
    public boolean isOverdue(long now) {
        return state.isInProgress() && now > plannedEnd();
    }

    /** What of its capacity is missing at a moment, as far as is known now. */
    long lossAt(long at, long now, int coldPermille) {
        if (state.isInProgress()) {
            long least = capacity - proven;
            if (at <= now || isOverdue(now) || state == State.RETURNING) {
                return least; // until it is proven back, whatever was planned
            }
            return Math.min(least, plannedLoss(at, begun, coldPermille));
        }
        return state == State.PLANNED ? plannedLoss(at, start, coldPermille) : 0;
    }

    private long plannedLoss(long at, long from, int coldPermille) {
        long warming = from + wish.drainMs() + wish.workMs();
        if (at < from || at >= warming + wish.warmMs()) {
            return 0;
        }
        if (at < warming || wish.warmMs() == 0) {
            return capacity;
        }
        long cold = capacity - capacity * coldPermille / 1_000;
        return cold - cold * (at - warming) / wish.warmMs();
    }
}
