package saltstage.coordinator.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltstage.config.HclBlock;
import saltstage.config.HclFile;
import saltstage.coordinator.group.GroupState;
import saltstage.coordinator.model.HostPort;
import saltstage.coordinator.replica.ReplicaSettings;
import saltstage.wire.BackendList;
import saltstage.wire.MalformedException;

/**
 * The settings of a group, from one file for all of its replicas and clients. The block {@code
 * coordinator} of {@code deploy/coordinator.hcl} shows all settings.
 */
public final class CoordinatorSettings {
    /** The addresses at which a replica listens for its peers and for clients. */
    public record MemberAddresses(InetSocketAddress peerAddress, InetSocketAddress clientAddress) {}

    private final String group;
    private final Path dir;
    private final Map<String, MemberAddresses> members = new LinkedHashMap<>();
    private final Map<String, InetSocketAddress> peerAddressOverrides = new LinkedHashMap<>();
    private final Map<String, DistributorSettings> distributors = new LinkedHashMap<>();
    private final double engineClockSpeed;
    private final int snapshotIntervalEntries;
    private final int maxPendingEntries;
    private final int supportedFeatureLevel;
    private final double clockRate;
    private final long wallClockOffsetMs;

    private CoordinatorSettings(HclBlock block) throws MalformedException {
        group = block.requiredString("group");
        dir = Path.of(block.string("dir", "coordinator-data"));
        engineClockSpeed = block.integer("speed", 7, 1, 10);
        snapshotIntervalEntries = (int) block.integer("snapshot_every", 10_000, 100, 1_000_000);
        maxPendingEntries = (int) block.integer("most_pending", 4_096, 16, 100_000);
        supportedFeatureLevel =
                (int)
                        block.integer(
                                "speaks",
                                GroupState.SUPPORTED_FEATURE_LEVEL,
                                1,
                                GroupState.SUPPORTED_FEATURE_LEVEL);
        for (HclBlock member : block.blocks("member")) {
            if (member.labels().size() != 1) {
                throw member.blockError("takes one label, the replica's name");
            }
            MemberAddresses addresses =
                    new MemberAddresses(
                            requiredAddress(member, "peers"), requiredAddress(member, "clients"));
            if (members.put(member.labels().get(0), addresses) != null) {
                throw member.blockError("'" + member.labels().get(0) + "' is given twice");
            }
            member.rejectUnknown();
        }
        if (members.isEmpty()) {
            throw block.blockError("no 'member' is given; one is enough");
        }
        for (HclBlock reach : block.blocks("reach")) {
            if (reach.labels().size() != 1) {
                throw reach.blockError("takes one label, the replica's name");
            }
            peerAddressOverrides.put(reach.labels().get(0), requiredAddress(reach, "at"));
            reach.rejectUnknown();
        }
        HclBlock trial = block.block("trial");
        clockRate = trial == null ? 1 : trial.integer("clock_percent", 100, 50, 200) / 100.0;
        wallClockOffsetMs =
                trial == null ? 0 : trial.integer("wall_off_ms", 0, -7_200_000, 7_200_000);
        if (trial != null) {
            trial.rejectUnknown();
        }
        block.rejectUnknown();
    }

    private static InetSocketAddress requiredAddress(HclBlock block, String name)
            throws MalformedException {
        String text = block.requiredString(name);
        try {
            return BackendList.parseAddress(text);
        } catch (MalformedException malformed) {
            throw block.attributeError(
                    name, "an address in figures with a port, such as \"127.0.0.1:7101\"");
        }
    }

    /** Reads a file; an error message is one line with the file, the line and the setting. */
    public static CoordinatorSettings read(Path file) throws MalformedException {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (CharacterCodingException e) {
            throw new MalformedException(file + ": not UTF-8 text");
        } catch (IOException e) {
            throw new MalformedException("settings: cannot read " + file);
        }
    }

    /** Parses the text of a settings file; error messages begin with the given file name. */
    public static CoordinatorSettings parse(String name, String text) throws MalformedException {
        HclBlock top = HclFile.parse(name, text);
        HclBlock block = top.block("coordinator");
        if (block == null) {
            throw new MalformedException(name + ": no block 'coordinator'");
        }
        CoordinatorSettings settings = new CoordinatorSettings(block);
        settings.distributors.putAll(DistributorSettings.readAll(top));
        top.rejectUnknown();
        return settings;
    }

    /** The addresses of the replicas in the file, by the replica's name. */
    public Map<String, MemberAddresses> members() {
        return members;
    }

    /** The settings of the distributor with this name. */
    public DistributorSettings distributorSettings(String name) throws MalformedException {
        DistributorSettings distributor = distributors.get(name);
        if (distributor == null) {
            throw new MalformedException(
                    "no distributor '"
                            + name
                            + "' in the settings; there are "
                            + distributors.keySet());
        }
        return distributor;
    }

    /** The group's name. */
    public String group() {
        return group;
    }

    /**
     * The settings of one replica of the group.
     *
     * @param dirOverride the directory of the replica, or null for the one from the file
     * @param joiningAddresses the addresses of a replica that joins the group, or null for one that
     *     the file names
     */
    public ReplicaSettings replicaSettings(
            String name, Path dirOverride, MemberAddresses joiningAddresses)
            throws MalformedException {
        MemberAddresses ownAddresses =
                joiningAddresses == null ? members.get(name) : joiningAddresses;
        if (ownAddresses == null) {
            throw new MalformedException(
                    "no member '" + name + "' in the settings; there are " + members.keySet());
        }
        Map<String, InetSocketAddress> peerAddresses = new LinkedHashMap<>();
        Map<String, String> clientAddresses = new LinkedHashMap<>();
        members.forEach(
                (member, addresses) -> {
                    peerAddresses.put(member, addresses.peerAddress());
                    clientAddresses.put(member, HostPort.format(addresses.clientAddress()));
                });
        peerAddresses.putAll(peerAddressOverrides);
        List<String> initialMembers = new ArrayList<>(members.keySet());
        if (joiningAddresses != null) { // becomes a member only when the group accepts it
            initialMembers.remove(name);
        }
        return new ReplicaSettings(
                group,
                name,
                initialMembers,
                ownAddresses.peerAddress(),
                ownAddresses.clientAddress(),
                peerAddresses,
                clientAddresses,
                dirOverride == null ? dir.resolve(name) : dirOverride,
                engineClockSpeed,
                snapshotIntervalEntries,
                maxPendingEntries,
                supportedFeatureLevel,
                clockRate,
                () -> System.currentTimeMillis() + wallClockOffsetMs);
    }
}
