import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Frames of AMQP 1.0, written and read on one blocking socket: as much as the stand-ins need. */
final class AmqpWire implements Closeable {
    static final int OPEN = 0x10;
    static final int BEGIN = 0x11;
    static final int ATTACH = 0x12;
    static final int FLOW = 0x13;
    static final int TRANSFER = 0x14;
    static final int DISPOSITION = 0x15;
    static final int DETACH = 0x16;
    static final int END = 0x17;
    static final int CLOSE = 0x18;
    static final int SOURCE = 0x28;
    static final int TARGET = 0x29;
    static final int ACCEPTED = 0x24;
    static final int MECHANISMS = 0x40;
    static final int OUTCOME = 0x44;

    /** A described list: a performative, a terminus, an outcome or an error. */
    record Described(int code, List<Object> fields) {
        Object field(int index) {
            return index < fields.size() ? fields.get(index) : null;
        }

        long number(int index, long defaultValue) {
            return field(index) instanceof Number number ? number.longValue() : defaultValue;
        }

        boolean flag(int index) {
            return Boolean.TRUE.equals(field(index));
        }
    }

    record Symbol(String text) {}

    record UInt(long value) {}

    record UShort(int value) {}

    record UByte(int value) {}

    record Frame(int channel, Described body, byte[] payload) {}

    private final Socket socket;
    private final DataInputStream in;
    private final OutputStream out;

    AmqpWire(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 64 << 10));
        out = socket.getOutputStream();
    }

    /** Connects and opens as a client without SASL. */
    static AmqpWire client(InetSocketAddress address, String container, int maxFrameBytes) throws IOException {
        Socket socket = new Socket();
        socket.connect(address, 2000);
        AmqpWire wire = new AmqpWire(socket);
        wire.header(0);
        wire.send(OPEN, container, null, new UInt(maxFrameBytes), new UShort(10), null);
        wire.readHeader();
        return wire;
    }

    /** Writes a protocol header: 0 for AMQP, 3 for SASL. */
    synchronized void header(int protocol) throws IOException {
        out.write(new byte[] {'A', 'M', 'Q', 'P', (byte) protocol, 1, 0, 0});
    }

    byte[] readHeader() throws IOException {
        byte[] header = new byte[8];
        in.readFully(header);
        return header;
    }

    /** Writes an AMQP frame on channel 0. */
    void send(int code, Object... fields) throws IOException {
        send(0, 0, code, Arrays.asList(fields), null);
    }

    /** Writes a frame of type 0 (AMQP) or 1 (SASL). */
    synchronized void send(int type, int channel, int code, List<Object> fields, byte[] payload) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        write(body, new Described(code, fields));
        if (payload != null) {
            body.write(payload);
        }
        ByteBuffer frame = ByteBuffer.allocate(8 + body.size());
        frame.putInt(frame.capacity()).put((byte) 2).put((byte) type).putShort((short) channel);
        out.write(frame.put(body.toByteArray()).array());
    }

    /** Writes an empty frame. */
    synchronized void heartbeat() throws IOException {
        out.write(new byte[] {0, 0, 0, 8, 2, 0, 0, 0});
    }

    /** Reads the next frame that is not empty. */
    Frame read() throws IOException {
        while (true) {
            byte[] rest = new byte[in.readInt() - 4];
            in.readFully(rest);
            ByteBuffer bytes = ByteBuffer.wrap(rest);
            int bodyOffset = 4 * (rest[0] & 0xff) - 4;
            int channel = bytes.getShort(2) & 0xffff;
            bytes.position(bodyOffset);
            if (bytes.hasRemaining()) {
                Described body = (Described) parse(bytes);
                byte[] payload = new byte[bytes.remaining()];
                bytes.get(payload);
                return new Frame(channel, body, payload);
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private static void write(OutputStream stream, Object value) throws IOException {
        DataOutputStream data = new DataOutputStream(stream);
        if (value == null) {
            data.writeByte(0x40);
        } else if (value instanceof Boolean flag) {
            data.writeByte(flag ? 0x41 : 0x42);
        } else if (value instanceof UInt number) {
            data.writeByte(0x70);
            data.writeInt((int) number.value());
        } else if (value instanceof UShort number) {
            data.writeByte(0x60);
            data.writeShort(number.value());
        } else if (value instanceof UByte number) {
            data.writeByte(0x50);
            data.writeByte(number.value());
        } else if (value instanceof Symbol symbol) {
            writeBytes(data, 0xb3, symbol.text().getBytes(StandardCharsets.US_ASCII));
        } else if (value instanceof String text) {
            writeBytes(data, 0xb1, text.getBytes(StandardCharsets.UTF_8));
        } else if (value instanceof byte[] bytes) {
            writeBytes(data, 0xb0, bytes);
        } else if (value instanceof Described described) {
            data.write(new byte[] {0, 0x53, (byte) described.code()});
            ByteArrayOutputStream items = new ByteArrayOutputStream();
            for (Object field : described.fields()) {
                write(items, field);
            }
            data.writeByte(0xd0);
            data.writeInt(items.size() + 4);
            data.writeInt(described.fields().size());
            data.write(items.toByteArray());
        } else {
            throw new IOException("no encoding for " + value.getClass());
        }
    }

    private static void writeBytes(DataOutputStream data, int type, byte[] bytes) throws IOException {
        data.writeByte(type);
        data.writeInt(bytes.length);
        data.write(bytes);
    }

    private static Object parse(ByteBuffer bytes) throws IOException {
        int type = bytes.get() & 0xff;
        switch (type) {
            case 0x00:
                Object descriptor = parse(bytes);
                Object value = parse(bytes);
                List<Object> fields = new ArrayList<>();
                if (value instanceof List<?> list) {
                    fields.addAll(list);
                } else {
                    fields.add(value);
                }
                return new Described(descriptor instanceof Number code ? code.intValue() : -1, fields);
            case 0x40:
                return null;
            case 0x41:
                return true;
            case 0x42:
                return false;
            case 0x56:
                return bytes.get() != 0;
            case 0x43, 0x44:
                return 0L;
            case 0x50, 0x52, 0x53:
                return (long) (bytes.get() & 0xff);
            case 0x51, 0x54, 0x55:
                return (long) bytes.get();
            case 0x60:
                return (long) (bytes.getShort() & 0xffff);
            case 0x61:
                return (long) bytes.getShort();
            case 0x70:
                return bytes.getInt() & 0xffffffffL;
            case 0x71, 0x72, 0x73, 0x74:
                return (long) bytes.getInt();
            case 0x80, 0x81, 0x82, 0x83, 0x84:
                return bytes.getLong();
            case 0x94, 0x98:
                bytes.getLong();
                return bytes.getLong();
            case 0xa0, 0xe0:
                return take(bytes, bytes.get() & 0xff);
            case 0xb0, 0xf0:
                return take(bytes, bytes.getInt());
            case 0xa1, 0xa3:
                return new String(take(bytes, bytes.get() & 0xff), StandardCharsets.UTF_8);
            case 0xb1, 0xb3:
                return new String(take(bytes, bytes.getInt()), StandardCharsets.UTF_8);
            case 0x45:
                return new ArrayList<>();
            case 0xc0, 0xc1:
                bytes.get();
                return parseItems(bytes, bytes.get() & 0xff);
            case 0xd0, 0xd1:
                bytes.getInt();
                return parseItems(bytes, bytes.getInt());
            default:
                throw new IOException("unknown type " + Integer.toHexString(type));
        }
    }

    private static List<Object> parseItems(ByteBuffer bytes, int count) throws IOException {
        List<Object> items = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            items.add(parse(bytes));
        }
        return items;
    }

    private static byte[] take(ByteBuffer bytes, int count) {
        byte[] taken = new byte[count];
        bytes.get(taken);
        return taken;
    }
}
