package saltstage.amqp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.function.Supplier;
import saltstage.log.Log;
import saltstage.net.AddressInUseException;
import saltstage.net.Connection;
import saltstage.net.Transport;
import saltstage.stage.Threads;

/**
 * The listening socket for AMQP clients. Unlike the clients' socket of the line protocol it is not
 * shared by the two processes of a replacement: the new process opens it when the old one has
 * closed it.
 */
final class AmqpListener {
    /** From the first limit of unsent bytes on, nothing more is read from a client. */
    private static final Connection.WriteLimits WRITE_LIMITS =
            new Connection.WriteLimits(64 << 10, 4 << 20);

    private static final int ACCEPT_BACKLOG = 1_024;

    /** Short, because clients are refused from the end of one listener to the start of the next. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(20);

    private static final Duration WAITING_LOG_INTERVAL = Duration.ofSeconds(10);

    private final Transport transport;
    private final InetSocketAddress address;
    private final Transport.Acceptor acceptor;
    private final Supplier<Instant> clock;
    private Transport.Listener listener;
    private boolean closed;

    AmqpListener(
            Transport transport,
            InetSocketAddress address,
            Transport.Acceptor acceptor,
            Supplier<Instant> clock) {
        this.transport = transport;
        this.address = address;
        this.acceptor = acceptor;
        this.clock = clock;
    }

    /** Opens the listening socket. */
    synchronized void open() throws IOException {
        if (!closed) {
            listener = transport.listen(address, ACCEPT_BACKLOG, WRITE_LIMITS, acceptor);
            Log.info("amqp.ready", "listen", listener.address());
        }
    }

    /**
     * Opens the listening socket, now or as soon as the address is free. Any other failure than an
     * address in use is thrown.
     */
    void openWhenFree() throws IOException {
        try {
            open();
        } catch (AddressInUseException inUse) {
            Log.info("amqp.waiting", "listen", address, "why", inUse.getMessage());
            Threads.start("amqp-listen", this::retryUntilOpen);
        }
    }

    private void retryUntilOpen() throws InterruptedException {
        Instant nextLogDue = clock.get().plus(WAITING_LOG_INTERVAL);
        while (!isOpenOrClosed()) {
            Thread.sleep(RETRY_PAUSE.toMillis());
            try {
                open();
            } catch (IOException failure) {
                if (!clock.get().isBefore(nextLogDue)) {
                    Log.warn("amqp.waiting", "listen", address, "why", failure.getMessage());
                    nextLogDue = clock.get().plus(WAITING_LOG_INTERVAL);
                }
            }
        }
    }

    private synchronized boolean isOpenOrClosed() {
        return listener != null || closed;
    }

    /** Closes the listening socket for good; has no effect if it is closed already. */
    synchronized void close() {
        closed = true;
        if (listener != null) {
            listener.close();
        }
    }
}
