package saltstage.stage;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Predicate;
import saltstage.Api;
import saltstage.Api.Health;
import saltstage.Api.Listing;
import saltstage.Api.Note;
import saltstage.Api.Outcome;
import saltstage.Api.Request;
import saltstage.Api.Server;
import saltstage.Logic;
import saltstage.config.Configuration;
import saltstage.log.Log;
import saltstage.memory.MonotonicClock;
import saltstage.memory.Peer;
import saltstage.memory.RequestContext;
import saltstage.memory.Terms;
import saltstage.memory.Timers;
import saltstage.memory.Try;
import saltstage.wire.HostList;

/**
 * The owner of the decisions: feeds {@link Logic} one event at a time, in order, on one clock. What
 * it decides is gathered under the lock and done after it, by the thread that brought the event;
 * none of that blocks. Only here are the relay's names and times turned into the module's ids and
 * microseconds and back.
 */
public final class Route {
    private static final long MOST_KEY = (1L << 53) - 1;

    private final Configuration config;
    private final MonotonicClock clock;
    private final Timers timers;
    private final Effects effects;
    private final Predicate<String> suspended;
    private final Logic logic;
    private final ReentrantLock lock = new ReentrantLock(true);
    private final Map<Long, RequestContext> contexts = new ConcurrentHashMap<>();
    private List<Runnable> gathered = new ArrayList<>();

    /** What the other stages do on a decision. */
    public interface Effects {
        /** Starts the next try; a zero limit is the client's deadline. */
        void send(RequestContext context, String uid, Duration limit);

        /** Rejects the request at once. */
        void reject(RequestContext context, Duration retryAfter);

        /** Fails the request at once. */
        void fail(RequestContext context);

        /** Moves the client of a standing connection. */
        void move(RequestContext context);

        /** Asks a backend for its load; never blocks. */
        void probe(String uid);

        /** Subscribes to discovery. */
        void watch();
    }

    private interface Event {
        void feed(Logic logic, long now);
    }

    /** The decisions for this configuration. */
    public Route(
            Configuration config,
            MonotonicClock clock,
            Timers timers,
            Effects effects,
            Predicate<String> suspended) {
        this.suspended = suspended;
        this.config = config;
        this.clock = clock;
        this.timers = timers;
        this.effects = effects;
        logic = new Logic(config.settings(), config.seed(), new Gatherer());
    }

    /** The relay starts, with the list as it last had it. */
    public void start(HostList known) {
        feed(Logic::start);
        list(known, Listing.REMEMBERED);
    }

    /** Discovery has told something. */
    public void list(HostList list) {
        list(list, list.all() ? Listing.ALL : Listing.CHANGES);
    }

    private void list(HostList list, Listing kind) {
        List<Server> servers = list.targets().stream().map(this::server).toList();
        feed((logic, now) -> logic.list(now, kind, servers));
    }

    /** Operators have suspended or restored a backend: to the module it drains, or no more. */
    public void relist(Peer peer) {
        feed(
                (logic, now) -> {
                    if (!peer.ended()) { // else the module is told of its end, or has been
                        logic.list(now, Listing.CHANGES, List.of(server(peer.entry())));
                    }
                });
    }

    /** The backends that the module leaves alone just now. */
    public Set<String> avoided() {
        lock.lock();
        try {
            return logic.avoided(toModule(clock.now()));
        } finally {
            lock.unlock();
        }
    }

    /** A call to discovery failed, or the watch broke. */
    public void listRefused() {
        feed((logic, now) -> logic.list(now, Listing.REFUSED, List.of()));
    }

    /** A request was admitted: it is owed one final answer. */
    public void request(RequestContext context) {
        Request request = moduleRequest(context);
        contexts.put(context.id(), context);
        feed((logic, now) -> logic.request(now, request));
    }

    /** A connection that was open before the relay started stands again. */
    public void restored(Try standing) {
        RequestContext context = standing.context();
        Request request = moduleRequest(context);
        contexts.put(context.id(), context);
        feed((logic, now) -> logic.open(now, request, standing.peer().entry().uid()));
    }

    /** A try stands. */
    public void standing(Try standing) {
        long latency = micros(Duration.between(standing.sentAt(), clock.now()));
        feed((logic, now) -> logic.streaming(now, standing.context().id(), latency));
    }

    /** A try has ended; over: nothing more is owed. */
    public void outcome(RequestContext context, Outcome outcome, boolean over) {
        if (over) {
            contexts.remove(context.id());
        }
        feed((logic, now) -> logic.outcome(now, context.id(), outcome, over));
    }

    /** The client has left before its answer. */
    public void left(RequestContext context) {
        contexts.remove(context.id());
        feed((logic, now) -> logic.gone(now, context.id()));
    }

    /** A backend told the load of a connection, in microseconds of work a second. */
    public void load(Try standing, double level) {
        feed((logic, now) -> logic.note(now, standing.context().id(), Note.LOAD, level));
    }

    /** Messages take so long at the backend of this try. */
    public void delay(Try standing, Duration delay) {
        feed(
                (logic, now) ->
                        logic.note(
                                now, standing.context().id(), Note.DELAY, micros(delay) / 1000.0));
    }

    /** A probe has come back. */
    public void probed(String uid, Outcome outcome, double asked) {
        feed((logic, now) -> logic.probed(now, uid, outcome, asked));
    }

    /** What the module has learnt, as plain data. */
    public Api.Learnt learnt() {
        lock.lock();
        try {
            return logic.learnt(toModule(clock.now()));
        } finally {
            lock.unlock();
        }
    }

    /** Gives the module what one before it had learnt. */
    public void learn(Api.Learnt known) {
        feed((logic, now) -> logic.learn(now, known));
    }

    /** All contexts, for the end of the relay. */
    public List<RequestContext> all() {
        return List.copyOf(contexts.values());
    }

    private void feed(Event event) {
        List<Runnable> todo;
        lock.lock();
        try {
            event.feed(logic, toModule(clock.now()));
        } catch (RuntimeException fault) {
            // A fault of the module costs this event; the deadline guard of Admit answers its
            // request.
            Log.error("module.fault", fault);
        } finally {
            todo = gathered;
            gathered = new ArrayList<>();
            lock.unlock();
        }
        todo.forEach(Runnable::run);
    }

    // ---- the one place of ids and microseconds

    private static long toModule(Instant at) {
        return ChronoUnit.MICROS.between(Instant.EPOCH, at);
    }

    private static long micros(Duration span) {
        return span.toNanos() / 1000;
    }

    private static Duration span(long micros) {
        return Duration.of(micros, ChronoUnit.MICROS);
    }

    private Server server(HostList.Entry entry) {
        Health health =
                switch (entry.state()) {
                    case READY -> suspended.test(entry.uid()) ? Health.DRAINING : Health.READY;
                    case DRAINING -> Health.DRAINING;
                    case GONE -> Health.GONE;
                };
        return new Server(
                entry.uid(),
                config.zone(entry.zone()),
                entry.cell(),
                health,
                entry.weight(),
                toModule(entry.startedAt()));
    }

    private Request moduleRequest(RequestContext context) {
        Terms terms = context.terms();
        return new Request(
                context.id(),
                terms.serviceClass(),
                terms.tenant(),
                key(terms.key()),
                key(terms.group()),
                terms.hint(),
                toModule(context.deadline()),
                terms.again(),
                false);
    }

    /**
     * FNV-1a: keys are texts on sockets and numbers in the module, and all relays must agree on
     * them.
     */
    private static long key(String text) {
        if (text == null) {
            return Api.NONE;
        }
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return (hash ^ hash >>> 32) & MOST_KEY;
    }

    /** Gathers what the module decides within an event. */
    private final class Gatherer implements Api.Actions {
        private void on(long id, Consumer<RequestContext> effect) {
            RequestContext context = contexts.get(id);
            if (context != null) {
                gathered.add(() -> effect.accept(context));
            }
        }

        @Override
        public void send(long id, String server, long timeout) {
            on(id, context -> effects.send(context, server, span(timeout)));
        }

        @Override
        public void refuse(long id, long retryAfter) {
            on(id, context -> effects.reject(context, span(retryAfter)));
            contexts.remove(id);
        }

        @Override
        public void fail(long id) {
            on(id, effects::fail);
            contexts.remove(id);
        }

        @Override
        public void move(long id) {
            on(id, effects::move);
        }

        @Override
        public void timer(String token, long delay) {
            timers.after(span(delay), () -> feed((logic, now) -> logic.timer(now, token)));
        }

        @Override
        public void probe(String server) {
            gathered.add(() -> effects.probe(server));
        }

        @Override
        public void watch() {
            gathered.add(effects::watch);
        }
    }
}
