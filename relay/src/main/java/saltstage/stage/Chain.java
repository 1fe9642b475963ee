package saltstage.stage;

import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import java.util.function.IntSupplier;
import saltstage.config.Configuration;
import saltstage.log.Log;
import saltstage.memory.MonotonicClock;
import saltstage.memory.Peer;
import saltstage.memory.Peers;
import saltstage.memory.RequestContext;
import saltstage.memory.Timers;
import saltstage.memory.Try;
import saltstage.metrics.Counts;
import saltstage.wire.HostList;

/** The stages, joined: take in, admit, route, send, relay, book. */
public final class Chain {
    /** A process that ended resets its connections itself; a machine that vanished does not. */
    private static final Duration PEER_ENDED = Duration.ofMillis(300);

    private final Timers timers;
    private final Route route;
    private final LineRelay relay;
    private final Book book;
    private final Admit admit;
    private final IntSupplier probedPeers;
    private volatile int descriptors;
    private final TakeIn takeIn;
    private final List<Front> fronts = new CopyOnWriteArrayList<>();

    /** Joins the stages; watch subscribes to discovery. */
    public Chain(
            Configuration config,
            MonotonicClock clock,
            Timers timers,
            Peers peers,
            Counts counts,
            Runnable watch) {
        this(config, clock, timers, peers, counts, watch, SocketChannel::socket);
    }

    /**
     * Joins the stages; clients that have asked are met through these sockets of their channels.
     */
    public Chain(
            Configuration config,
            MonotonicClock clock,
            Timers timers,
            Peers peers,
            Counts counts,
            Runnable watch,
            Function<SocketChannel, Socket> sockets) {
        this.timers = timers;
        book = new Book(config, clock, peers, counts);
        relay = new LineRelay(clock, timers, book);
        ThreadBudget threads = new ThreadBudget(Threads::tryStart);
        LineTry tries = new LineTry(config, clock, peers, book, relay, threads);
        Send send = new Send(clock, peers, book);
        Probe probe = new Probe(peers);
        route = new Route(config, clock, timers, effects(send, probe, watch), peers::suspended);
        book.route(route);
        probe.route(route);
        probedPeers =
                () ->
                        config.settings().probes()
                                ? Math.min(peers.all().size(), Probe.MOST_CONNECTIONS)
                                : 0;
        descriptors = config.sockets();
        admit = new Admit(config, clock, timers, route, tries, book);
        takeIn =
                new TakeIn(
                        Admit.doorway(config.sockets()),
                        admit,
                        asking ->
                                new LineClient(
                                        sockets.apply(asking.channel()),
                                        asking.takeRest(),
                                        timers,
                                        tries,
                                        relay),
                        relay,
                        book,
                        threads);
        fronts.add(takeIn);
    }

    private Route.Effects effects(Send send, Probe probe, Runnable watch) {
        return new Route.Effects() {
            @Override
            public void send(RequestContext context, String uid, Duration limit) {
                send.start(context, uid, limit);
            }

            @Override
            public void reject(RequestContext context, Duration retryAfter) {
                book.reject(context, retryAfter);
            }

            @Override
            public void fail(RequestContext context) {
                book.fail(context);
            }

            @Override
            public void move(RequestContext context) {
                Chain.this.move(context.current(), "balance");
            }

            @Override
            public void probe(String uid) {
                probe.ask(uid);
            }

            @Override
            public void watch() {
                watch.run();
            }
        };
    }

    /** The first stage. */
    public TakeIn takeIn() {
        return takeIn;
    }

    /** The owner of the decisions. */
    public Route route() {
        return route;
    }

    /** The stage that admits requests. */
    public Admit admit() {
        return admit;
    }

    /** The stage that books what became of them. */
    public Book book() {
        return book;
    }

    /** Where clients come in: the lines' front and those that were added. */
    public List<Front> fronts() {
        return fronts;
    }

    /** One more way for clients to come in. */
    public void add(Front front) {
        fronts.add(front);
    }

    /**
     * Has a standing try's client moved, whatever it speaks; a reason "peer..." is the backend's
     * fault.
     */
    public boolean move(Try up, String reason) {
        return up.context().client().move(up, reason);
    }

    /** Discovery has told something, and these processes have ended by it. */
    public void listed(List<Peer> ended, HostList list) {
        Log.info(
                "discovery.list",
                "rev",
                list.rev(),
                "all",
                list.all(),
                "targets",
                list.targets().size());
        descriptors(descriptors);
        route.list(list);
        for (Peer peer : ended) {
            // Its clients are moved: the machine may never send a reset.
            timers.after(PEER_ENDED, () -> peer.standing().forEach(up -> move(up, "peer gone")));
        }
    }

    /** So many descriptors are this process's; said again while another one takes part of them. */
    public void descriptors(int most) {
        descriptors = most;
        int left = most - probedPeers.getAsInt(); // connections for probes
        admit.descriptors(left);
        takeIn.acceptor().room(Admit.doorway(left));
    }

    /** About how many descriptors are in use. */
    public int descriptorsInUse() {
        return admit.descriptorsInUse() + takeIn.acceptor().size() + probedPeers.getAsInt();
    }

    /** Looks for backends that bring nothing back. */
    public void checkSilence() {
        relay.checkSilence();
    }

    /** Tells the module which backends are slow; once a second. */
    public void tellDelays() {
        book.tellDelays();
    }

    /** Writes the totals to the log, with these names and values behind them. */
    public void logTotals(Object... more) {
        int clients = fronts.stream().mapToInt(Front::clients).sum();
        book.logTotals(clients, takeIn.acceptor().accepted(), more);
    }

    /**
     * The relay leaves: what still waits is answered, and may mostly come again elsewhere at once.
     */
    public void rejectWaiting() {
        route.all().forEach(book::leave);
    }
}
