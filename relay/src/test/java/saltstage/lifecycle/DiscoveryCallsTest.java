package saltstage.lifecycle;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import saltstage.lifecycle.DiscoveryCallsExplorer.Explored;
import saltstage.lifecycle.DiscoveryCallsExplorer.Violation;

/**
 * Every order of events that discovery's calls can meet, up to a depth; and rules that must be
 * rejected.
 */
@Timeout(120)
class DiscoveryCallsTest {
    private static final int DEPTH = 11;

    private static void accepts(String what, DiscoveryRules rules) {
        Explored explored = DiscoveryCallsExplorer.explore(rules, DEPTH);
        System.out.println("accepted: " + what + ", " + explored);
    }

    private static void rejects(String what, DiscoveryRules rules, String found) {
        Violation violation =
                assertThrows(Violation.class, () -> DiscoveryCallsExplorer.explore(rules, DEPTH));
        System.out.println("rejected: " + what + ", " + violation.getMessage());
        assertTrue(violation.getMessage().startsWith(found), violation.getMessage());
    }

    @Test
    void everyOrderOfElevenEventsKeepsTheGuarantees() {
        accepts("the rules in force", DiscoveryRules.inForce());
    }

    @Test
    void effectsAreThoseOfTheFormerBookkeepingOnceMended() {
        accepts(
                "both",
                new PairedDiscoveryRules(DiscoveryRules.inForce(), new FormerDiscoveryRules(true)));
    }

    @Test
    void formerBookkeepingIsFoundToBecomeDeaf() {
        rejects("the former bookkeeping", new FormerDiscoveryRules(false), "deaf: ");
    }

    @ParameterizedTest
    @EnumSource
    void faultPutInIsFound(BrokenDiscoveryRules.Fault fault) {
        DiscoveryRules broken = new BrokenDiscoveryRules(DiscoveryRules.inForce(), fault);
        rejects(fault.toString(), broken, fault.found);
    }
}
