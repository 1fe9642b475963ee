package saltstage.coordinator.replica;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.UUID;
import saltstage.coordinator.group.GroupCodec;
import saltstage.store.Store;

/**
 * Which group and member a disk belongs to, and a name of the disk's own. A member whose disk was
 * wiped has forgotten its votes: under the old name it could vote twice in one term, so it comes
 * with a new disk name and the group refuses it until its old self was removed.
 */
record Identity(String group, String member, String disk, List<String> first) {
    /** How a refusal for another disk begins. */
    static final String OTHER_DISK_PREFIX = "other-disk";

    private static final byte[] KEY = "m/identity".getBytes(StandardCharsets.US_ASCII);

    /** What the disk says, or what is written on a new one. */
    static Identity loadOrCreate(Store store, ReplicaSettings settings) throws IOException {
        byte[] kept = store.get(KEY);
        if (kept == null) {
            Identity made =
                    new Identity(
                            settings.group(),
                            settings.name(),
                            UUID.randomUUID().toString(),
                            List.copyOf(settings.initialMembers()));
            store.put(KEY, GroupCodec.toCbor(made));
            return made;
        }
        Identity read = GroupCodec.cborMapper().readValue(kept, Identity.class);
        if (!read.group().equals(settings.group()) || !read.member().equals(settings.name())) {
            throw new IOException(
                    "the disk belongs to "
                            + read.member()
                            + " of group "
                            + read.group()
                            + ", not to "
                            + settings.name()
                            + " of "
                            + settings.group());
        }
        return read;
    }
}
