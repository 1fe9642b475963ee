package saltstage.keep;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import saltstage.Api.LearnedState;
import saltstage.Api.LearnedBackend;
import saltstage.wire.HostList;

/**
 * The bytes of what is kept, each with a version in front; one that is not known is refused, not
 * guessed.
 */
final class Codec {
    private static final int VERSION = 1;
    private static final int LEARNT_VERSION = 2;
    private static final int MOST = 1 << 20;

    private Codec() {}

    private interface Writing {
        void to(DataOutputStream out) throws IOException;
    }

    private interface Reading<T> {
        T from(DataInputStream in) throws IOException;
    }

    private static byte[] bytes(Writing writing) {
        return bytes(VERSION, writing);
    }

    private static byte[] bytes(int version, Writing writing) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (DataOutputStream data = new DataOutputStream(out)) {
            data.writeByte(version);
            writing.to(data);
        } catch (IOException impossible) { // it writes to memory
            throw new IllegalStateException(impossible);
        }
        return out.toByteArray();
    }

    private static <T> T read(byte[] bytes, String what, Reading<T> reading) throws IOException {
        return read(bytes, what, VERSION, reading);
    }

    private static <T> T read(byte[] bytes, String what, int known, Reading<T> reading)
            throws IOException {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            int version = in.readByte();
            if (version != known) {
                throw new IOException(what + " of version " + version + "; " + known + " is known");
            }
            T read = reading.from(in);
            if (in.read() >= 0) {
                throw new IOException(what + ": bytes are left over");
            }
            return read;
        } catch (RuntimeException bad) {
            throw new IOException(what + ": " + bad.getMessage(), bad);
        }
    }

    static byte[] number(long value) {
        return bytes(out -> out.writeLong(value));
    }

    static long number(byte[] bytes) throws IOException {
        return read(bytes, "number", DataInputStream::readLong);
    }

    static byte[] entry(HostList.Entry entry) {
        return bytes(
                out -> {
                    out.writeUTF(entry.uid());
                    byte[] ip = entry.endpoint().getAddress().getAddress();
                    out.writeByte(ip.length);
                    out.write(ip);
                    out.writeShort(entry.endpoint().getPort());
                    out.writeUTF(entry.zone());
                    out.writeInt(entry.cell());
                    out.writeUTF(entry.state().name());
                    out.writeDouble(entry.weight());
                    out.writeLong(entry.startedAt().toEpochMilli());
                });
    }

    static HostList.Entry entry(byte[] bytes) throws IOException {
        return read(
                bytes,
                "list entry",
                in -> {
                    String uid = in.readUTF();
                    byte[] ip = in.readNBytes(in.readByte());
                    InetSocketAddress at =
                            new InetSocketAddress(
                                    InetAddress.getByAddress(ip), in.readUnsignedShort());
                    return new HostList.Entry(
                            uid,
                            at,
                            in.readUTF(),
                            in.readInt(),
                            HostList.State.valueOf(in.readUTF()),
                            in.readDouble(),
                            Instant.ofEpochMilli(in.readLong()));
                });
    }

    /** What was learnt, and when. */
    record Dated(Instant at, LearnedState learnt) {}

    static byte[] learnt(Dated dated) {
        return bytes(
                LEARNT_VERSION,
                out -> {
                    LearnedState learnt = dated.learnt();
                    out.writeLong(dated.at().toEpochMilli());
                    for (double figure :
                            new double[] {
                                learnt.setupLatency(),
                                learnt.setupLatencyDeviation(),
                                learnt.meanRequestLoad(),
                                learnt.meanConnectionLifetime(),
                                learnt.meanGroupShare()
                            }) {
                        out.writeDouble(figure);
                    }
                    out.writeInt(learnt.backends().size());
                    for (LearnedBackend server : learnt.backends()) {
                        out.writeUTF(server.id());
                        out.writeLong(server.startedAt());
                        out.writeDouble(server.setupLatency());
                        out.writeDouble(server.setupLatencyDeviation());
                        out.writeDouble(server.minSetupLatency());
                        out.writeInt(server.consecutiveFailures());
                        out.writeLong(server.remainingEjection());
                    }
                    out.writeInt(learnt.groupShares().size());
                    for (Map.Entry<Long, Double> share : learnt.groupShares().entrySet()) {
                        out.writeLong(share.getKey());
                        out.writeDouble(share.getValue());
                    }
                    out.writeDouble(learnt.capacityShare());
                });
    }

    static Dated learnt(byte[] bytes) throws IOException {
        boolean first = bytes.length > 0 && bytes[0] == VERSION; // without the part of the capacity
        return read(
                bytes,
                "learnt state",
                first ? VERSION : LEARNT_VERSION,
                in -> {
                    Instant at = Instant.ofEpochMilli(in.readLong());
                    double[] figures = new double[5];
                    for (int i = 0; i < figures.length; i++) {
                        figures[i] = figure(in);
                    }
                    List<LearnedBackend> servers = new ArrayList<>();
                    for (int n = count(in); n > 0; n--) {
                        servers.add(
                                new LearnedBackend(
                                        in.readUTF(),
                                        in.readLong(),
                                        figure(in),
                                        figure(in),
                                        figure(in),
                                        in.readInt(),
                                        in.readLong()));
                    }
                    Map<Long, Double> shares = new TreeMap<>();
                    for (int n = count(in); n > 0; n--) {
                        shares.put(in.readLong(), figure(in));
                    }
                    double part = first ? 0 : figure(in);
                    return new Dated(
                            at,
                            new LearnedState(
                                    figures[0],
                                    figures[1],
                                    figures[2],
                                    figures[3],
                                    figures[4],
                                    part,
                                    servers,
                                    shares));
                });
    }

    private static int count(DataInputStream in) throws IOException {
        int n = in.readInt();
        if (n < 0 || n > MOST) {
            throw new IOException("a count of " + n);
        }
        return n;
    }

    private static double figure(DataInputStream in) throws IOException {
        double d = in.readDouble();
        if (Double.isNaN(d) || d < 0) {
            throw new IOException("a figure of " + d);
        }
        return d;
    }

    static byte[] version(History.Version version) {
        return bytes(
                out -> {
                    out.writeLong(version.at().toEpochMilli());
                    out.writeUTF(version.hash());
                    text(out, version.configuration());
                    text(out, version.settings());
                });
    }

    static History.Version version(long number, byte[] bytes) throws IOException {
        return read(
                bytes,
                "configuration " + number,
                in ->
                        new History.Version(
                                number,
                                Instant.ofEpochMilli(in.readLong()),
                                in.readUTF(),
                                text(in),
                                text(in)));
    }

    private static void text(DataOutputStream out, String text) throws IOException {
        byte[] plain = text.getBytes(StandardCharsets.UTF_8);
        out.writeInt(plain.length);
        out.write(plain);
    }

    private static String text(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > in.available()) {
            throw new IOException("a text of " + length + " bytes");
        }
        return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }
}
