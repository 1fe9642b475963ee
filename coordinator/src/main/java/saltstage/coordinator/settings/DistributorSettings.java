package saltstage.coordinator.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltstage.config.HclBlock;
import saltstage.configuration.ConfigurationLimits;
import saltstage.wire.BackendList;
import saltstage.wire.MalformedException;

/**
 * The settings of a distributor, from a block {@code distributor} of a group's settings file.
 *
 * @param listenAddress the address at which it serves relays
 * @param sourceAddresses client addresses of the replicas that it follows, in order of preference
 * @param dir the directory in which it stores its configuration
 */
public record DistributorSettings(
        String name,
        String zone,
        InetSocketAddress listenAddress,
        List<InetSocketAddress> sourceAddresses,
        Path dir) {
    private static final String NAME_PATTERN = "[!-~]{1,100}";

    /** Reads all blocks {@code distributor} of a file, by the distributor's name. */
    static Map<String, DistributorSettings> readAll(HclBlock top) throws MalformedException {
        Map<String, DistributorSettings> distributors = new LinkedHashMap<>();
        for (HclBlock block : top.blocks("distributor")) {
            if (block.labels().size() != 1 || !block.labels().get(0).matches(NAME_PATTERN)) {
                throw block.blockError("takes one label, the distributor's name");
            }
            DistributorSettings settings = readBlock(block);
            block.rejectUnknown();
            if (distributors.put(settings.name(), settings) != null) {
                throw block.blockError("'" + settings.name() + "' is given twice");
            }
        }
        return distributors;
    }

    private static DistributorSettings readBlock(HclBlock block) throws MalformedException {
        String name = block.labels().get(0);
        String zone = block.requiredString("zone");
        if (!zone.matches(NAME_PATTERN) || zone.length() > ConfigurationLimits.MAX_ZONE_LENGTH) {
            throw block.attributeError("zone", "a name without blanks, such as \"a1\"");
        }
        List<InetSocketAddress> sources = new ArrayList<>();
        for (String source : block.strings("sources")) {
            sources.add(parseAddress(block, "sources", source));
        }
        if (sources.isEmpty()) {
            throw block.blockError("'sources' is missing: the replicas' client addresses");
        }
        InetSocketAddress listenAddress =
                parseAddress(block, "clients", block.requiredString("clients"));
        Path dir = Path.of(block.string("dir", "distributor-data")).resolve(name);
        return new DistributorSettings(name, zone, listenAddress, sources, dir);
    }

    private static InetSocketAddress parseAddress(HclBlock block, String attribute, String text)
            throws MalformedException {
        try {
            return BackendList.parseAddress(text);
        } catch (MalformedException malformed) {
            throw block.attributeError(
                    attribute, "addresses in figures with a port, such as \"127.0.0.1:7201\"");
        }
    }
}
