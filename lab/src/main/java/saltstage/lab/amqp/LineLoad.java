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
final class LineLoad implements ConnectionHandler, Transport.ConnectListener {
    private static final Connection.WriteLimits BOUNDS = new Connection.WriteLimits(1 << 16, 1 << 24);

    private record Due(String id, long at) { }

    private final Ledger ledger;
    private final Loop loop;
    private final String open;
    private final Deque<Due> waiting = new ArrayDeque<>();
    private final StringBuilder line = new StringBuilder();
    private Connection connection;
    private volatile boolean up;

    LineLoad(Transport transport, Loop loop, InetSocketAddress to, String name, Ledger ledger) {
        this.ledger = ledger;
        this.loop = loop;
        open = "OPEN " + name + " k" + name + " c=status-report,t=kitaden-charge,d=2000,g=" + name + "\r\n";
        loop.execute(() -> transport.connect(loop, to, Duration.ofSeconds(5), BOUNDS, this));
    }

    boolean isUp() {
        return up;
    }

    /** A line is due; it counts from this moment. */
    void due(String id, long at) {
        ledger.sent(id);
        loop.execute(() -> {
            waiting.add(new Due(id, at));
            if (up) {
                say(id + "\r\n");
            }
        });
    }

    private void say(String text) {
        connection.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    void end() {
        loop.execute(() -> {
            if (connection != null) {
                connection.close();
            }
        });
    }

    @Override
    public ConnectionHandler connected(Connection made) {
        connection = made;
        say(open);
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
                line.append(c);
                continue;
            }
            String text = line.toString().trim();
            line.setLength(0);
            if (text.startsWith("UP ")) {
                up = true;
                waiting.forEach(due -> say(due.id() + "\r\n"));
            } else if (!waiting.isEmpty() && waiting.peek().id().equals(text)) {
                Due due = waiting.poll();
                ledger.outcome(due.id(), Ledger.Told.ACCEPTED, System.nanoTime() - due.at());
            }
        }
    }

    @Override
    public void inputEnded(Connection on) {
        on.close();
    }

    @Override
    public void closed(Connection on, Connection.Cause why) {
        up = false;
        waiting.forEach(due -> ledger.outcome(due.id(), Ledger.Told.NOTHING, -1));
        waiting.clear();
    }
}
