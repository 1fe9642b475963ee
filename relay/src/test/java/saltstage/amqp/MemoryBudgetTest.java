package saltstage.amqp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.qpid.protonj2.types.Symbol;
import org.apache.qpid.protonj2.types.transport.Attach;
import org.junit.jupiter.api.Test;

/** Guards against AMQP clients that together occupy more memory than the relay has. */
class MemoryBudgetTest {
    private static final long LIMIT = 1_000_000;

    @Test
    void oneClientMayHoldHalfAndNotKeepOthersFromTheirShare() {
        MemoryBudget budget = new MemoryBudget(LIMIT);
        MemoryBudget.Account large = budget.open();
        MemoryBudget.Account small = budget.open();
        large.add(LIMIT / 2 + 1);
        assertFalse(large.hasRoomFor(1));
        assertTrue(small.hasRoomFor(LIMIT / 4));
        assertFalse(small.hasRoomFor(LIMIT / 4 + 1));
        assertTrue(large.isOverShare());
        assertFalse(small.isOverShare());
        large.close();
        assertTrue(small.hasRoomFor(LIMIT / 2));
        assertEquals(0, budget.heldBytes());
    }

    @Test
    void closedAccountReleasesAllAndIgnoresLaterChanges() {
        MemoryBudget budget = new MemoryBudget(LIMIT);
        MemoryBudget.Account account = budget.open();
        account.add(100);
        account.close();
        account.add(-100);
        account.close();
        assertEquals(0, budget.heldBytes());
    }

    @Property(tries = 500)
    void clientsThatAskForRoomNeverHoldMoreThanTheLimitTogether(@ForAll List<Integer> requests) {
        MemoryBudget budget = new MemoryBudget(LIMIT);
        List<MemoryBudget.Account> accounts = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            accounts.add(budget.open());
        }
        for (int i = 0; i < requests.size(); i++) {
            MemoryBudget.Account account =
                    accounts.get(Math.floorMod(requests.get(i), accounts.size()));
            long bytes = Math.floorMod(requests.get(i), LIMIT / 2);
            if (account.hasRoomFor(bytes)) {
                account.add(bytes);
            }
            assertTrue(budget.heldBytes() <= LIMIT, "held " + budget.heldBytes());
        }
    }

    @Test
    void attachWithManyPropertiesCountsAsManyTimesALink() {
        Map<Symbol, Object> properties = new HashMap<>();
        for (int i = 0; i < 1_000; i++) {
            properties.put(Symbol.valueOf("p" + i), i);
        }
        long bytes = MemoryEstimates.link(new Attach().setName("l").setProperties(properties));
        // A map entry with its key and value takes at least 72 bytes of the heap.
        assertTrue(bytes > MemoryEstimates.LINK_BYTES + 72 * properties.size(), "bytes " + bytes);
    }
}
