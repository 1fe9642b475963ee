package saltstage.memory;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotSame;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertSame;
import static org.junit.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.List;
import org.junit.Test;
import saltstage.memory.RequestContext.Phase;
import saltstage.wire.HostList;
import saltstage.wire.HostList.State;

/**
 * Guards what a try looks at when it is really sent: may this very process still be given new work?
 */
public class PeersTest {
    private final Peers peers = new Peers();

    private List<Peer> told(boolean all, HostList.Entry... entries) {
        return peers.update(new HostList(1, all, List.of(entries)));
    }

    private static HostList.Entry entry(String uid, State state, long started) {
        return new HostList.Entry(
                uid,
                new InetSocketAddress("127.0.0.1", 1),
                "a",
                0,
                state,
                1,
                Instant.ofEpochMilli(started));
    }

    @Test
    public void drainingKeepsItsPlaceButTakesNothingNew() {
        told(true, entry("s-1", State.READY, 0));
        Peer held = peers.find("s-1");
        assertTrue(held.takesNew());
        assertEquals(List.of(), told(false, entry("s-1", State.DRAINING, 0)));
        assertSame(held, peers.find("s-1"));
        assertFalse(held.takesNew());
    }

    @Test
    public void restartedProcessIsAnotherOne() {
        told(true, entry("s-1", State.READY, 0));
        Peer old = peers.find("s-1");
        assertEquals(List.of(old), told(false, entry("s-1", State.READY, 5)));
        assertNotSame(old, peers.find("s-1"));
        assertFalse(old.takesNew());
        assertTrue(peers.find("s-1").takesNew());
    }

    @Test
    public void goneAndMissingFromTheWholeListHaveEnded() {
        told(true, entry("s-1", State.READY, 0), entry("s-2", State.READY, 0));
        Peer first = peers.find("s-1");
        Peer second = peers.find("s-2");
        assertEquals(List.of(first), told(false, entry("s-1", State.GONE, 0)));
        assertNull(peers.find("s-1"));
        assertEquals(List.of(second), told(true, entry("s-3", State.READY, 0)));
        assertFalse(second.takesNew());
    }

    @Test
    public void answerTimeOutAndLeavingEndARequestOnce() {
        RequestContext context = new RequestContext(1, null, Instant.EPOCH, null);
        assertTrue(context.end(Phase.WAITING));
        assertFalse("a second answer", context.end(Phase.WAITING));
        assertNull("a try after the answer", context.begin(null, Instant.EPOCH));
    }
}
