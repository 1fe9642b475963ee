package saltstage.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Reading of kernel counters, also where the host does not have them. */
class ProcessUsageTest {
    @Test
    void counterIsReadByItsNameAndUnknownWhereItIsMissing() {
        List<String> lines =
                List.of(
                        "TcpExt: SyncookiesSent ListenOverflows",
                        "TcpExt: 3 192",
                        "IpExt: A",
                        "IpExt: 1");
        assertEquals(192, ProcessUsage.counter(lines, "ListenOverflows"));
        assertEquals(ProcessUsage.UNKNOWN, ProcessUsage.counter(lines, "ListenDrops"));
        assertEquals(ProcessUsage.UNKNOWN, ProcessUsage.counter(List.of(), "ListenOverflows"));
    }

    @Test
    void ownThreadsAndDescriptorsAreCounted() {
        assertTrue(ProcessUsage.threads() > 1);
        assertTrue(ProcessUsage.descriptors() > 1);
    }
}
