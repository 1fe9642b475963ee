package saltstage.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import saltstage.lab.scale.Topology.Zone;
import saltstage.net.Transport;

/**
 * The links of an installation, each from a zone to a process of a zone; they count, delay and can
 * be cut.
 */
final class ZoneLinks implements AutoCloseable {
    /**
     * One link.
     *
     * @param use who uses it for what: links are counted together by it
     */
    private record ZoneLink(String purpose, Zone from, Zone to, CountingProxy proxy) {
        private boolean crossesRegions() {
            return !from.isInSameRegionAs(to);
        }
    }

    /** What passed so far. */
    record Traffic(long bytesToTargets, long bytesFromTargets, long requests) {
        Traffic since(Traffic before) {
            return new Traffic(
                    bytesToTargets - before.bytesToTargets,
                    bytesFromTargets - before.bytesFromTargets,
                    requests - before.requests);
        }

        long bytes() {
            return bytesToTargets + bytesFromTargets;
        }
    }

    private final Transport transport;
    private final List<ZoneLink> links = new ArrayList<>();

    ZoneLinks(Transport transport) {
        this.transport = transport;
    }

    /** Adds a link; returns where it is to be reached, as HOST:PORT. */
    String addLink(String use, Zone from, Zone to, InetSocketAddress target) throws IOException {
        CountingProxy link = new CountingProxy(transport, target, Topology.delay(from, to));
        links.add(new ZoneLink(use, from, to, link));
        return "127.0.0.1:" + link.address().getPort();
    }

    /** What passed on all links of a use from these zones. */
    Traffic traffic(String use, Predicate<Zone> from) {
        List<CountingProxy> counted =
                links.stream()
                        .filter(each -> each.purpose().equals(use) && from.test(each.from()))
                        .map(ZoneLink::proxy)
                        .toList();
        return new Traffic(
                counted.stream().mapToLong(CountingProxy::bytesToTarget).sum(),
                counted.stream().mapToLong(CountingProxy::bytesFromTarget).sum(),
                counted.stream().mapToLong(CountingProxy::messagesToTarget).sum());
    }

    /** From now on the regions do not hear each other. */
    void cutRegions() {
        links.stream().filter(ZoneLink::crossesRegions).forEach(each -> each.proxy().cut());
    }

    /** They do again. */
    void healRegions() {
        links.stream().filter(ZoneLink::crossesRegions).forEach(each -> each.proxy().heal());
    }

    @Override
    public void close() {
        links.forEach(each -> each.proxy().close());
    }
}
