package saltstage.lab.scale;

import saltstage.lab.scale.Topology.Zone;
import saltstage.net.Transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

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
    private record ZoneLink(String use, Zone from, Zone to, CountingLink link) {
        private boolean crossesRegions() {
            return !from.sharesRegionWith(to);
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
    String add(String use, Zone from, Zone to, InetSocketAddress target) throws IOException {
        CountingLink link = new CountingLink(transport, target, Topology.delay(from, to));
        links.add(new ZoneLink(use, from, to, link));
        return "127.0.0.1:" + link.address().getPort();
    }

    /** What passed on all links of a use from these zones. */
    Traffic traffic(String use, Predicate<Zone> from) {
        List<CountingLink> counted =
                links.stream()
                        .filter(each -> each.use().equals(use) && from.test(each.from()))
                        .map(ZoneLink::link)
                        .toList();
        return new Traffic(
                counted.stream().mapToLong(CountingLink::bytesToTarget).sum(),
                counted.stream().mapToLong(CountingLink::bytesFromTarget).sum(),
                counted.stream().mapToLong(CountingLink::messagesToTarget).sum());
    }

    /** From now on the regions do not hear each other. */
    void cutRegions() {
        links.stream().filter(ZoneLink::crossesRegions).forEach(each -> each.link().cut());
    }

    /** They do again. */
    void healRegions() {
        links.stream().filter(ZoneLink::crossesRegions).forEach(each -> each.link().heal());
    }

    @Override
    public void close() {
        links.forEach(each -> each.link().close());
    }
}
