package saltstage.admin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.BiConsumer;

/**
 * One connection of an operator's: reads its line, waits for the answer, writes it, ends. Never
 * blocks.
 */
final class Caller {
    /**
     * Longer than a person needs at a keyboard that sends whole lines; a script needs milliseconds.
     */
    private static final Duration LINE = Duration.ofSeconds(6);

    private static final Duration TAKES_ANSWER = Duration.ofSeconds(2);

    private enum Phase {
        READING,
        ASKED,
        WRITING,
        CLOSED
    }

    private final SocketChannel channel;
    private final SelectionKey key;
    private final BiConsumer<Caller, String> asks;
    private final long since = System.nanoTime();
    private final ByteBuffer in = ByteBuffer.allocate(Call.MOST + 2);
    private Phase phase = Phase.READING;
    private ByteBuffer out;
    private long until = since + LINE.toNanos();

    /** A caller; its whole line is handed to asks, once. */
    Caller(SocketChannel channel, SelectionKey key, BiConsumer<Caller, String> asks) {
        this.channel = channel;
        this.key = key;
        this.asks = asks;
        key.attach(this);
    }

    /** Something can be read or written. */
    void ready() {
        try {
            if (phase == Phase.READING) {
                read();
            } else if (phase == Phase.WRITING) {
                write();
            }
        } catch (IOException gone) {
            close();
        }
    }

    private void read() throws IOException {
        int read = channel.read(in);
        for (int i = 0; i < in.position(); i++) {
            if (in.get(i) == '\n') {
                ask(new String(in.array(), 0, i, StandardCharsets.ISO_8859_1));
                return;
            }
        }
        if (!in.hasRemaining()) {
            say(Call.error("line too long"));
        } else if (read < 0 && in.position() == 0) {
            close();
        } else if (read < 0) {
            say(Call.error("no end of line")); // half an id must not be taken for a whole one
        }
    }

    private void ask(String line) {
        phase = Phase.ASKED;
        key.interestOps(0);
        until = System.nanoTime() + TAKES_ANSWER.toNanos();
        asks.accept(this, line);
    }

    /** Its answer, whole. */
    void say(String answer) {
        if (phase == Phase.CLOSED) {
            return;
        }
        phase = Phase.WRITING;
        until = System.nanoTime() + TAKES_ANSWER.toNanos();
        out = ByteBuffer.wrap(answer.getBytes(StandardCharsets.ISO_8859_1));
        ready();
    }

    private void write() throws IOException {
        if (out.hasRemaining()) {
            channel.write(out);
            if (out.hasRemaining()) {
                key.interestOps(SelectionKey.OP_WRITE);
                return;
            }
            channel.shutdownOutput();
            key.interestOps(SelectionKey.OP_READ);
        }
        // What is still unread would make of a close a reset, and that might take the answer with
        // it.
        in.clear();
        int read = channel.read(in);
        if (read < 0 || read == in.capacity()) {
            close();
        }
    }

    /** Whether it must be forgotten: closed, or now that its time is up. */
    boolean overBy(long now) {
        if (phase != Phase.CLOSED && now - until > 0) {
            close();
        }
        return phase == Phase.CLOSED;
    }

    boolean olderThan(Duration age, long now) {
        return now - since > age.toNanos();
    }

    /** Whether it owes the rest of its line, or owes taking its answer. */
    boolean mayGo() {
        return phase != Phase.ASKED;
    }

    boolean closed() {
        return phase == Phase.CLOSED;
    }

    String remote() {
        return String.valueOf(channel.socket().getRemoteSocketAddress());
    }

    void close() {
        phase = Phase.CLOSED;
        key.cancel();
        try {
            channel.close();
        } catch (IOException ended) { // the other side was first
            return;
        }
    }
}
