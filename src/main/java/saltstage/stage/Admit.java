package saltstage.stage;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;
import saltstage.lifecycle.Configuration;
import saltstage.lifecycle.Log;
import saltstage.memory.ClientConnection;
import saltstage.memory.MonotonicClock;
import saltstage.memory.RequestContext;
import saltstage.memory.Timers;
import saltstage.wire.MalformedException;
import saltstage.wire.OpenLine;

/** Decides whether the relay itself can take a request: room for sockets, names that the settings know. */
public final class Admit {
    /** Descriptors that are not connections: the jar, the listener, discovery, the log. */
    private static final int RESERVED_SOCKETS = 64;
    /** The answer takes its way back too: the relay's clock must run out before the client's. */
    private static final Duration MARGIN = Duration.ofMillis(15);
    /** A module that has not answered so long after the deadline has lost the request. */
    private static final Duration OVERDUE = Duration.ofMillis(25);
    private static final Duration RESTORE = Duration.ofSeconds(35);

    private final Configuration config;
    private final MonotonicClock clock;
    private final Timers timers;
    private final Route route;
    private final Send send;
    private final Book book;
    private final AtomicLong ids = new AtomicLong();

    Admit(Configuration config, MonotonicClock clock, Timers timers, Route route, Send send, Book book) {
        this.config = config;
        this.clock = clock;
        this.timers = timers;
        this.route = route;
        this.send = send;
        this.book = book;
    }

    /** Admits a request and has it routed; the context that it became, answered already or not. */
    RequestContext admit(ClientConnection client, OpenLine open, int clients) throws MalformedException {
        Instant now = clock.now();
        int serviceClass = config.serviceClass(open.field("c"));
        config.tenant(open.field("t"));
        String at = open.field("at");
        Duration patience = open.patience(config.giveUp(serviceClass));
        Instant deadline = now.plus(at != null ? RESTORE : patience).minus(MARGIN);
        RequestContext context = new RequestContext(ids.incrementAndGet(), open, deadline, client);
        book.taken();
        if (2L * clients > config.sockets() - RESERVED_SOCKETS) {
            // Each connection takes two descriptors; the last ones are for those that are already here.
            Log.warn("admit.full", "clients", clients, "sockets", config.sockets());
            book.reject(context, config.longestRetryAfter());
        } else if (at != null) {
            send.restore(context, at);
        } else {
            route.request(context);
            timers.after(Duration.between(now, deadline).plus(OVERDUE), () -> overdue(context));
        }
        return context;
    }

    private void overdue(RequestContext context) {
        if (context.phase() == RequestContext.Phase.WAITING) {
            Log.warn("request.overdue", "id", context.open().id());
            book.fail(context);
        }
    }

    /** No thread is left for this client: it is told to come again, by the thread that accepted it. */
    void turnAway(Socket socket) {
        try (socket) {
            String line = "BUSY " + config.longestRetryAfter().toMillis() + "\r\n";
            socket.getOutputStream().write(line.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException gone) {
            Log.info("client.broken", "why", gone.getMessage());
        }
    }
}
