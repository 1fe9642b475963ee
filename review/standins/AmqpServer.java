import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A backend of AMQP 1.0 that accepts each delivery at once. While it hangs, it reads and answers nothing. */
final class AmqpServer {
    private static final int LINK_CREDIT = 200;
    private static final int WINDOW = 2048;

    /** What has been received on one link: the deliveries, and the id of the one that is arriving. */
    private static final class Incoming {
        private long deliveries;
        private long current = -1;
    }

    final AtomicLong accepted = new AtomicLong();
    private final ServerSocket server;
    private boolean hanging;

    AmqpServer() throws IOException {
        server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        LineServer.daemon(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    LineServer.daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    synchronized void setHanging(boolean hangs) {
        hanging = hangs;
        notifyAll();
    }

    private synchronized void waitWhileHanging() throws IOException {
        while (hanging) {
            try {
                wait();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
    }

    private void serve(Socket socket) {
        try (AmqpWire wire = new AmqpWire(socket)) {
            if (wire.readHeader()[4] == 3) {
                wire.header(3);
                wire.send(1, 0, AmqpWire.MECHANISMS, List.of(new AmqpWire.Symbol("ANONYMOUS")), null);
                wire.read();
                wire.send(1, 0, AmqpWire.OUTCOME, List.of(new AmqpWire.UByte(0)), null);
                wire.readHeader();
            }
            wire.header(0);
            LineServer.daemon(() -> beat(wire));
            Map<Integer, long[]> sessions = new HashMap<>();
            Map<String, Incoming> links = new HashMap<>();
            boolean open = true;
            while (open) {
                waitWhileHanging();
                AmqpWire.Frame frame = wire.read();
                waitWhileHanging();
                open = handle(wire, frame, sessions, links);
            }
        } catch (IOException e) {
            return;
        }
    }

    private void beat(AmqpWire wire) {
        try {
            while (true) {
                Thread.sleep(1000);
                waitWhileHanging();
                wire.heartbeat();
            }
        } catch (IOException | InterruptedException e) {
            return;
        }
    }

    private boolean handle(AmqpWire wire, AmqpWire.Frame frame, Map<Integer, long[]> sessions,
            Map<String, Incoming> links) throws IOException {
        AmqpWire.Described body = frame.body();
        int channel = frame.channel();
        switch (body.code()) {
            case AmqpWire.OPEN -> wire.send(AmqpWire.OPEN, "backend", null, new AmqpWire.UInt(16384),
                new AmqpWire.UShort(1000), new AmqpWire.UInt(60000));
            case AmqpWire.BEGIN -> {
                sessions.put(channel, new long[] {body.number(1, 0)});
                wire.send(0, channel, AmqpWire.BEGIN, Arrays.asList(new AmqpWire.UShort(channel),
                    new AmqpWire.UInt(0), new AmqpWire.UInt(WINDOW), new AmqpWire.UInt(WINDOW),
                    new AmqpWire.UInt(1000)), null);
            }
            case AmqpWire.ATTACH -> {
                long handle = body.number(1, 0);
                Incoming link = new Incoming();
                link.deliveries = body.number(9, 0);
                links.put(channel + "/" + handle, link);
                wire.send(0, channel, AmqpWire.ATTACH, Arrays.asList(body.field(0), new AmqpWire.UInt(handle), true,
                    null, null, new AmqpWire.Described(AmqpWire.SOURCE, List.of("events")),
                    new AmqpWire.Described(AmqpWire.TARGET, List.of("events"))), null);
                flow(wire, channel, sessions.get(channel)[0], handle, link.deliveries);
            }
            case AmqpWire.TRANSFER -> {
                long handle = body.number(0, 0);
                Incoming link = links.get(channel + "/" + handle);
                long received = ++sessions.get(channel)[0];
                link.current = link.current < 0 ? body.number(1, 0) : link.current;
                if (!body.flag(5)) {
                    wire.send(0, channel, AmqpWire.DISPOSITION, Arrays.asList(true, new AmqpWire.UInt(link.current),
                        null, true, new AmqpWire.Described(AmqpWire.ACCEPTED, List.of())), null);
                    link.current = -1;
                    link.deliveries++;
                    accepted.incrementAndGet();
                }
                if (!body.flag(5) || received % 64 == 0) {
                    flow(wire, channel, received, handle, link.deliveries);
                }
            }
            case AmqpWire.DETACH -> wire.send(0, channel, AmqpWire.DETACH,
                List.of(new AmqpWire.UInt(body.number(0, 0)), true), null);
            case AmqpWire.END -> wire.send(0, channel, AmqpWire.END, List.of(), null);
            case AmqpWire.CLOSE -> {
                wire.send(AmqpWire.CLOSE);
                return false;
            }
            default -> {
                return true; // flows of the relay change nothing for a receiver
            }
        }
        return true;
    }

    private static void flow(AmqpWire wire, int channel, long received, long handle, long deliveries)
            throws IOException {
        wire.send(0, channel, AmqpWire.FLOW, Arrays.asList(new AmqpWire.UInt(received), new AmqpWire.UInt(WINDOW),
            new AmqpWire.UInt(0), new AmqpWire.UInt(WINDOW), new AmqpWire.UInt(handle),
            new AmqpWire.UInt(deliveries), new AmqpWire.UInt(LINK_CREDIT)), null);
    }
}
