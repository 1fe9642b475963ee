package saltstage.coordinator.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltstage.config.HclBlock;
import saltstage.config.HclFile;
import saltstage.wire.BackendList;
import saltstage.wire.MalformedException;

/**
 * The settings of a region's agent.
 *
 * @param relayAdminAddresses addresses for operator calls to relays, by the relay's name
 * @param nodeAddresses addresses at which the nodes are pinged, by the node's name
 * @param workCommand the command to run while nodes are out; if empty, the nodes are only kept out
 *     for the time that the window reserves
 */
public record AgentSettings(
        String region,
        Map<String, InetSocketAddress> relayAdminAddresses,
        Map<String, InetSocketAddress> nodeAddresses,
        List<String> workCommand) {
    /** Reads the block {@code agent} of a file. */
    public static AgentSettings read(Path file) throws MalformedException {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new MalformedException("settings: cannot read " + file);
        }
    }

    /** Parses the text of a settings file; error messages begin with the given file name. */
    public static AgentSettings parse(String name, String text) throws MalformedException {
        HclBlock top = HclFile.parse(name, text);
        List<HclBlock> agents = top.blocks("agent");
        if (agents.size() != 1 || agents.get(0).labels().size() != 1) {
            throw new MalformedException(
                    name + ": takes one block 'agent' with one label, its region");
        }
        HclBlock agent = agents.get(0);
        AgentSettings settings =
                new AgentSettings(
                        agent.labels().get(0),
                        readAddresses(agent, "relay", "admin"),
                        readAddresses(agent, "node", "at"),
                        agent.strings("work"));
        agent.rejectUnknown();
        top.rejectUnknown();
        if (settings.relayAdminAddresses().isEmpty() || settings.nodeAddresses().isEmpty()) {
            throw agent.blockError("names no 'relay' or no 'node'");
        }
        return settings;
    }

    private static Map<String, InetSocketAddress> readAddresses(
            HclBlock agent, String type, String attribute) throws MalformedException {
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        for (HclBlock block : agent.blocks(type)) {
            String text = block.requiredString(attribute);
            try {
                if (block.labels().size() != 1
                        || addresses.put(block.labels().get(0), BackendList.parseAddress(text))
                                != null) {
                    throw block.blockError("takes one label, a name of its own");
                }
            } catch (MalformedException malformed) {
                throw malformed.getMessage().equals("bad address")
                        ? block.attributeError(attribute, "an address in figures with a port")
                        : malformed;
            }
            block.rejectUnknown();
        }
        return addresses;
    }
}
