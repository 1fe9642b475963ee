package saltstage.lifecycle;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import saltstage.wire.BackendList;

/**
 * Decides which calls to discovery are started, kept and ended. It is an immutable state with its
 * transitions; {@link DiscoverySubscription} adds locks, threads and time.
 *
 * <p>It guarantees the following for every order of events, as long as the caller performs every
 * effect of every {@link Step}:
 *
 * <ul>
 *   <li>a watch is open, or a call is awaited whose end or time-out is still to come, or the caller
 *       has been requested to ask again ({@link Effect.AskLater} or {@link Step#lossReason});
 *   <li>there are at most {@link #MAX_CALLS} calls, and a single one once a call is answered;
 *   <li>events of a call that has ended, or whose end was requested, change nothing and have no
 *       effects;
 *   <li>a list that is older than the one held is not delivered.
 * </ul>
 *
 * @param calls the calls that have not ended, the oldest first
 * @param nextId the id of the next call to start
 */
record DiscoveryCalls(List<Call> calls, long nextId) {
    /**
     * Limits calls, as each takes a thread and a descriptor. By the time the limit is reached the
     * oldest call has had over 6 s to answer, where discovery is called directly and not through an
     * agent.
     */
    static final int MAX_CALLS = 4;

    /** The phase of a call. */
    enum Phase {
        /** Started and not answered; no other call is started beside it. */
        AWAITED,
        /**
         * Not answered in time: the call is kept, as it may still be answered, and another may be
         * started beside it.
         */
        SUPERSEDED,
        /** Answered: the one call that delivers lists. */
        WATCHING
    }

    /** A call that has not ended; its id is never reused. */
    record Call(long id, Phase phase) {}

    /** An action that the caller has to perform, in the order given. */
    sealed interface Effect {
        /**
         * Start a call and its time-out; if that is impossible, report it by {@link #startFailed}.
         */
        record StartCall(long id) implements Effect {}

        /** End a call; its later events are ignored. */
        record EndCall(long id) implements Effect {}

        /** Deliver the list to the listener. */
        record DeliverList(BackendList list) implements Effect {}

        /** Log that a list was dropped because it is older than the one held. */
        record DropOldList(BackendList list) implements Effect {}

        /** Ask again after the time that a call may take to answer. */
        record AskLater() implements Effect {}
    }

    /**
     * The outcome of one event.
     *
     * @param next the state after the event
     * @param effects the actions to perform
     * @param lossReason the reason if discovery was lost, else empty; the caller then has to call
     *     {@link #ask} after a pause
     */
    record Step(DiscoveryCalls next, List<Effect> effects, Optional<String> lossReason) {}

    /** Returns the state before the first call. */
    static DiscoveryCalls none() {
        return new DiscoveryCalls(List.of(), 1);
    }

    /** Starts a call, unless a watch is open or a call is awaited. */
    Step ask() {
        if (calls.stream().anyMatch(call -> call.phase() != Phase.SUPERSEDED)) {
            return unchanged();
        }
        List<Call> remaining = new ArrayList<>(calls);
        List<Effect> effects = new ArrayList<>();
        if (remaining.size() >= MAX_CALLS) {
            effects.add(new Effect.EndCall(remaining.remove(0).id()));
        }
        return startNextCall(remaining, effects);
    }

    /** Discovery is at another address: all calls end, and one to the new address is started. */
    Step addressChanged() {
        List<Effect> effects = new ArrayList<>();
        calls.forEach(call -> effects.add(new Effect.EndCall(call.id())));
        return startNextCall(List.of(), effects);
    }

    /** A call could not be started, as no thread was available. */
    Step startFailed(long id) {
        if (find(id).isEmpty()) {
            return unchanged();
        }
        return new Step(
                new DiscoveryCalls(without(id), nextId),
                List.of(new Effect.AskLater()),
                Optional.empty());
    }

    /** A call has delivered a list: it becomes the watch, and all other calls end. */
    Step listArrived(long id, BackendList list, long heldRevision) {
        if (find(id).isEmpty()) {
            return unchanged();
        }
        List<Effect> effects = new ArrayList<>();
        without(id).forEach(other -> effects.add(new Effect.EndCall(other.id())));
        boolean outdated = list.revision() < heldRevision;
        effects.add(outdated ? new Effect.DropOldList(list) : new Effect.DeliverList(list));
        List<Call> watch = List.of(new Call(id, Phase.WATCHING));
        return new Step(new DiscoveryCalls(watch, nextId), List.copyOf(effects), Optional.empty());
    }

    /**
     * The time that a call may take to answer has passed: a call without an answer is superseded.
     */
    Step answerTimedOut(long id) {
        if (find(id).filter(call -> call.phase() == Phase.AWAITED).isEmpty()) {
            return unchanged();
        }
        List<Call> updated = new ArrayList<>(calls);
        updated.replaceAll(call -> call.id() == id ? new Call(id, Phase.SUPERSEDED) : call);
        return new Step(
                new DiscoveryCalls(List.copyOf(updated), nextId),
                List.of(),
                Optional.of("no answer yet"));
    }

    /**
     * A call has ended by itself. The end of a superseded call is no loss, as its time-out was
     * already reported as one.
     */
    Step callEnded(long id, String reason) {
        Optional<Call> ended = find(id);
        Optional<String> loss =
                ended.filter(call -> call.phase() != Phase.SUPERSEDED).map(call -> reason);
        return new Step(new DiscoveryCalls(without(id), nextId), List.of(), loss);
    }

    private Step startNextCall(List<Call> remaining, List<Effect> precedingEffects) {
        List<Call> updated = new ArrayList<>(remaining);
        updated.add(new Call(nextId, Phase.AWAITED));
        List<Effect> effects = new ArrayList<>(precedingEffects);
        effects.add(new Effect.StartCall(nextId));
        return new Step(
                new DiscoveryCalls(List.copyOf(updated), nextId + 1),
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
