package saltstage.session;

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
import saltstage.session.RequestContext.Phase;
import saltstage.wire.BackendList;
import saltstage.wire.BackendList.State;

/**
 * Guards against sending a new request to a backend process that is draining, gone or restarted: an
 * attempt checks its backend immediately before it sends.
 */
public class BackendRegistryTest {
    private final BackendRegistry backends = new BackendRegistry();

    private List<Backend> update(boolean full, BackendList.Entry... entries) {
        return backends.update(new BackendList(1, full, List.of(entries)));
    }

    private static BackendList.Entry entry(String uid, State state, long startedMs) {
        return new BackendList.Entry(
                uid,
                new InetSocketAddress("127.0.0.1", 1),
                "a",
                0,
                state,
                1,
                Instant.ofEpochMilli(startedMs));
    }

    @Test
    public void drainingBackendStaysListedButAcceptsNoRequests() {
        update(true, entry("s-1", State.READY, 0));
        Backend known = backends.find("s-1");
        assertTrue(known.canAcceptRequests());
        assertEquals(List.of(), update(false, entry("s-1", State.DRAINING, 0)));
        assertSame(known, backends.find("s-1"));
        assertFalse(known.canAcceptRequests());
    }

    @Test
    public void restartedProcessIsANewBackend() {
        update(true, entry("s-1", State.READY, 0));
        Backend old = backends.find("s-1");
        assertEquals(List.of(old), update(false, entry("s-1", State.READY, 5)));
        assertNotSame(old, backends.find("s-1"));
        assertFalse(old.canAcceptRequests());
        assertTrue(backends.find("s-1").canAcceptRequests());
    }

    @Test
    public void goneBackendsAndThoseMissingFromAFullListHaveEnded() {
        update(true, entry("s-1", State.READY, 0), entry("s-2", State.READY, 0));
        Backend first = backends.find("s-1");
        Backend second = backends.find("s-2");
        assertEquals(List.of(first), update(false, entry("s-1", State.GONE, 0)));
        assertNull(backends.find("s-1"));
        assertEquals(List.of(second), update(true, entry("s-3", State.READY, 0)));
        assertFalse(second.canAcceptRequests());
    }

    @Test
    public void requestEndsOnlyOnce() {
        RequestContext context = new RequestContext(1, null, Instant.EPOCH, null);
        assertTrue(context.end(Phase.WAITING));
        assertFalse("a request got a second answer", context.end(Phase.WAITING));
        assertNull("an attempt began after the answer", context.beginAttempt(null, Instant.EPOCH));
    }
}
