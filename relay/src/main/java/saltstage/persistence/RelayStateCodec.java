package saltstage.persistence;

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
import saltstage.Api.LearnedBackend;
import saltstage.Api.LearnedState;
import saltstage.wire.BackendList;

/**
 * Encodes and decodes persisted values. Each begins with a format version; a value of an unknown
 * version is rejected rather than guessed.
 */
final class RelayStateCodec {
    private static final int FORMAT_VERSION = 1;
    private static final int LEARNED_STATE_FORMAT_VERSION = 2;
    private static final int MAX_COUNT = 1 << 20;

    private RelayStateCodec() {}

    private interface BodyWriter {
        void write(DataOutputStream out) throws IOException;
    }

    private interface BodyReader<T> {
        T read(DataInputStream in) throws IOException;
    }

    private static byte[] encode(BodyWriter writer) {
        return encode(FORMAT_VERSION, writer);
    }

    private static byte[] encode(int version, BodyWriter writer) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (DataOutputStream data = new DataOutputStream(out)) {
            data.writeByte(version);
            writer.write(data);
        } catch (IOException e) { // the stream writes to memory
            throw new IllegalStateException(e);
        }
        return out.toByteArray();
    }

    private static <T> T decode(byte[] bytes, String valueName, BodyReader<T> reader)
            throws IOException {
        return decode(bytes, valueName, FORMAT_VERSION, reader);
    }

    private static <T> T decode(
            byte[] bytes, String valueName, int expectedVersion, BodyReader<T> reader)
            throws IOException {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            int version = in.readByte();
            if (version != expectedVersion) {
                throw new IOException(
                        valueName
                                + " of version "
                                + version
                                + "; "
                                + expectedVersion
                                + " is known");
            }
            T value = reader.read(in);
            if (in.read() >= 0) {
                throw new IOException(valueName + ": unexpected trailing bytes");
            }
            return value;
        } catch (RuntimeException e) {
            throw new IOException(valueName + ": " + e.getMessage(), e);
        }
    }

    static byte[] encodeNumber(long value) {
        return encode(out -> out.writeLong(value));
    }

    static long decodeNumber(byte[] bytes) throws IOException {
        return decode(bytes, "number", DataInputStream::readLong);
    }

    static byte[] encodeEntry(BackendList.Entry entry) {
        return encode(
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

    static BackendList.Entry decodeEntry(byte[] bytes) throws IOException {
        return decode(
                bytes,
                "list entry",
                in -> {
                    String backendId = in.readUTF();
                    byte[] ip = in.readNBytes(in.readByte());
                    InetSocketAddress endpoint =
                            new InetSocketAddress(
                                    InetAddress.getByAddress(ip), in.readUnsignedShort());
                    return new BackendList.Entry(
                            backendId,
                            endpoint,
                            in.readUTF(),
                            in.readInt(),
                            BackendList.State.valueOf(in.readUTF()),
                            in.readDouble(),
                            Instant.ofEpochMilli(in.readLong()));
                });
    }

    /** The learned state and the time at which it was recorded. */
    record TimestampedState(Instant recordedAt, LearnedState learnedState) {}

    static byte[] encodeLearnedState(TimestampedState timestamped) {
        return encode(
                LEARNED_STATE_FORMAT_VERSION,
                out -> {
                    LearnedState learnedState = timestamped.learnedState();
                    out.writeLong(timestamped.recordedAt().toEpochMilli());
                    for (double value :
                            new double[] {
                                learnedState.setupLatency(),
                                learnedState.setupLatencyDeviation(),
                                learnedState.meanRequestLoad(),
                                learnedState.meanConnectionLifetime(),
                                learnedState.meanGroupShare()
                            }) {
                        out.writeDouble(value);
                    }
                    out.writeInt(learnedState.backends().size());
                    for (LearnedBackend backend : learnedState.backends()) {
                        out.writeUTF(backend.id());
                        out.writeLong(backend.startedAt());
                        out.writeDouble(backend.setupLatency());
                        out.writeDouble(backend.setupLatencyDeviation());
                        out.writeDouble(backend.minSetupLatency());
                        out.writeInt(backend.consecutiveFailures());
                        out.writeLong(backend.remainingEjection());
                    }
                    out.writeInt(learnedState.groupShares().size());
                    for (Map.Entry<Long, Double> share : learnedState.groupShares().entrySet()) {
                        out.writeLong(share.getKey());
                        out.writeDouble(share.getValue());
                    }
                    out.writeDouble(learnedState.capacityShare());
                });
    }

    static TimestampedState decodeLearnedState(byte[] bytes) throws IOException {
        boolean withoutCapacityShare =
                bytes.length > 0 && bytes[0] == FORMAT_VERSION; // without the capacity share
        return decode(
                bytes,
                "learnt state",
                withoutCapacityShare ? FORMAT_VERSION : LEARNED_STATE_FORMAT_VERSION,
                in -> {
                    Instant at = Instant.ofEpochMilli(in.readLong());
                    double[] values = new double[5];
                    for (int i = 0; i < values.length; i++) {
                        values[i] = readNonNegative(in);
                    }
                    List<LearnedBackend> backends = new ArrayList<>();
                    for (int n = readCount(in); n > 0; n--) {
                        backends.add(
                                new LearnedBackend(
                                        in.readUTF(),
                                        in.readLong(),
                                        readNonNegative(in),
                                        readNonNegative(in),
                                        readNonNegative(in),
                                        in.readInt(),
                                        in.readLong()));
                    }
                    Map<Long, Double> shares = new TreeMap<>();
                    for (int n = readCount(in); n > 0; n--) {
                        shares.put(in.readLong(), readNonNegative(in));
                    }
                    double capacityShare = withoutCapacityShare ? 0 : readNonNegative(in);
                    return new TimestampedState(
                            at,
                            new LearnedState(
                                    values[0],
                                    values[1],
                                    values[2],
                                    values[3],
                                    values[4],
                                    capacityShare,
                                    backends,
                                    shares));
                });
    }

    private static int readCount(DataInputStream in) throws IOException {
        int n = in.readInt();
        if (n < 0 || n > MAX_COUNT) {
            throw new IOException("invalid count: " + n);
        }
        return n;
    }

    private static double readNonNegative(DataInputStream in) throws IOException {
        double d = in.readDouble();
        if (Double.isNaN(d) || d < 0) {
            throw new IOException("invalid number: " + d);
        }
        return d;
    }

    static byte[] encodeVersion(ConfigurationVersions.Version version) {
        return encode(
                out -> {
                    out.writeLong(version.at().toEpochMilli());
                    out.writeUTF(version.hash());
                    writeText(out, version.configuration());
                    writeText(out, version.settings());
                });
    }

    static ConfigurationVersions.Version decodeVersion(long number, byte[] bytes)
            throws IOException {
        return decode(
                bytes,
                "configuration " + number,
                in ->
                        new ConfigurationVersions.Version(
                                number,
                                Instant.ofEpochMilli(in.readLong()),
                                in.readUTF(),
                                readText(in),
                                readText(in)));
    }

    private static void writeText(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static String readText(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < 0 || length > in.available()) {
            throw new IOException("invalid text length: " + length + " bytes");
        }
        return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }
}
