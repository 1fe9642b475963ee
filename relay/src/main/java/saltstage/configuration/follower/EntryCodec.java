package saltstage.configuration.follower;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.Entry;
import saltstage.configuration.EntryKey;
import saltstage.configuration.Mutation;
import saltstage.wire.MalformedException;

/** Encodes entries as values of the store: 8 bytes of revision, then the mutation as JSON. */
final class EntryCodec {
    private EntryCodec() {}

    static byte[] encode(Mutation mutation, long revision) {
        byte[] text = ConfigurationJson.toJson(List.of(mutation)).getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(Long.BYTES + text.length).putLong(revision).put(text).array();
    }

    /** Decodes the entry of this key; throws MalformedException if the value has another key. */
    static Entry decode(EntryKey key, byte[] value) throws MalformedException {
        if (value.length < Long.BYTES) {
            throw new MalformedException(key.text() + ": truncated");
        }
        long revision = ByteBuffer.wrap(value).getLong();
        int length = value.length - Long.BYTES;
        String text = new String(value, Long.BYTES, length, StandardCharsets.UTF_8);
        List<Mutation> mutations = ConfigurationJson.parseMutations(text);
        if (mutations.size() != 1 || !mutations.get(0).key().equals(key)) {
            throw new MalformedException(key.text() + ": holds another entry");
        }
        if (mutations.get(0).isDeletion()) {
            throw new MalformedException(key.text() + ": holds a deletion");
        }
        return new Entry(key, mutations.get(0).value(), revision);
    }
}
