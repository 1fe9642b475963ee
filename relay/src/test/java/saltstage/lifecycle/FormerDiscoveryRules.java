package saltstage.lifecycle;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongFunction;
import saltstage.lifecycle.DiscoveryCalls.Effect;
import saltstage.wire.BackendList;

/**
 * Former rules with a fault: besides the set of calls they had a reference to the newest call,
 * which could refer to a call that had ended, and then no call was made any more. With {@code
 * forgetsEndedCall}, ending a call clears that reference too, which was the first fix.
 */
final class FormerDiscoveryRules implements DiscoveryRules {
    private static final long NONE = 0;

    private final boolean forgetsEndedCall;
    private final Set<Long> calls = new TreeSet<>();
    private final Set<Long> superseded = new TreeSet<>();
    private long newest = NONE;
    private long watch = NONE;
    private long nextId = 1;

    FormerDiscoveryRules(boolean forgetsEndedCall) {
        this.forgetsEndedCall = forgetsEndedCall;
    }

    private FormerDiscoveryRules copy() {
        FormerDiscoveryRules copy = new FormerDiscoveryRules(forgetsEndedCall);
        copy.calls.addAll(calls);
        copy.superseded.addAll(superseded);
        copy.newest = newest;
        copy.watch = watch;
        copy.nextId = nextId;
        return copy;
    }

    private void endCall(long id, List<Effect> effects) {
        calls.remove(id);
        newest = forgetsEndedCall && newest == id ? NONE : newest;
        effects.add(new Effect.EndCall(id));
    }

    private void startCall(List<Effect> effects) {
        calls.add(nextId);
        newest = nextId;
        effects.add(new Effect.StartCall(nextId++));
    }

    @Override
    public Outcome ask() {
        FormerDiscoveryRules next = copy();
        List<Effect> effects = new ArrayList<>();
        if (watch == NONE && (newest == NONE || superseded.contains(newest))) {
            if (calls.size() >= DiscoveryCalls.MAX_CALLS) {
                next.endCall(calls.iterator().next(), effects);
            }
            next.startCall(effects);
        }
        return new Outcome(next, effects, false);
    }

    @Override
    public Outcome addressChanged() {
        FormerDiscoveryRules next = copy();
        List<Effect> effects = new ArrayList<>();
        calls.forEach(id -> next.endCall(id, effects));
        next.watch = NONE;
        next.startCall(effects);
        return new Outcome(next, effects, false);
    }

    @Override
    public Outcome startFailed(long id) {
        FormerDiscoveryRules next = copy();
        next.calls.remove(id);
        next.newest = NONE;
        return new Outcome(next, List.of(new Effect.AskLater()), false);
    }

    @Override
    public Outcome listArrived(long id, BackendList list, long heldRevision) {
        FormerDiscoveryRules next = copy();
        List<Effect> effects = new ArrayList<>();
        if (calls.contains(id)) {
            next.watch = id;
            calls.stream()
                    .filter(other -> other != id)
                    .forEach(other -> next.endCall(other, effects));
            boolean outdated = list.revision() < heldRevision;
            effects.add(outdated ? new Effect.DropOldList(list) : new Effect.DeliverList(list));
        }
        return new Outcome(next, effects, false);
    }

    @Override
    public Outcome answerTimedOut(long id) {
        FormerDiscoveryRules next = copy();
        boolean lost = calls.contains(id) && watch != id;
        if (lost) {
            next.superseded.add(id);
        }
        return new Outcome(next, List.of(), lost);
    }

    @Override
    public Outcome callEnded(long id) {
        FormerDiscoveryRules next = copy();
        if (!next.calls.remove(id)) {
            return new Outcome(next, List.of(), false);
        }
        next.watch = watch == id ? NONE : watch;
        next.newest = newest == id ? NONE : newest;
        return new Outcome(
                next, List.of(), watch == id || watch == NONE && !superseded.contains(id));
    }

    @Override
    public String stateKey(LongFunction<String> nameOfCall) {
        StringBuilder key = new StringBuilder();
        for (long id : calls) {
            key.append(nameOfCall.apply(id)).append(superseded.contains(id) ? "superseded" : "");
        }
        return key
                + " newest="
                + (newest == NONE ? "none" : nameOfCall.apply(newest) + superseded.contains(newest))
                + " watch="
                + (watch == NONE ? "none" : nameOfCall.apply(watch));
    }
}
