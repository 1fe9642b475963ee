package saltstage.lab.amqp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import saltstage.net.Connection;
import saltstage.net.ConnectionHandler;
import saltstage.net.Loop;
import saltstage.net.Transport;

/** One client that speaks lines: opens, then says numbered lines that its backend says back. */
final class LineLoadClient implements ConnectionHandler, Transport.ConnectListener {
    private static final Connection.WriteLimits WRITE_LIMITS =
            new Connection.WriteLimits(1 << 16, 1 << 24);

    private record ScheduledLine(String id, long dueNanos) {}

    private final DeliveryTracker deliveryTracker;
    private final Loop loop;
    private final String openLine;
    private final Deque<ScheduledLine> pendingLines = new ArrayDeque<>();
    private final StringBuilder partialLine = new StringBuilder();
    private Connection connection;
    private volatile boolean established;

    LineLoadClient(
            Transport transport,
            Loop loop,
            InetSocketAddress to,
            String name,
            DeliveryTracker ledger) {
        this.deliveryTracker = ledger;
        this.loop = loop;
        openLine =
                "OPEN "
                        + name
                        + " k"
                        + name
                        + " c=status-report,t=kitaden-charge,d=2000,g="
                        + name
                        + "\r\n";
        loop.execute(() -> transport.connect(loop, to, Duration.ofSeconds(5), WRITE_LIMITS, this));
    }

    boolean isEstablished() {
        return established;
    }

    /** A line is due; it counts from this moment. */
    void scheduleLine(String id, long at) {
        deliveryTracker.deliverySent(id);
        loop.execute(
                () -> {
                    pendingLines.add(new ScheduledLine(id, at));
                    if (established) {
                        send(id + "\r\n");
                    }
                });
    }

    private void send(String text) {
        connection.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    void close() {
        loop.execute(
                () -> {
                    if (connection != null) {
                        connection.close();
                    }
                });
    }

    @Override
    public ConnectionHandler connected(Connection made) {
        connection = made;
        send(openLine);
        return this;
    }

    @Override
    public void failed(IOException why) {
        throw new IllegalStateException("cannot connect: " + why.getMessage());
    }

    @Override
    public void received(Connection on, ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            char c = (char) bytes.get();
            if (c != '\n') {
                partialLine.append(c);
                continue;
            }
            String text = partialLine.toString().trim();
            partialLine.setLength(0);
            if (text.startsWith("UP ")) {
                established = true;
                pendingLines.forEach(due -> send(due.id() + "\r\n"));
            } else if (!pendingLines.isEmpty() && pendingLines.peek().id().equals(text)) {
                ScheduledLine due = pendingLines.poll();
                deliveryTracker.outcomeReceived(
                        due.id(),
                        DeliveryTracker.DeliveryOutcome.ACCEPTED,
                        System.nanoTime() - due.dueNanos());
            }
        }
    }

    @Override
    public void inputEnded(Connection on) {
        on.close();
    }

    @Override
    public void closed(Connection on, Connection.Cause why) {
        established = false;
        pendingLines.forEach(
                due ->
                        deliveryTracker.outcomeReceived(
                                due.id(), DeliveryTracker.DeliveryOutcome.NOTHING, -1));
        pendingLines.clear();
    }
}
