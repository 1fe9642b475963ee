package saltstage.coordinator.replica;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.UUID;
import saltstage.coordinator.group.GroupCodec;
import saltstage.store.Store;

/**
 * The group and member that a disk belongs to, and a random id of the disk. A member whose disk was
 * wiped has lost its votes: under its old name it could vote twice in one term. It therefore has a
 * new disk id, and the group refuses it until the old member has been removed. The component names
 * are part of the stored form.
 *
 * @param first the names of the group's initial members
 */
record Identity(String group, String member, String disk, List<String> first) {
    /** Prefix of the reason given when a member with another disk is refused. */
    static final String OTHER_DISK_PREFIX = "other-disk";

    private static final byte[] KEY = "m/identity".getBytes(StandardCharsets.US_ASCII);

    /** Reads the identity from the store; creates it from the settings if the store has none. */
    static Identity loadOrCreate(Store store, ReplicaSettings settings) throws IOException {
        byte[] stored = store.get(KEY);
        if (stored == null) {
            Identity created =
                    new Identity(
                            settings.group(),
                            settings.name(),
                            UUID.randomUUID().toString(),
                            List.copyOf(settings.initialMembers()));
            store.put(KEY, GroupCodec.toCbor(created));
            return created;
        }
        Identity loaded = GroupCodec.cborMapper().readValue(stored, Identity.class);
        if (!loaded.group().equals(settings.group()) || !loaded.member().equals(settings.name())) {
            throw new IOException(
                    "the disk belongs to "
                            + loaded.member()
                            + " of group "
                            + loaded.group()
                            + ", not to "
                            + settings.name()
                            + " of "
                            + settings.group());
        }
        return loaded;
    }
}
