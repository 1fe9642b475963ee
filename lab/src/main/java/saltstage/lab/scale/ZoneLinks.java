package saltstage.lab.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import saltstage.lab.scale.Topology.Zone;
import saltstage.net.Transport;

/**
 * The network links of an installation, each from a zone to a process in a zone. Links count
 * traffic, delay it, and can be cut.
 */
final class ZoneLinks implements AutoCloseable {
    /**
     * A link between two zones.
     *
     * @param purpose the user and use of the link; the traffic of links with the same purpose is
     *     summed
     */
    private record ZoneLink(String purpose, Zone from, Zone to, CountingProxy proxy) {
        private boolean crossesRegions() {
            return !from.isInSameRegionAs(to);
        }
    }

    /** Traffic so far. The target is the process at the end of a link. */
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

    /** Adds a link and returns the address under which it can be reached, as HOST:PORT. */
    String addLink(String purpose, Zone from, Zone to, InetSocketAddress target)
            throws IOException {
        CountingProxy proxy = new CountingProxy(transport, target, Topology.delay(from, to));
        links.add(new ZoneLink(purpose, from, to, proxy));
        return "127.0.0.1:" + proxy.address().getPort();
    }

    /** The summed traffic of all links with this purpose from the matching zones. */
    Traffic traffic(String purpose, Predicate<Zone> from) {
        List<CountingProxy> counted =
                links.stream()
                        .filter(link -> link.purpose().equals(purpose) && from.test(link.from()))
                        .map(ZoneLink::proxy)
                        .toList();
        return new Traffic(
                counted.stream().mapToLong(CountingProxy::bytesToTarget).sum(),
                counted.stream().mapToLong(CountingProxy::bytesFromTarget).sum(),
                counted.stream().mapToLong(CountingProxy::messagesToTarget).sum());
    }

    /** Cuts all links between the regions. */
    void cutRegions() {
        links.stream().filter(ZoneLink::crossesRegions).forEach(link -> link.proxy().cut());
    }

    /** Restores the links between the regions. */
    void healRegions() {
        links.stream().filter(ZoneLink::crossesRegions).forEach(link -> link.proxy().heal());
    }

    @Override
    public void close() {
        links.forEach(link -> link.proxy().close());
    }
}
