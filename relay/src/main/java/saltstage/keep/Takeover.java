package saltstage.keep;

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
import saltstage.wire.HostList;

/**
 * What a process leaves to the one that replaces it: its list, what it has learnt, every id ever
 * listed.
 */
public record Takeover(HostList list, Instant at, LearnedState learnt, Set<String> listed) {
    private static final int MOST = 1 << 20;

    /** As bytes. */
    public byte[] bytes() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(out);
        data.writeLong(list.rev());
        List<byte[]> entries = list.targets().stream().map(Codec::entry).toList();
        parts(data, entries);
        parts(data, List.of(Codec.learnt(new Codec.Dated(at, learnt))));
        data.writeInt(listed.size());
        for (String id : listed) {
            data.writeUTF(id);
        }
        return out.toByteArray();
    }

    private static void parts(DataOutputStream data, Collection<byte[]> parts) throws IOException {
        data.writeInt(parts.size());
        for (byte[] part : parts) {
            data.writeInt(part.length);
            data.write(part);
        }
    }

    /** From bytes; an IOException says what is wrong with them. */
    public static Takeover of(byte[] bytes) throws IOException {
        DataInputStream data = new DataInputStream(new ByteArrayInputStream(bytes));
        long rev = data.readLong();
        List<HostList.Entry> entries = new ArrayList<>();
        for (byte[] part : parts(data)) {
            entries.add(Codec.entry(part));
        }
        List<byte[]> learnt = parts(data);
        if (learnt.size() != 1) {
            throw new IOException("takeover: " + learnt.size() + " parts of what was learnt");
        }
        Codec.Dated dated = Codec.learnt(learnt.get(0));
        List<String> listed = new ArrayList<>();
        for (int n = count(data, MOST); n > 0; n--) {
            listed.add(data.readUTF());
        }
        return new Takeover(
                new HostList(rev, true, entries), dated.at(), dated.learnt(), Set.copyOf(listed));
    }

    private static List<byte[]> parts(DataInputStream data) throws IOException {
        List<byte[]> parts = new ArrayList<>();
        for (int n = count(data, MOST); n > 0; n--) {
            parts.add(data.readNBytes(count(data, data.available())));
        }
        return parts;
    }

    private static int count(DataInputStream data, int most) throws IOException {
        int n = data.readInt();
        if (n < 0 || n > most) {
            throw new IOException("takeover: a count of " + n);
        }
        return n;
    }
}
