package saltstage.lifecycle;

import java.util.List;
import java.util.function.LongFunction;
import saltstage.lifecycle.DiscoveryCalls.Effect;
import saltstage.wire.BackendList;

/**
 * The rules that {@link DiscoveryCallsExplorer} explores: the current rules, or faulty rules that
 * it has to reject.
 */
interface DiscoveryRules {
    /** The outcome of an event. */
    record Outcome(DiscoveryRules next, List<Effect> effects, boolean discoveryLost) {}

    Outcome ask();

    Outcome addressChanged();

    Outcome startFailed(long id);

    Outcome listArrived(long id, BackendList list, long heldRevision);

    Outcome answerTimedOut(long id);

    Outcome callEnded(long id);

    /** Returns a key that identifies the state, with {@code nameOfCall} in place of call ids. */
    String stateKey(LongFunction<String> nameOfCall);

    /** Returns the rules of {@link DiscoveryCalls}. */
    static DiscoveryRules current() {
        return new CurrentRules(DiscoveryCalls.none());
    }

    /** Adapts {@link DiscoveryCalls}. */
    record CurrentRules(DiscoveryCalls calls) implements DiscoveryRules {
        private static Outcome outcome(DiscoveryCalls.Step step) {
            return new Outcome(
                    new CurrentRules(step.next()), step.effects(), step.lossReason().isPresent());
        }

        @Override
        public Outcome ask() {
            return outcome(calls.ask());
        }

        @Override
        public Outcome addressChanged() {
            return outcome(calls.addressChanged());
        }

        @Override
        public Outcome startFailed(long id) {
            return outcome(calls.startFailed(id));
        }

        @Override
        public Outcome listArrived(long id, BackendList list, long heldRevision) {
            return outcome(calls.listArrived(id, list, heldRevision));
        }

        @Override
        public Outcome answerTimedOut(long id) {
            return outcome(calls.answerTimedOut(id));
        }

        @Override
        public Outcome callEnded(long id) {
            return outcome(calls.callEnded(id, "ended"));
        }

        @Override
        public String stateKey(LongFunction<String> nameOfCall) {
            StringBuilder key = new StringBuilder();
            calls.calls()
                    .forEach(call -> key.append(nameOfCall.apply(call.id())).append(call.phase()));
            return key.toString();
        }
    }
}
