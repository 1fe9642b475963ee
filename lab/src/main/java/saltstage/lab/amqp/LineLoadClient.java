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

/** A client of the line protocol: opens a request, then sends numbered lines that are echoed. */
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
            InetSocketAddress target,
            String name,
            DeliveryTracker deliveryTracker) {
        this.deliveryTracker = deliveryTracker;
        this.loop = loop;
        openLine =
                "OPEN "
                        + name
                        + " k"
                        + name
                        + " c=status-report,t=kitaden-charge,d=2000,g="
                        + name
                        + "\r\n";
        loop.execute(
                () -> transport.connect(loop, target, Duration.ofSeconds(5), WRITE_LIMITS, this));
    }

    boolean isEstablished() {
        return established;
    }

    /** Queues a line; its latency counts from {@code dueNanos}. */
    void scheduleLine(String id, long dueNanos) {
        deliveryTracker.deliverySent(id);
        loop.execute(
                () -> {
                    pendingLines.add(new ScheduledLine(id, dueNanos));
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
    public ConnectionHandler connected(Connection newConnection) {
        connection = newConnection;
        send(openLine);
        return this;
    }

    @Override
    public void failed(IOException cause) {
        throw new IllegalStateException("cannot connect: " + cause.getMessage());
    }

    @Override
    public void received(Connection source, ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            char c = (char) bytes.get();
            if (c != '\n') {
                partialLine.append(c);
                continue;
            }
            String line = partialLine.toString().trim();
            partialLine.setLength(0);
            if (line.startsWith("UP ")) {
                established = true;
                pendingLines.forEach(scheduled -> send(scheduled.id() + "\r\n"));
            } else if (!pendingLines.isEmpty() && pendingLines.peek().id().equals(line)) {
                ScheduledLine scheduled = pendingLines.poll();
                deliveryTracker.outcomeReceived(
                        scheduled.id(),
                        DeliveryTracker.DeliveryOutcome.ACCEPTED,
                        System.nanoTime() - scheduled.dueNanos());
            }
        }
    }

    @Override
    public void inputEnded(Connection source) {
        source.close();
    }

    @Override
    public void closed(Connection source, Connection.Cause cause) {
        established = false;
        pendingLines.forEach(
                scheduled ->
                        deliveryTracker.outcomeReceived(
                                scheduled.id(), DeliveryTracker.DeliveryOutcome.NOTHING, -1));
        pendingLines.clear();
    }
}
