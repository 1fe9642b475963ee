package saltstage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Stream;
import saltstage.Api.Effect;
import saltstage.Api.Health;
import saltstage.Api.Listing;
import saltstage.Api.Note;
import saltstage.Api.Outcome;
import saltstage.Api.Request;
import saltstage.Api.Rules;
import saltstage.Api.Scope;
import saltstage.Api.Server;
import saltstage.Api.ServiceClass;
import saltstage.Api.Settings;

/** Drives one node through Api and keeps what it did. */
final class Rig implements Api.Actions {
    static final long SECOND = 1_000_000;
    final List<String> acts = new ArrayList<>();
    final TreeMap<Long, String> sentTo = new TreeMap<>();
    long now = 100 * SECOND;
    long lastTimeout;
    Logic node;
    private long ids;

    static ServiceClass safe() {
        return new ServiceClass(300_000, 1_200_000, Effect.SAFE, Scope.ALL, 5 * SECOND, 5, 100_000);
    }

    static ServiceClass cheap() {
        return new ServiceClass(300_000, 1_200_000, Effect.SAFE, Scope.ALL, 5 * SECOND, 1, 100_000);
    }

    static ServiceClass keyed(Scope scope) {
        return new ServiceClass(300_000, 1_200_000, Effect.KEYED, scope, SECOND / 2, 5, 100_000);
    }

    static ServiceClass unsafe() {
        return new ServiceClass(
                300_000, 1_200_000, Effect.UNSAFE, Scope.ALL, 5 * SECOND, 5, 100_000);
    }

    static Rules rules() {
        return new Rules(SECOND, 0.25, 10 * SECOND, 2.5, 2 * SECOND, 10 * SECOND);
    }

    static Settings settings(double crossing, boolean asks, ServiceClass... classes) {
        return new Settings(
                40,
                0,
                Arrays.asList(classes),
                List.of(100L, 100L),
                0.2,
                6,
                250_000,
                asks,
                true,
                crossing,
                0,
                5000,
                false,
                rules());
    }

    Rig(Settings settings, long seed) {
        node = new Logic(settings, seed, this);
        node.start(now);
    }

    static Rig of(ServiceClass... classes) {
        return new Rig(settings(0.02, false, classes), 1);
    }

    static Server server(String id, int zone) {
        return new Server(id, zone, zone * 10 + id.hashCode() % 2, Health.READY, 1, 0);
    }

    static Server as(Server s, Health health) {
        return new Server(s.id(), s.zone(), s.cell(), health, s.weight(), s.startedAt());
    }

    static Server[] fleet(int n) {
        return Stream.iterate(0, i -> i + 1)
                .limit(n)
                .map(i -> server("s" + i, i % 2))
                .toArray(Server[]::new);
    }

    Rig list(Listing kind, Server... servers) {
        node.list(now, kind, List.of(servers));
        return this;
    }

    long request(int cls, long key, long group, long hint) {
        long id = ++ids;
        node.request(now, new Request(id, cls, 0, key, group, hint, now + 1_200_000, false, false));
        return id;
    }

    long request(long key) {
        return request(0, key, Api.NONE, Api.NONE);
    }

    void streams(long id, long latency) {
        node.streaming(now, id, latency);
    }

    void ends(long id, Outcome outcome) {
        node.outcome(now, id, outcome, false);
    }

    /** Tells that messages at a server take so long, as of an open connection there. */
    void told(String server, double ms) {
        node.note(now, opened(server, Api.NONE), Note.DELAY, ms);
    }

    /** A connection that was open at this server already. */
    long opened(String server, long hint) {
        long id = ++ids;
        node.open(
                now,
                new Request(id, 0, 0, id + 1_000_000, Api.NONE, hint, now, false, false),
                server);
        return id;
    }

    /** Where a fresh request with this key goes; it is served at once, with the usual latency. */
    String route(long key) {
        return route(0, key, Api.NONE, Api.NONE);
    }

    String route(int cls, long key, long group, long hint) {
        long id = request(cls, key, group, hint);
        String server = sentTo.get(id);
        if (server != null) {
            streams(id, 10_000);
            node.outcome(now, id, Outcome.SERVED, true);
        }
        return server;
    }

    long sends() {
        return acts.stream().filter(a -> a.startsWith("send")).count();
    }

    String last() {
        return acts.get(acts.size() - 1);
    }

    @Override
    public void send(long id, String server, long timeout) {
        sentTo.put(id, server);
        lastTimeout = timeout;
        acts.add("send " + id + " " + server);
    }

    @Override
    public void refuse(long id, long retryAfter) {
        acts.add("refuse " + id);
    }

    @Override
    public void fail(long id) {
        acts.add("fail " + id);
    }

    @Override
    public void move(long id) {
        acts.add("move " + id);
    }

    @Override
    public void timer(String token, long delay) {
        acts.add("timer " + token + " " + delay);
    }

    @Override
    public void probe(String server) {
        acts.add("probe " + server);
    }

    @Override
    public void watch() {
        acts.add("watch");
    }
}
