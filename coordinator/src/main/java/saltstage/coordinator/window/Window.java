package saltstage.coordinator.window;

/**
 * The current state of a maintenance window. Times are in milliseconds since 1970; 0 means not yet.
 *
 * @param start when the window is planned to begin
 * @param begun when the drain was allowed to begin
 * @param since when the present state began
 * @param proven how much of the capacity was proven to be back, in thousandths of a mean connection
 *     load
 * @param why the reason for the present state or start
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
        /** The window has a start and waits for it. */
        PLANNED,
        /** No start was found yet; planning is repeated when something changes. */
        PUT_OFF,
        /** An operator paused the window. */
        PAUSED,
        /** The nodes take no new connections, and their connections are moved away. */
        DRAINING,
        /** The nodes are out and may be worked on. */
        OUT,
        /** The nodes are back, but still cold. */
        WARMING,
        /** The drain was aborted; the nodes are returning to service. */
        RETURNING,
        /** The work is done and the return of the capacity is proven. */
        DONE,
        /** The window was given up before its work began. */
        WITHDRAWN,
        /** The latest end can no longer be met. */
        EXPIRED;

        /** Whether the capacity counts as out, except for the proven part. */
        public boolean isInProgress() {
            return this == DRAINING || this == OUT || this == WARMING || this == RETURNING;
        }

        /** Whether the window may still begin. */
        public boolean isWaiting() {
            return this == PLANNED || this == PUT_OFF || this == PAUSED;
        }
    }

    Window withState(State newState, long now, String reason) {
        return new Window(id, wish, newState, capacity, start, begun, now, proven, reason);
    }

    Window withSchedule(long newStart, State newState, long now, String reason) {
        return new Window(id, wish, newState, capacity, newStart, begun, now, proven, reason);
    }

    Window beginDrain(long now) {
        return new Window(id, wish, State.DRAINING, capacity, start, now, now, 0, "begun");
    }

    Window withProvenCapacity(long newlyProven) {
        return new Window(
                id, wish, state, capacity, start, begun, since, Math.max(proven, newlyProven), why);
    }

    /** The planned end, counted from the actual begin or else from the planned start. */
    long plannedEnd() {
        return (begun > 0 ? begun : start) + wish.durationMs();
    }

    /** Whether the window is in progress past its planned end. */
    public boolean isOverdue(long now) {
        return state.isInProgress() && now > plannedEnd();
    }

    /** The capacity that is missing at a moment, as far as is known now. */
    long lossAt(long timeMs, long now, int coldPermille) {
        if (state.isInProgress()) {
            long unproven = capacity - proven;
            if (timeMs <= now || isOverdue(now) || state == State.RETURNING) {
                return unproven; // counts until proven back, whatever was planned
            }
            return Math.min(unproven, plannedLoss(timeMs, begun, coldPermille));
        }
        return state == State.PLANNED ? plannedLoss(timeMs, start, coldPermille) : 0;
    }

    private long plannedLoss(long timeMs, long begin, int coldPermille) {
        long warmUpStart = begin + wish.drainMs() + wish.workMs();
        if (timeMs < begin || timeMs >= warmUpStart + wish.warmMs()) {
            return 0;
        }
        if (timeMs < warmUpStart || wish.warmMs() == 0) {
            return capacity;
        }
        long coldLoss = capacity - capacity * coldPermille / 1_000;
        return coldLoss - coldLoss * (timeMs - warmUpStart) / wish.warmMs();
    }
}
