package saltstage.lab.amqp;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A blocking AMQP client that writes frames itself, so that it can send what no library sends:
 * frames without regard to credit, windows and answers. It knows just the frames that the tests
 * need; sections in comments are those of the AMQP 1.0 specification.
 */
final class RawAmqpClient implements Closeable {
    /** The codes of the performatives (2.7). */
    static final int OPEN = 0x10;

    static final int BEGIN = 0x11;
    static final int ATTACH = 0x12;
    static final int FLOW = 0x13;
    static final int TRANSFER = 0x14;
    static final int DISPOSITION = 0x15;
    static final int DETACH = 0x16;
    static final int END = 0x17;
    static final int CLOSE = 0x18;

    private static final byte[] PROTOCOL_HEADER = {'A', 'M', 'Q', 'P', 0, 1, 0, 0};
    private static final int FRAME_HEADER_BYTES = 8;
    private static final byte[] NULL = {0x40};
    private static final byte[] TRUE = {0x41};
    private static final byte[] FALSE = {0x42};
    private static final byte[] NO_PAYLOAD = {};
    private static final int CONNECT_TIMEOUT_MS = 4_000;

    private final Socket socket = new Socket();
    private final DataInputStream input;

    /** A frame that the relay has sent: its performative and the whole frame as text. */
    record ReceivedFrame(int performative, String text) {}

    /** Connects, opens and begins a session; does not wait for the answers. */
    RawAmqpClient(InetSocketAddress address, String containerId) throws IOException {
        socket.connect(address, CONNECT_TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        input = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        write(PROTOCOL_HEADER);
        write(frame(OPEN, string(containerId)));
        write(begin());
    }

    /** Sets how long a read waits. */
    void setReadTimeout(int millis) throws IOException {
        socket.setSoTimeout(millis);
    }

    void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    /** Reads the protocol header, which precedes all frames. */
    void readProtocolHeader() throws IOException {
        input.readFully(new byte[PROTOCOL_HEADER.length]);
    }

    /** Reads the next frame that is not empty. */
    ReceivedFrame readFrame() throws IOException {
        while (true) {
            byte[] rest = new byte[input.readInt() - Integer.BYTES];
            input.readFully(rest);
            if (rest.length > Integer.BYTES) {
                int performative = rest[Integer.BYTES + 2] & 0xff; // after 0x00 0x53
                return new ReceivedFrame(
                        performative, new String(rest, StandardCharsets.ISO_8859_1));
            }
        }
    }

    /** Reads and discards all that comes, on a thread of its own, until the connection ends. */
    void discardInput() {
        Thread reader =
                new Thread(
                        () -> {
                            try {
                                socket.getInputStream().transferTo(OutputStream.nullOutputStream());
                            } catch (IOException ended) {
                                return;
                            }
                        },
                        "discard");
        reader.setDaemon(true);
        reader.start();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    static byte[] begin() {
        return frame(BEGIN, NULL, uint(0), uint(2_048), uint(2_048));
    }

    static byte[] end() {
        return frame(END);
    }

    static byte[] emptyFrame() {
        return new byte[] {0, 0, 0, FRAME_HEADER_BYTES, 2, 0, 0, 0};
    }

    /** An attach as a sender to this address, with this number of short properties. */
    static byte[] attachSender(String name, int handle, String address, int properties) {
        return attachSender(name, handle, address, "p", properties);
    }

    /** The same with properties whose names begin with this text. */
    static byte[] attachSender(
            String name, int handle, String address, String propertyPrefix, int properties) {
        return frame(
                ATTACH,
                string(name),
                uint(handle),
                FALSE,
                NULL,
                NULL,
                described(0x28),
                described(0x29, string(address)),
                NULL,
                NULL,
                uint(0),
                NULL,
                NULL,
                NULL,
                properties == 0 ? NULL : shortProperties(propertyPrefix, properties));
    }

    /** An attach as a receiver from this address. */
    static byte[] attachReceiver(String name, int handle, String address) {
        return frame(
                ATTACH,
                string(name),
                uint(handle),
                TRUE,
                NULL,
                NULL,
                described(0x28, string(address)),
                described(0x29));
    }

    static byte[] detach(int handle) {
        return frame(DETACH, uint(handle), TRUE);
    }

    /** A flow of the session that gives credit to a link and asks for an answer. */
    static byte[] flow(int handle, int credit) {
        return frame(
                FLOW,
                uint(0),
                uint(2_048),
                uint(0),
                uint(2_048),
                uint(handle),
                uint(0),
                uint(credit),
                NULL,
                FALSE,
                TRUE);
    }

    /** A transfer of an unsettled delivery, or of a part of it. */
    static byte[] transfer(int handle, int deliveryId, boolean more, byte[] payload) {
        return frame(
                payload,
                TRANSFER,
                uint(handle),
                uint(deliveryId),
                binary(Integer.toString(deliveryId).getBytes(StandardCharsets.US_ASCII)),
                uint(0),
                FALSE,
                more ? TRUE : FALSE);
    }

    /** A disposition of the receiver for a range of deliveries. */
    static byte[] disposition(int first, int last) {
        return frame(DISPOSITION, TRUE, uint(first), uint(last), TRUE, described(0x24));
    }

    private static byte[] shortProperties(String prefix, int count) {
        byte[][] items = new byte[2 * count][];
        for (int i = 0; i < count; i++) {
            items[2 * i] = symbol(prefix + i);
            items[2 * i + 1] = uint(i);
        }
        return sized(0xd1, items);
    }

    /** A frame on channel 0 without a payload. */
    static byte[] frame(int performative, byte[]... fields) {
        return frame(NO_PAYLOAD, performative, fields);
    }

    private static byte[] frame(byte[] payload, int performative, byte[]... fields) {
        byte[] body = described(performative, fields);
        return encode(
                out -> {
                    out.writeInt(FRAME_HEADER_BYTES + body.length + payload.length);
                    out.writeInt(0x02000000); // data offset 2, type AMQP, channel 0
                    out.write(body);
                    out.write(payload);
                });
    }

    private static byte[] described(int code, byte[]... fields) {
        byte[] list = sized(0xd0, fields);
        return encode(
                out -> {
                    out.write(new byte[] {0, 0x53, (byte) code});
                    out.write(list);
                });
    }

    /** A list or map with 32-bit size and count (1.6.22, 1.6.23). */
    private static byte[] sized(int type, byte[]... items) {
        byte[] content =
                encode(
                        out -> {
                            for (byte[] item : items) {
                                out.write(item);
                            }
                        });
        return encode(
                out -> {
                    out.writeByte(type);
                    out.writeInt(content.length + Integer.BYTES);
                    out.writeInt(items.length);
                    out.write(content);
                });
    }

    static byte[] uint(int value) {
        return encode(
                out -> {
                    out.writeByte(0x70);
                    out.writeInt(value);
                });
    }

    static byte[] string(String text) {
        return variable(0xb1, text.getBytes(StandardCharsets.UTF_8));
    }

    private static byte[] symbol(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        return encode(
                out -> {
                    out.writeByte(0xa3);
                    out.writeByte(bytes.length);
                    out.write(bytes);
                });
    }

    private static byte[] binary(byte[] bytes) {
        return variable(0xb0, bytes);
    }

    private static byte[] variable(int type, byte[] bytes) {
        return encode(
                out -> {
                    out.writeByte(type);
                    out.writeInt(bytes.length);
                    out.write(bytes);
                });
    }

    private interface Encoder {
        void encode(DataOutputStream out) throws IOException;
    }

    private static byte[] encode(Encoder encoder) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            encoder.encode(new DataOutputStream(bytes));
        } catch (IOException impossibleInMemory) {
            throw new UncheckedIOException(impossibleInMemory);
        }
        return bytes.toByteArray();
    }
}
