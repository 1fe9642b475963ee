package saltstage.lifecycle;

import java.util.List;
import java.util.function.LongFunction;
import saltstage.lifecycle.DiscoveryCalls.Effect;
import saltstage.wire.BackendList;

/** The current rules with one fault injected, which {@link DiscoveryCallsExplorer} has to find. */
record BrokenDiscoveryRules(DiscoveryRules correct, Fault fault) implements DiscoveryRules {
    /** The injected fault, and the beginning of the violation's message. */
    enum Fault {
        NO_RETRY_AFTER_A_FAILED_START("not subscribed: "),
        TIME_OUT_IS_NOT_REPORTED("not subscribed: "),
        CALL_END_IS_NOT_REPORTED("not subscribed: "),
        OLDEST_CALL_IS_NOT_ENDED((DiscoveryCalls.MAX_CALLS + 1) + " calls"),
        CALLS_BESIDE_THE_WATCH_ARE_NOT_ENDED("calls are open beside the watch"),
        OLD_LISTS_ARE_DELIVERED("an older list was delivered"),
        ENDED_CALLS_ARE_NOT_IGNORED("an ended call has an effect");

        final String expectedViolation;

        Fault(String expectedViolation) {
            this.expectedViolation = expectedViolation;
        }
    }

    private Outcome withFault(Outcome outcome) {
        DiscoveryRules next = new BrokenDiscoveryRules(outcome.next(), fault);
        return new Outcome(next, outcome.effects(), outcome.discoveryLost());
    }

    private Outcome dropEffects(
            Fault droppingFault, Class<? extends Effect> droppedType, Outcome outcome) {
        List<Effect> remaining =
                outcome.effects().stream()
                        .filter(effect -> fault != droppingFault || !droppedType.isInstance(effect))
                        .toList();
        return withFault(new Outcome(outcome.next(), remaining, outcome.discoveryLost()));
    }

    private Outcome dropLoss(Fault droppingFault, Outcome outcome) {
        return withFault(
                new Outcome(
                        outcome.next(),
                        outcome.effects(),
                        outcome.discoveryLost() && fault != droppingFault));
    }

    @Override
    public Outcome ask() {
        return dropEffects(Fault.OLDEST_CALL_IS_NOT_ENDED, Effect.EndCall.class, correct.ask());
    }

    @Override
    public Outcome addressChanged() {
        return withFault(correct.addressChanged());
    }

    @Override
    public Outcome startFailed(long id) {
        return dropEffects(
                Fault.NO_RETRY_AFTER_A_FAILED_START,
                Effect.AskLater.class,
                correct.startFailed(id));
    }

    @Override
    public Outcome listArrived(long id, BackendList list, long heldRevision) {
        long comparedRevision =
                fault == Fault.OLD_LISTS_ARE_DELIVERED ? Long.MIN_VALUE : heldRevision;
        Outcome outcome = correct.listArrived(id, list, comparedRevision);
        if (fault == Fault.ENDED_CALLS_ARE_NOT_IGNORED && outcome.effects().isEmpty()) {
            return withFault(
                    new Outcome(outcome.next(), List.of(new Effect.DeliverList(list)), false));
        }
        return dropEffects(
                Fault.CALLS_BESIDE_THE_WATCH_ARE_NOT_ENDED, Effect.EndCall.class, outcome);
    }

    @Override
    public Outcome answerTimedOut(long id) {
        return dropLoss(Fault.TIME_OUT_IS_NOT_REPORTED, correct.answerTimedOut(id));
    }

    @Override
    public Outcome callEnded(long id) {
        return dropLoss(Fault.CALL_END_IS_NOT_REPORTED, correct.callEnded(id));
    }

    @Override
    public String stateKey(LongFunction<String> nameOfCall) {
        return correct.stateKey(nameOfCall);
    }
}
