import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** A client of AMQP 1.0 with one sending link, which keeps count of the outcome of each delivery. */
final class AmqpSender {
    private static final int FRAME_BYTES = 16_000;

    final String name;
    private final Journal journal;
    private final int port;
    private AmqpWire wire;
    private CountDownLatch attached;
    private boolean linked;
    private boolean ended;
    private String end = "";
    private long creditLimit;
    private long deliveryCount;
    private long windowLimit = -1;
    private long transfers;
    private final String[] outcomes = new String[10_000];
    private final int[] outcomeCounts = new int[10_000];
    private int sent;

    AmqpSender(String name, Journal journal, int port) {
        this.name = name;
        this.journal = journal;
        this.port = port;
    }

    /** Attaches, as often as it takes: a refused attach is repeated after the time that the relay has told. */
    boolean attach(int attempts) throws InterruptedException {
        for (int i = 0; i < attempts; i++) {
            try {
                connect();
                attached.await();
                synchronized (this) {
                    if (linked && !ended) {
                        return true;
                    }
                }
                wire.close();
            } catch (IOException e) {
                journal.line("client %s: %s", name, e.getMessage());
            }
            Thread.sleep(1500);
        }
        return false;
    }

    private void connect() throws IOException {
        synchronized (this) {
            ended = false;
            linked = false;
            creditLimit = 0;
            deliveryCount = 0;
            windowLimit = -1;
            transfers = 0;
            attached = new CountDownLatch(1);
        }
        wire = AmqpWire.client(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), name, 16_384);
        wire.send(AmqpWire.BEGIN, null, new AmqpWire.UInt(0), new AmqpWire.UInt(2048), new AmqpWire.UInt(2048));
        wire.send(AmqpWire.ATTACH, "events", new AmqpWire.UInt(0), false, null, null,
            new AmqpWire.Described(AmqpWire.SOURCE, List.of(name)),
            new AmqpWire.Described(AmqpWire.TARGET, List.of("status-report/" + name)), null, null,
            new AmqpWire.UInt(0));
        AmqpWire current = wire;
        LineServer.daemon(() -> read(current));
        LineServer.daemon(() -> beat(current));
    }

    private static void beat(AmqpWire current) {
        try {
            while (true) {
                Thread.sleep(5000);
                current.heartbeat();
            }
        } catch (IOException | InterruptedException e) {
            return;
        }
    }

    private void read(AmqpWire current) {
        try {
            while (true) {
                AmqpWire.Frame frame = current.read();
                synchronized (this) {
                    handle(current, frame.body());
                    notifyAll();
                }
            }
        } catch (IOException e) {
            synchronized (this) {
                ended = true;
                end = end.isEmpty() ? String.valueOf(e.getMessage()) : end;
                notifyAll();
            }
            attached.countDown();
        }
    }

    private void handle(AmqpWire current, AmqpWire.Described body) throws IOException {
        switch (body.code()) {
            case AmqpWire.BEGIN -> windowLimit = windowLimit < 0 ? body.number(2, 0) : windowLimit;
            case AmqpWire.FLOW -> {
                windowLimit = body.number(0, 0) + body.number(1, 0);
                if (body.field(4) != null) {
                    creditLimit = body.number(5, 0) + body.number(6, 0);
                    linked = true;
                    attached.countDown();
                }
                if (body.flag(8)) { // drain: give the remaining credit back
                    deliveryCount = Math.max(deliveryCount, creditLimit);
                    current.send(AmqpWire.FLOW, new AmqpWire.UInt(0), new AmqpWire.UInt(2048),
                        new AmqpWire.UInt(transfers), new AmqpWire.UInt(2048), new AmqpWire.UInt(0),
                        new AmqpWire.UInt(deliveryCount), new AmqpWire.UInt(0), null, true);
                }
            }
            case AmqpWire.DISPOSITION -> {
                // The same state once more, settled now, is still one outcome (2.6.12).
                String state = String.valueOf(body.field(4));
                for (long id = body.number(1, 0); id <= body.number(2, body.number(1, 0)); id++) {
                    if (!state.equals(outcomes[(int) id])) {
                        if (outcomes[(int) id] != null) {
                            journal.line("client %s: delivery %d: %s after %s", name, id, state, outcomes[(int) id]);
                        }
                        outcomes[(int) id] = state;
                        outcomeCounts[(int) id]++;
                    }
                }
            }
            case AmqpWire.DETACH, AmqpWire.END, AmqpWire.CLOSE -> {
                ended = true;
                end = "told to leave: " + body;
                attached.countDown();
            }
            default -> {
                return;
            }
        }
    }

    /** Sends one delivery; returns false if the relay has ended the link or the connection. */
    boolean send(byte[] message) throws InterruptedException {
        long id;
        synchronized (this) {
            while (deliveryCount >= creditLimit && !ended) {
                wait(100);
            }
            if (ended) {
                return false;
            }
            id = sent;
            deliveryCount++;
        }
        try {
            for (int offset = 0; offset < message.length; offset += FRAME_BYTES) {
                synchronized (this) {
                    while (transfers >= windowLimit && !ended) {
                        wait(100);
                    }
                    if (ended) {
                        return false;
                    }
                    transfers++;
                }
                boolean first = offset == 0;
                wire.send(0, 0, AmqpWire.TRANSFER, Arrays.asList(new AmqpWire.UInt(0),
                    first ? new AmqpWire.UInt(id) : null, first ? Long.toString(id).getBytes() : null,
                    new AmqpWire.UInt(0), false, offset + FRAME_BYTES < message.length),
                    Arrays.copyOfRange(message, offset, Math.min(message.length, offset + FRAME_BYTES)));
            }
        } catch (IOException e) {
            return false;
        }
        synchronized (this) {
            sent++;
        }
        return true;
    }

    synchronized int sent() {
        return sent;
    }

    /** Returns how many deliveries that were sent whole have this number of outcomes. */
    synchronized int withOutcomes(int number) {
        return (int) Arrays.stream(outcomeCounts, 0, sent).filter(n -> n == number).count();
    }

    synchronized String end() {
        return ended ? end : "";
    }
}
