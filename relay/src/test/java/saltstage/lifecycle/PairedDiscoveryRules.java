package saltstage.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.function.Function;
import java.util.function.LongFunction;
import saltstage.wire.BackendList;

/** Two sets of rules that must have the same effects at every event. */
record PairedDiscoveryRules(DiscoveryRules first, DiscoveryRules second) implements DiscoveryRules {
    private Outcome applyToBoth(Function<DiscoveryRules, Outcome> event) {
        Outcome firstOutcome = event.apply(first);
        Outcome secondOutcome = event.apply(second);
        assertEquals(firstOutcome.effects(), secondOutcome.effects());
        assertEquals(firstOutcome.discoveryLost(), secondOutcome.discoveryLost());
        return new Outcome(
                new PairedDiscoveryRules(firstOutcome.next(), secondOutcome.next()),
                firstOutcome.effects(),
                firstOutcome.discoveryLost());
    }

    @Override
    public Outcome ask() {
        return applyToBoth(DiscoveryRules::ask);
    }

    @Override
    public Outcome addressChanged() {
        return applyToBoth(DiscoveryRules::addressChanged);
    }

    @Override
    public Outcome startFailed(long id) {
        return applyToBoth(rules -> rules.startFailed(id));
    }

    @Override
    public Outcome listArrived(long id, BackendList list, long heldRevision) {
        return applyToBoth(rules -> rules.listArrived(id, list, heldRevision));
    }

    @Override
    public Outcome answerTimedOut(long id) {
        return applyToBoth(rules -> rules.answerTimedOut(id));
    }

    @Override
    public Outcome callEnded(long id) {
        return applyToBoth(rules -> rules.callEnded(id));
    }

    @Override
    public String stateKey(LongFunction<String> nameOfCall) {
        return first.stateKey(nameOfCall) + second.stateKey(nameOfCall);
    }
}
