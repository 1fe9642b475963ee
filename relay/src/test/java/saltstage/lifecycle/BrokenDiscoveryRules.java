package saltstage.lifecycle;

import java.util.List;
import java.util.function.LongFunction;
import saltstage.lifecycle.DiscoveryCalls.Effect;
import saltstage.wire.HostList;

/** The rules in force with one fault put in, which {@link DiscoveryCallsExplorer} has to find. */
record BrokenDiscoveryRules(DiscoveryRules sound, Fault fault) implements DiscoveryRules {
    /** What is wrong, and how the violation that is found begins. */
    enum Fault {
        NOBODY_ASKS_AFTER_A_FAILED_START("deaf: "),
        NOBODY_IS_TOLD_OF_A_TIME_OUT("deaf: "),
        NOBODY_IS_TOLD_OF_AN_END("deaf: "),
        OLDEST_CALL_IS_NOT_ENDED((DiscoveryCalls.MOST_CALLS + 1) + " calls"),
        CALLS_BESIDE_THE_WATCH_ARE_NOT_ENDED("calls beside the watch"),
        OLD_LISTS_ARE_DELIVERED("the list goes back"),
        ENDED_CALLS_ARE_HEARD("a call that was ended matters");

        final String found;

        Fault(String found) {
            this.found = found;
        }
    }

    private Outcome as(Outcome outcome) {
        DiscoveryRules next = new BrokenDiscoveryRules(outcome.next(), fault);
        return new Outcome(next, outcome.effects(), outcome.lost());
    }

    private Outcome without(Fault dropping, Class<? extends Effect> dropped, Outcome outcome) {
        List<Effect> kept =
                outcome.effects().stream()
                        .filter(effect -> fault != dropping || !dropped.isInstance(effect))
                        .toList();
        return as(new Outcome(outcome.next(), kept, outcome.lost()));
    }

    private Outcome untold(Fault dropping, Outcome outcome) {
        return as(
                new Outcome(
                        outcome.next(), outcome.effects(), outcome.lost() && fault != dropping));
    }

    @Override
    public Outcome ask() {
        return without(Fault.OLDEST_CALL_IS_NOT_ENDED, Effect.EndCall.class, sound.ask());
    }

    @Override
    public Outcome addressChanged() {
        return as(sound.addressChanged());
    }

    @Override
    public Outcome startFailed(long id) {
        return without(
                Fault.NOBODY_ASKS_AFTER_A_FAILED_START,
                Effect.AskLater.class,
                sound.startFailed(id));
    }

    @Override
    public Outcome listArrived(long id, HostList list, long heldRevision) {
        long held = fault == Fault.OLD_LISTS_ARE_DELIVERED ? Long.MIN_VALUE : heldRevision;
        Outcome outcome = sound.listArrived(id, list, held);
        if (fault == Fault.ENDED_CALLS_ARE_HEARD && outcome.effects().isEmpty()) {
            return as(new Outcome(outcome.next(), List.of(new Effect.DeliverList(list)), false));
        }
        return without(Fault.CALLS_BESIDE_THE_WATCH_ARE_NOT_ENDED, Effect.EndCall.class, outcome);
    }

    @Override
    public Outcome answerTimedOut(long id) {
        return untold(Fault.NOBODY_IS_TOLD_OF_A_TIME_OUT, sound.answerTimedOut(id));
    }

    @Override
    public Outcome callEnded(long id) {
        return untold(Fault.NOBODY_IS_TOLD_OF_AN_END, sound.callEnded(id));
    }

    @Override
    public String shape(LongFunction<String> nameOfCall) {
        return sound.shape(nameOfCall);
    }
}
