package saltstage.admin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.BiConsumer;

/**
 * One operator connection: reads one line, waits for the answer, writes it and closes. It never
 * blocks.
 */
final class OperatorConnection {
    /**
     * Time for the complete line. A script needs milliseconds, and a person who types at a terminal
     * that sends whole lines needs less than this.
     */
    private static final Duration LINE_TIMEOUT = Duration.ofSeconds(6);

    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(2);

    private enum Phase {
        READING,
        AWAITING_ANSWER,
        WRITING,
        CLOSED
    }

    private final SocketChannel channel;
    private final SelectionKey key;
    private final BiConsumer<OperatorConnection, String> lineListener;
    private final long acceptedAtNs = System.nanoTime();
    private final ByteBuffer input = ByteBuffer.allocate(OperatorCall.MAX_LINE_BYTES + 2);
    private Phase phase = Phase.READING;
    private ByteBuffer output;
    private long deadlineNs = acceptedAtNs + LINE_TIMEOUT.toNanos();

    /** Creates a connection that passes its complete line to the listener once. */
    OperatorConnection(
            SocketChannel channel,
            SelectionKey key,
            BiConsumer<OperatorConnection, String> lineListener) {
        this.channel = channel;
        this.key = key;
        this.lineListener = lineListener;
        key.attach(this);
    }

    /** Called when the channel can be read or written. */
    void ready() {
        try {
            if (phase == Phase.READING) {
                read();
            } else if (phase == Phase.WRITING) {
                write();
            }
        } catch (IOException e) {
            close();
        }
    }

    private void read() throws IOException {
        int bytesRead = channel.read(input);
        for (int i = 0; i < input.position(); i++) {
            if (input.get(i) == '\n') {
                lineReceived(new String(input.array(), 0, i, StandardCharsets.ISO_8859_1));
                return;
            }
        }
        if (!input.hasRemaining()) {
            sendAnswer(OperatorCall.errorLine("line too long"));
        } else if (bytesRead < 0 && input.position() == 0) {
            close();
        } else if (bytesRead < 0) {
            sendAnswer(
                    OperatorCall.errorLine(
                            "no end of line")); // half an id must not pass for a whole one
        }
    }

    private void lineReceived(String line) {
        phase = Phase.AWAITING_ANSWER;
        key.interestOps(0);
        deadlineNs = System.nanoTime() + ANSWER_TIMEOUT.toNanos();
        lineListener.accept(this, line);
    }

    /** Sends the whole answer and closes the connection after it. */
    void sendAnswer(String answer) {
        if (phase == Phase.CLOSED) {
            return;
        }
        phase = Phase.WRITING;
        deadlineNs = System.nanoTime() + ANSWER_TIMEOUT.toNanos();
        output = ByteBuffer.wrap(answer.getBytes(StandardCharsets.ISO_8859_1));
        ready();
    }

    private void write() throws IOException {
        if (output.hasRemaining()) {
            channel.write(output);
            if (output.hasRemaining()) {
                key.interestOps(SelectionKey.OP_WRITE);
                return;
            }
            channel.shutdownOutput();
            key.interestOps(SelectionKey.OP_READ);
        }
        // Closing a socket with unread input sends a reset, which could discard the answer.
        input.clear();
        int bytesRead = channel.read(input);
        if (bytesRead < 0 || bytesRead == input.capacity()) {
            close();
        }
    }

    /** Closes the connection if its deadline has passed; returns whether it is closed. */
    boolean closeIfExpired(long nowNs) {
        if (phase != Phase.CLOSED && nowNs - deadlineNs > 0) {
            close();
        }
        return phase == Phase.CLOSED;
    }

    boolean isOlderThan(Duration age, long nowNs) {
        return nowNs - acceptedAtNs > age.toNanos();
    }

    /** Whether the operator has not yet sent a complete line or not read the whole answer. */
    boolean isEvictable() {
        return phase != Phase.AWAITING_ANSWER;
    }

    boolean isClosed() {
        return phase == Phase.CLOSED;
    }

    String remoteAddress() {
        return String.valueOf(channel.socket().getRemoteSocketAddress());
    }

    void close() {
        phase = Phase.CLOSED;
        key.cancel();
        try {
            channel.close();
        } catch (IOException e) { // the operator has closed it first
            return;
        }
    }
}
