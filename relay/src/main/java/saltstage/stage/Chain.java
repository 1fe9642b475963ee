package saltstage.stage;

import java.time.Duration;
import java.util.List;
import saltstage.config.Configuration;
import saltstage.log.Log;
import saltstage.memory.Doorway;
import saltstage.memory.MonotonicClock;
import saltstage.memory.Peer;
import saltstage.memory.Peers;
import saltstage.memory.RequestContext;
import saltstage.memory.Timers;
import saltstage.wire.HostList;

/** The stages, joined: take in, admit, route, send, relay, book. */
public final class Chain {
    /** A process that ended resets its connections itself; a machine that vanished does not. */
    private static final Duration PEER_ENDED = Duration.ofMillis(300);

    private final Timers timers;
    private final Route route;
    private final Relay relay;
    private final Book book;
    private final TakeIn takeIn;

    /** Joins the stages; watch subscribes to discovery. */
    public Chain(Configuration config, MonotonicClock clock, Timers timers, Peers peers, Runnable watch) {
        this.timers = timers;
        book = new Book(config, clock, timers, peers);
        relay = new Relay(clock, timers, book);
        Send send = new Send(config, clock, peers, book, relay);
        Probe probe = new Probe(peers);
        route = new Route(config, clock, timers, effects(send, probe, watch));
        book.route(route);
        probe.route(route);
        Doorway doorway = new Doorway(Admit.doorway(config.sockets()));
        takeIn = new TakeIn(doorway, new Admit(config, clock, timers, route, send, book), relay, book);
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
                relay.move(context.current(), "balance");
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

    /** The stage that holds the standing connections. */
    public Relay relay() {
        return relay;
    }

    /** Discovery has told something, and these processes have ended by it. */
    public void listed(List<Peer> ended, HostList list) {
        Log.info("discovery.list", "rev", list.rev(), "all", list.all(), "targets", list.targets().size());
        route.list(list);
        for (Peer peer : ended) {
            timers.after(PEER_ENDED, () -> relay.peerEnded(peer));
        }
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
        book.logTotals(takeIn.clients(), relay.standing().size(), more);
    }

    /** The relay leaves: what still waits is rejected, and may come again elsewhere at once. */
    public void rejectWaiting() {
        route.all().forEach(context -> book.reject(context, Duration.ZERO));
    }
}
