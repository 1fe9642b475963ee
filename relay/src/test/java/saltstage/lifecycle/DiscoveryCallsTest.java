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
 * Guards against a relay that stops asking discovery, or that keeps too many calls open. Such
 * faults come from rare orders of events, so all orders up to a depth are explored. Faulty rules
 * must be rejected, which shows that the exploration finds such faults.
 */
@Timeout(120)
class DiscoveryCallsTest {
    private static final int MAX_EVENTS = 11;

    private static void assertAccepted(String description, DiscoveryRules rules) {
        Explored explored = DiscoveryCallsExplorer.explore(rules, MAX_EVENTS);
        System.out.println("accepted: " + description + ", " + explored);
    }

    private static void assertRejected(
            String description, DiscoveryRules rules, String expectedViolation) {
        Violation violation =
                assertThrows(
                        Violation.class, () -> DiscoveryCallsExplorer.explore(rules, MAX_EVENTS));
        System.out.println("rejected: " + description + ", " + violation.getMessage());
        assertTrue(violation.getMessage().startsWith(expectedViolation), violation.getMessage());
    }

    @Test
    void everyOrderOfElevenEventsKeepsTheGuarantees() {
        assertAccepted("the rules in force", DiscoveryRules.current());
    }

    @Test
    void effectsAreThoseOfTheFormerBookkeepingOnceFixed() {
        assertAccepted(
                "both",
                new PairedDiscoveryRules(DiscoveryRules.current(), new FormerDiscoveryRules(true)));
    }

    @Test
    void formerBookkeepingIsFoundToStopAsking() {
        assertRejected(
                "the former bookkeeping", new FormerDiscoveryRules(false), "not subscribed: ");
    }

    @ParameterizedTest
    @EnumSource
    void injectedFaultIsFound(BrokenDiscoveryRules.Fault fault) {
        DiscoveryRules broken = new BrokenDiscoveryRules(DiscoveryRules.current(), fault);
        assertRejected(fault.toString(), broken, fault.expectedViolation);
    }
}
