package saltstage.lifecycle;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import saltstage.wire.BackendList;

/**
 * Decides which calls to discovery are begun, kept and ended: an immutable state and its
 * transitions, without locks, threads or time, which {@link DiscoverySubscription} adds.
 *
 * <p>Guarantees, in whatever order events come, as long as the caller performs every effect of
 * every {@link Step}:
 *
 * <ul>
 *   <li>a watch is open, or a call is awaited whose end or time-out is still to come, or the caller
 *       has been told to ask again ({@link Effect.AskLater} or {@link Step#lossReason});
 *   <li>there are at most {@link #MAX_CALLS} calls, and a single one once a call is answered;
 *   <li>events of a call that has ended, or that was told to end, change nothing and have no
 *       effects;
 *   <li>a list that is older than the one held is not delivered.
 * </ul>
 *
 * @param calls the calls that have not ended, the oldest first
 * @param nextId the number of the call that is begun next
 */
record DiscoveryCalls(List<Call> calls, long nextId) {
    /**
     * Each has a thread and a descriptor; where the service is asked the oldest has had over 6 s by
     * then.
     */
    static final int MAX_CALLS = 4;

    /** How far a call has come. */
    enum Phase {
        /** Begun and not answered; no other call is begun beside it. */
        AWAITED,
        /**
         * Not answered in time: it is kept, as it may answer yet, and another may be begun beside
         * it.
         */
        SUPERSEDED,
        /** Answered: the one call that delivers lists. */
        WATCHING
    }

    /** A call that has not ended; its number is never given to another. */
    record Call(long id, Phase phase) {}

    /** What the caller has to do, in the order given. */
    sealed interface Effect {
        /**
         * Begin a call and its time-out; where that is impossible, report it by {@link
         * #startFailed}.
         */
        record StartCall(long id) implements Effect {}

        /** End a call; what it still reports is ignored. */
        record EndCall(long id) implements Effect {}

        /** Hand the list on. */
        record DeliverList(BackendList list) implements Effect {}

        /** Say that a list was dropped because it is older than the one held. */
        record DropOldList(BackendList list) implements Effect {}

        /** Ask again once the time has passed that a call may take to answer. */
        record AskLater() implements Effect {}
    }

    /**
     * The outcome of one event.
     *
     * @param next the state from now on
     * @param effects what has to be done
     * @param lossReason present if discovery was lost: the reason; the caller has to see to it that
     *     {@link #ask} follows after a pause
     */
    record Step(DiscoveryCalls next, List<Effect> effects, Optional<String> lossReason) {}

    /** No call has been made. */
    static DiscoveryCalls none() {
        return new DiscoveryCalls(List.of(), 1);
    }

    /** Begins a call, unless a watch is open or a call is awaited. */
    Step ask() {
        if (calls.stream().anyMatch(call -> call.phase() != Phase.SUPERSEDED)) {
            return unchanged();
        }
        List<Call> kept = new ArrayList<>(calls);
        List<Effect> effects = new ArrayList<>();
        if (kept.size() >= MAX_CALLS) {
            effects.add(new Effect.EndCall(kept.remove(0).id()));
        }
        return begin(kept, effects);
    }

    /** Discovery is at another address: all calls end, and one to the new address is begun. */
    Step addressChanged() {
        List<Effect> effects = new ArrayList<>();
        calls.forEach(call -> effects.add(new Effect.EndCall(call.id())));
        return begin(List.of(), effects);
    }

    /** A call that was to be begun could not be, for want of a thread. */
    Step startFailed(long id) {
        if (find(id).isEmpty()) {
            return unchanged();
        }
        return new Step(
                new DiscoveryCalls(without(id), nextId),
                List.of(new Effect.AskLater()),
                Optional.empty());
    }

    /** A call has brought a list: it is the watch from now on, and all others end. */
    Step listArrived(long id, BackendList list, long heldRevision) {
        if (find(id).isEmpty()) {
            return unchanged();
        }
        List<Effect> effects = new ArrayList<>();
        without(id).forEach(other -> effects.add(new Effect.EndCall(other.id())));
        boolean old = list.revision() < heldRevision;
        effects.add(old ? new Effect.DropOldList(list) : new Effect.DeliverList(list));
        List<Call> watch = List.of(new Call(id, Phase.WATCHING));
        return new Step(new DiscoveryCalls(watch, nextId), List.copyOf(effects), Optional.empty());
    }

    /**
     * The time that a call may take to answer has passed: if it has not answered, it is superseded.
     */
    Step answerTimedOut(long id) {
        if (find(id).filter(call -> call.phase() == Phase.AWAITED).isEmpty()) {
            return unchanged();
        }
        List<Call> marked = new ArrayList<>(calls);
        marked.replaceAll(call -> call.id() == id ? new Call(id, Phase.SUPERSEDED) : call);
        return new Step(
                new DiscoveryCalls(List.copyOf(marked), nextId),
                List.of(),
                Optional.of("no answer yet"));
    }

    /**
     * A call has ended by itself. The end of a superseded one is no loss: its time-out was one
     * already.
     */
    Step callEnded(long id, String reason) {
        Optional<Call> ended = find(id);
        Optional<String> loss =
                ended.filter(call -> call.phase() != Phase.SUPERSEDED).map(call -> reason);
        return new Step(new DiscoveryCalls(without(id), nextId), List.of(), loss);
    }

    private Step begin(List<Call> kept, List<Effect> before) {
        List<Call> begun = new ArrayList<>(kept);
        begun.add(new Call(nextId, Phase.AWAITED));
        List<Effect> effects = new ArrayList<>(before);
        effects.add(new Effect.StartCall(nextId));
        return new Step(
                new DiscoveryCalls(List.copyOf(begun), nextId + 1),
                List.copyOf(effects),
                Optional.empty());
    }

    private Step unchanged() {
        return new Step(this, List.of(), Optional.empty());
    }

    private Optional<Call> find(long id) {
        return calls.stream().filter(call -> call.id() == id).findFirst();
    }

    private List<Call> without(long id) {
        return calls.stream().filter(call -> call.id() != id).toList();
    }
}
