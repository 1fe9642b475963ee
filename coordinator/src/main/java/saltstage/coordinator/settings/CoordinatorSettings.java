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
 * What an operator's file says of a group: one file for all of its replicas and clients. The block
 * {@code coordinator} of {@code deploy/coordinator.hcl} shows all of it.
 */
public final class CoordinatorSettings {
    /** Where a replica is heard: by its peers and by clients. */
    public record Place(InetSocketAddress peers, InetSocketAddress clients) {}

    private final String group;
    private final Path dir;
    private final Map<String, Place> members = new LinkedHashMap<>();
    private final Map<String, InetSocketAddress> reach = new LinkedHashMap<>();
    private final Map<String, DistributorSettings> distributors = new LinkedHashMap<>();
    private final double speed;
    private final int snapshotEvery;
    private final int mostPending;
    private final int speaks;
    private final double clockRate;
    private final long wallOff;

    private CoordinatorSettings(HclBlock block) throws MalformedException {
        group = block.requiredString("group");
        dir = Path.of(block.string("dir", "coordinator-data"));
        speed = block.integer("speed", 7, 1, 10);
        snapshotEvery = (int) block.integer("snapshot_every", 10_000, 100, 1_000_000);
        mostPending = (int) block.integer("most_pending", 4_096, 16, 100_000);
        speaks =
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
            Place place = new Place(address(member, "peers"), address(member, "clients"));
            if (members.put(member.labels().get(0), place) != null) {
                throw member.blockError("'" + member.labels().get(0) + "' is given twice");
            }
            member.rejectUnknown();
        }
        if (members.isEmpty()) {
            throw block.blockError("no 'member' is given; one is enough");
        }
        for (HclBlock other : block.blocks("reach")) {
            if (other.labels().size() != 1) {
                throw other.blockError("takes one label, the replica's name");
            }
            reach.put(other.labels().get(0), address(other, "at"));
            other.rejectUnknown();
        }
        HclBlock trial = block.block("trial");
        clockRate = trial == null ? 1 : trial.integer("clock_percent", 100, 50, 200) / 100.0;
        wallOff = trial == null ? 0 : trial.integer("wall_off_ms", 0, -7_200_000, 7_200_000);
        if (trial != null) {
            trial.rejectUnknown();
        }
        block.rejectUnknown();
    }

    private static InetSocketAddress address(HclBlock block, String name)
            throws MalformedException {
        String text = block.requiredString(name);
        try {
            return BackendList.parseAddress(text);
        } catch (MalformedException bad) {
            throw block.attributeError(
                    name, "an address in figures with a port, such as \"127.0.0.1:7101\"");
        }
    }

    /** Reads a file; what is wrong with it is said in one line, with file, line and name. */
    public static CoordinatorSettings read(Path file) throws MalformedException {
        try {
            return of(file.toString(), Files.readString(file));
        } catch (CharacterCodingException e) {
            throw new MalformedException(file + ": not UTF-8 text");
        } catch (IOException e) {
            throw new MalformedException("settings: cannot read " + file);
        }
    }

    /** Takes the text of a file that errors shall call by this name. */
    public static CoordinatorSettings of(String name, String text) throws MalformedException {
        HclBlock top = HclFile.parse(name, text);
        HclBlock block = top.block("coordinator");
        if (block == null) {
            throw new MalformedException(name + ": no block 'coordinator'");
        }
        CoordinatorSettings read = new CoordinatorSettings(block);
        read.distributors.putAll(DistributorSettings.all(top));
        top.rejectUnknown();
        return read;
    }

    /** The replicas that the file names. */
    public Map<String, Place> members() {
        return members;
    }

    /** A distributor that the file names. */
    public DistributorSettings distributor(String name) throws MalformedException {
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

    /** How this replica of it is set up; one that joins is heard where it says. */
    public ReplicaSettings replica(String name, Path otherDir, Place joining)
            throws MalformedException {
        Place place = joining == null ? members.get(name) : joining;
        if (place == null) {
            throw new MalformedException(
                    "no member '" + name + "' in the settings; there are " + members.keySet());
        }
        Map<String, InetSocketAddress> reached = new LinkedHashMap<>();
        Map<String, String> clients = new LinkedHashMap<>();
        members.forEach(
                (other, at) -> {
                    reached.put(other, at.peers());
                    clients.put(other, HostPort.format(at.clients()));
                });
        reached.putAll(reach);
        List<String> first = new ArrayList<>(members.keySet());
        if (joining != null) { // it belongs to the group only once it was taken in
            first.remove(name);
        }
        return new ReplicaSettings(
                group,
                name,
                first,
                place.peers(),
                place.clients(),
                reached,
                clients,
                otherDir == null ? dir.resolve(name) : otherDir,
                speed,
                snapshotEvery,
                mostPending,
                speaks,
                clockRate,
                () -> System.currentTimeMillis() + wallOff);
    }
}
