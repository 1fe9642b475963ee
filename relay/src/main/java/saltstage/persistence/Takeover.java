package saltstage.persistence;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import saltstage.Api.LearnedState;
import saltstage.wire.BackendList;

/**
 * The state that a relay process leaves to its successor: its backend list, its learned state and
 * every backend id that was ever listed.
 */
public record Takeover(
        BackendList list,
        Instant writtenAt,
        LearnedState learnedState,
        Set<String> knownBackendIds) {
    private static final int MAX_COUNT = 1 << 20;

    /** Encodes this state. */
    public byte[] toBytes() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(out);
        data.writeLong(list.revision());
        List<byte[]> entries = list.entries().stream().map(RelayStateCodec::encodeEntry).toList();
        writeParts(data, entries);
        writeParts(
                data,
                List.of(
                        RelayStateCodec.encodeLearnedState(
                                new RelayStateCodec.TimestampedState(writtenAt, learnedState))));
        data.writeInt(knownBackendIds.size());
        for (String id : knownBackendIds) {
            data.writeUTF(id);
        }
        return out.toByteArray();
    }

    private static void writeParts(DataOutputStream data, Collection<byte[]> parts)
            throws IOException {
        data.writeInt(parts.size());
        for (byte[] part : parts) {
            data.writeInt(part.length);
            data.write(part);
        }
    }

    /**
     * Decodes a state.
     *
     * @throws IOException if the bytes are malformed; the message names the reason
     */
    public static Takeover fromBytes(byte[] bytes) throws IOException {
        DataInputStream data = new DataInputStream(new ByteArrayInputStream(bytes));
        long revision = data.readLong();
        List<BackendList.Entry> entries = new ArrayList<>();
        for (byte[] part : readParts(data)) {
            entries.add(RelayStateCodec.decodeEntry(part));
        }
        List<byte[]> learnedParts = readParts(data);
        if (learnedParts.size() != 1) {
            throw new IOException(
                    "takeover: " + learnedParts.size() + " parts of learned state instead of 1");
        }
        RelayStateCodec.TimestampedState timestamped =
                RelayStateCodec.decodeLearnedState(learnedParts.get(0));
        List<String> knownIds = new ArrayList<>();
        for (int n = readCount(data, MAX_COUNT); n > 0; n--) {
            knownIds.add(data.readUTF());
        }
        return new Takeover(
                new BackendList(revision, true, entries),
                timestamped.recordedAt(),
                timestamped.learnedState(),
                Set.copyOf(knownIds));
    }

    private static List<byte[]> readParts(DataInputStream data) throws IOException {
        List<byte[]> parts = new ArrayList<>();
        for (int n = readCount(data, MAX_COUNT); n > 0; n--) {
            parts.add(data.readNBytes(readCount(data, data.available())));
        }
        return parts;
    }

    private static int readCount(DataInputStream data, int maxCount) throws IOException {
        int n = data.readInt();
        if (n < 0 || n > maxCount) {
            throw new IOException("takeover: invalid count: " + n);
        }
        return n;
    }
}
