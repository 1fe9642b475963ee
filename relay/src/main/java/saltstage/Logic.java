// The types, events and actions used here are in Api.java, beside this file: read that first.
package saltstage;

import static saltstage.State.*;

import java.util.*;
import saltstage.Api.*;
import saltstage.State.*;

/**
 * Every decision of one node; single-threaded, its time comes with the events, its chance from the
 * seed.
 */
public final class Logic implements Api.Events {
    // The mechanism
    private static final int WINDOWS =
            2; // f: the running window and the one before (paper, figure 2)
    private static final int WINDOW_ARRIVALS =
            16; // N: four for each place, so that places are contested
    private static final double PERCENTILE =
            0.8; // p: only the worst fifth of the servers may be left
    private static final double ALPHA = 1; // the paper's default
    private static final int DRAWS =
            6; // for the least loaded: misses the busy ones, ranks no fleet
    private static final long PERIOD =
            1_000_000; // quantiles are kept so long: delays come each second
    // Stand-ins
    private static final double SPREAD =
            1.5; // a group's places for each server's worth of it: none is full
    private static final double PRIOR =
            10; // connections that the mean share of a group weighs as much as
    private static final int CHAIN =
            12; // more places in a key's order; half near where crossings are dear
    private static final double DEAR_CROSSING =
            0.05; // of a request's worth: dearer than a group's set-up
    private static final double CAUTION = 0.5; // of what rule 4 allows: the rest is for chance
    private static final double PART_KEPT =
            0.97; // a second: what machines can do changes in minutes
    private static final double TRUST = 5; // what was learnt before counts as so many seconds
    private static final int REBUILD =
            4; // tables wait a part of the warm-up; who left is passed over
    // Health
    private static final long FRESH = 2_500_000; // told delays come each second
    private static final long MEMORY =
            10_000_000; // of the last one, where no own connection is left
    private static final long EJECT =
            2_000_000; // a failed server is left alone, twice as long each time
    private static final int MAX_DOUBLINGS = 3; // 8 s: troubles last tens of seconds
    private static final Set<Outcome> FAILURES =
            EnumSet.range(Outcome.FULL, Outcome.RESET); // the server's
    private static final double THROTTLE = 2; // set-ups tried for each that stood, where most fail
    private static final double THROTTLE_RESERVE = 5; // and so many more: a node sees little
    private static final double THROTTLE_SPAN =
            10_000_000; // the memory for this: storms last longer
    private static final long LIST_PAUSE =
            500_000; // first pause after a refused call to the list service
    // Probes: each has its price, so that only who may need it is asked often
    private static final long PROBE_CALM = 3_000_000; // sooner than idle connections are closed
    private static final long PROBE_BUSY = 1_000_000; // reports are refreshed about as often
    private static final double BUSY =
            0.7; // load asked over what can be done: from here on it is watched
    private static final double FULL = 0.9; // and from here on messages come late
    private static final double EASED =
            0.8; // down to here a jammed one is relieved: what piled up must go
    private static final double ROOM =
            0.7; // of the fleet: a jammed server's clients have where to go
    private static final long PROBE_STEP = 250_000;
    private static final double LATE_GAIN =
            0.25; // each step: reports are about a second old when they come
    private static final double RELIEF =
            0.6; // of what is too much moved at each probe: reports are late
    // Overload
    private static final double SHED =
            0.1; // of a server's connections a second, at a delay of the aim
    private static final double SHED_MOST = 4; // times that, at longer delays
    private static final double JAMMED =
            0.5; // share of the servers heard that makes it the fleet's matter
    private static final double TIGHTEN =
            0.12; // more of the demand refused each second of a jammed fleet
    private static final double EASE =
            0.06; // less each other period: a fifth, since jams clear slowly

    private final Settings set;
    private final Rules rules;
    private final Api.Actions act;
    private final Random random;
    private final TreeMap<String, Host> hosts = new TreeMap<>();
    private final Map<Long, Call> calls = new HashMap<>();
    private final LinkedHashMap<Long, Call> held = new LinkedHashMap<>();
    private final Mean setup = new Mean();
    private final Mean arrival = new Mean();
    private final Mean lifetime = new Mean();
    private final double shortestAim;
    private PlacementTable home = PlacementTable.EMPTY;
    private PlacementTable wide;
    private List<Host> members = List.of();
    private long rebuilt;
    private boolean stale = true;
    private long now;
    private long ranked = Long.MIN_VALUE / 2;
    private double meanW;
    private double highW;
    private int refusals;
    private double placed;
    private final ProbeSelection probed = new ProbeSelection(h -> warmth(h) < 1);
    private final Set<Host> met = new LinkedHashSet<>(); // a node that sees little ranks little
    private final Map<Long, Integer> groups = new HashMap<>();
    private Map<Long, Double> remembered = Map.of();
    private double meanShare;
    private double
            partMine; // this node's load on warm servers, and what was asked of them by all: with
    private double
            partAsked; // their weights, the part of what one can do that is this node's to send
    private int opens;
    private int locals;
    private double refuse;
    private double asked;
    private double stood;
    private long lastAsked;

    /** One node with its own seed; it acts through the sink alone. */
    public Logic(Settings settings, long seed, Api.Actions actions) {
        set = settings;
        rules = settings.rules();
        act = actions;
        random = new Random(seed);
        arrival.value = 1; // the unit of load until one is told
        shortestAim =
                settings.classes().stream().mapToDouble(ServiceClass::messageAim).min().orElse(0);
    }

    // ---- what outlives a node: it costs time to learn again

    /** Hands out what was learnt, as plain data. */
    public Learnt learnt(long at) {
        List<LearntServer> servers =
                hosts.values().stream()
                        .filter(h -> h.setup.known || at < h.shunUntil)
                        .map(
                                h ->
                                        new LearntServer(
                                                h.server.id(),
                                                h.server.startedAt(),
                                                h.setup.value,
                                                h.setup.deviation,
                                                h.lowest,
                                                h.strikes,
                                                Math.max(0, h.shunUntil - at)))
                        .toList();
        Map<Long, Double> shares = new TreeMap<>();
        groups.forEach((group, open) -> shares.put(group, open / (double) Math.max(1, opens)));
        shares.values()
                .removeIf(share -> share <= meanShare); // the others are told as well by the mean
        return new Learnt(
                setup.value,
                setup.deviation,
                arrival.known ? arrival.value : 0,
                lifetime.known ? lifetime.value : 0,
                meanShare,
                partAsked > 0 ? partMine / partAsked : 0,
                servers,
                shares);
    }

    /** The servers that have failed and are left alone for now. */
    public Set<String> avoided(long at) {
        return new TreeSet<>(
                hosts.keySet().stream().filter(id -> at < hosts.get(id).shunUntil).toList());
    }

    /** Takes in what a former node of this name has learnt, of the processes that still run. */
    public void learn(long at, Learnt known) {
        setup.set(known.setup(), known.deviation());
        lifetime.set(known.life(), known.life() / 2);
        arrival.set(known.load() > 0 ? known.load() : 1, known.load() / 2);
        arrival.known = known.load() > 0;
        meanShare = known.meanShare();
        partAsked =
                known.part() > 0
                        ? TRUST * hosts.values().stream().mapToDouble(this::weight).sum()
                        : 0;
        partMine = known.part() * partAsked;
        remembered = Map.copyOf(known.shares());
        for (LearntServer learnt : known.servers()) {
            Host h = hosts.get(learnt.id());
            if (h != null && h.server.startedAt() == learnt.startedAt()) {
                h.setup.set(learnt.setup(), learnt.deviation());
                h.lowest = learnt.lowest();
                h.strikes = learnt.shunnedFor() > 0 ? Math.min(learnt.strikes(), MAX_DOUBLINGS) : 0;
                h.shunUntil = at + Math.min(learnt.shunnedFor(), EJECT << MAX_DOUBLINGS);
            }
        }
    }

    // ---- events

    @Override
    public void start(long at) {
        now = at;
        if (set.asksForList()) { // Nodes that start together must not call together: the service
            // is small.
            act.timer("list", 1 + (long) (random.nextDouble() * rules.askEvery() / 8));
        }
        if (set.probes()) {
            act.timer("probe", 1 + (long) (random.nextDouble() * PROBE_STEP));
        }
    }

    @Override
    public void list(long at, Listing kind, List<Server> servers) {
        now = at;
        if (kind == Listing.REFUSED) {
            act.timer("list", (long) (LIST_PAUSE * (1 << refusals) * (0.5 + random.nextDouble())));
            refusals =
                    Math.min(
                            refusals + 1,
                            2); // 3 s at most: on sockets a change counts as told after 6
            return;
        }
        refusals = kind == Listing.REMEMBERED ? refusals : 0;
        servers.forEach(this::learn);
        if (kind != Listing.CHANGES) {
            Set<String> named = Set.copyOf(servers.stream().map(Server::id).toList());
            hosts.values().stream()
                    .filter(h -> !named.contains(h.server.id()))
                    .toList()
                    .forEach(this::drop);
        }
        List.copyOf(held.values()).forEach(this::advance);
    }

    @Override
    public void request(long at, Request request) {
        now = at;
        if (now - ranked >= PERIOD) {
            rank();
        }
        advance(take(request));
    }

    @Override
    public void open(long at, Request request, String server) {
        now = at;
        Call c = take(request);
        Server unlisted = new Server(server, 0, 0, Health.GONE, 1, 0);
        c.sent(hosts.getOrDefault(server, new Host(unlisted, hash(server), WINDOWS, at)), at);
        c.established(at - EJECT); // it has stood, whatever comes: its end says nothing of set-ups
        count(c.host, c);
        met.add(c.host);
    }

    @Override
    public void streaming(long at, long id, long latency) {
        now = at;
        Call c = calls.get(id);
        if (c != null) {
            c.established(at);
            c.host.heard(latency, at, EJECT);
            setup.add(latency);
            stood++;
        }
    }

    @Override
    public void outcome(long at, long id, Outcome outcome, boolean over) {
        now = at;
        Call c = calls.get(id);
        if (c == null) {
            return;
        }
        c.ended();
        asked -= outcome.neverRan() ? 1 : 0;
        if (c.streaming && outcome == Outcome.RESET && at - c.since < EJECT) { // it did not stand
            stood--;
            c.host.doubtful = true;
            c.host.shunUntil = c.trial ? at : c.host.shunUntil; // it counts as the next strike
        }
        if (outcome == Outcome.SERVED && at - c.since > EJECT) {
            c.host.strikes = 0;
        }
        if (c.streaming && !c.told && c.request.hint() <= 0) {
            lifetime.add(at - c.since); // Neither hint nor told load: the time that it was open
            // marks it.
            c.load = arrival.value * (at - c.since) / Math.max(1, lifetime.value);
            count(c.host, c);
        }
        // Without this, light clients would keep going to a server that takes all and serves
        // nothing.
        if (c.streaming ? outcome == Outcome.RESET : FAILURES.contains(outcome)) {
            strike(c.host);
        }
        if (over || c.answered) {
            calls.remove(id);
            return;
        }
        if (!outcome.neverRan() && c.firstRisk == Api.NONE) {
            c.firstRisk = c.since;
            c.riskHost = c.host;
        }
        advance(c);
    }

    @Override
    public void gone(long at, long id) {
        now = at;
        Call c = calls.get(id);
        held.remove(id);
        if (c != null && c.out) {
            c.answered = true;
        } else {
            calls.remove(id);
        }
    }

    @Override
    public void note(long at, long id, Note kind, double level) {
        now = at;
        Call c = calls.get(id);
        if (c == null || !c.out) {
            return;
        }
        Host h = c.host;
        if (kind == Note.DELAY) {
            boolean persists = jammed(h);
            h.told = level * 1000;
            h.toldAt = at;
            double share = SHED * Math.min(SHED_MOST, h.told / shortestAim);
            if (persists && jammed(h) && random.nextDouble() < share * h.open.size()) {
                relieve(h);
            }
        } else {
            c.told = true;
            if (c.request.hint() <= 0) {
                arrival.add(level); // Without hints told loads give the unit; a guess would not.
            }
            c.load(level);
            count(h, c);
        }
    }

    @Override
    public void timer(long at, String token) {
        now = at;
        if (token.equals("list")) {
            act.watch();
        } else if (token.equals("probe")) {
            act.timer("probe", PROBE_STEP);
            hosts.values().forEach(h -> h.placedLately += LATE_GAIN * (h.placed - h.placedLately));
            probed.of(hosts.values(), now).stream()
                    .filter(h -> now >= h.probeAt && h.ready())
                    .forEach(this::probe);
        } else if (held.containsKey(Long.parseLong(token))) {
            finish(held.get(Long.parseLong(token)));
        }
    }

    @Override
    public void probed(long at, String server, Outcome outcome, double asked) {
        now = at;
        Host h = hosts.get(server);
        if (h == null || outcome != Outcome.SERVED || asked < 0) {
            return;
        }
        h.asked = asked;
        h.askedAt = at;
        h.placedThen = h.placedLately;
        double excess = asked - (jammed(h) && fleetAsked() < ROOM ? EASED : FULL);
        // Each node moves its part of what is too much: one a second would take longer than
        // troubles last.
        for (double due = RELIEF * excess / asked * h.open.size(); due > 0; due--) {
            if (random.nextDouble() < due) {
                relieve(h);
            }
        }
    }

    private void probe(Host h) {
        boolean watched = jammed(h) || warmth(h) < 1 || reported(h) && h.asked() > BUSY;
        h.probeAt = now + (watched ? PROBE_BUSY : PROBE_CALM);
        act.probe(h.server.id());
    }

    private boolean reported(Host h) {
        return now - h.askedAt < PROBE_CALM + PROBE_BUSY;
    }

    private Call take(Request r) {
        long route = r.group() != Api.NONE ? r.group() : r.key();
        long order = mix(route != Api.NONE ? route : random.nextLong());
        Call c = new Call(r, set.classes().get(r.serviceClass()), order);
        c.load = r.hint() > 0 ? arrival.add(r.hint()) : arrival.value;
        calls.put(r.id(), c);
        return c;
    }

    // ---- the list

    private void learn(Server s) {
        Host h = hosts.get(s.id());
        // A restarted process has nothing of the old one: neither its speed nor its warmth.
        if (h != null && (s.health() == Health.GONE || h.server.startedAt() != s.startedAt())) {
            drop(h);
            h = null;
        }
        if (s.health() != Health.GONE) {
            stale |= h == null || h.server.health() != s.health();
            hosts.computeIfAbsent(s.id(), id -> new Host(s, hash(id), WINDOWS, now)).server = s;
        }
    }

    /**
     * Tables are rebuilt later: until then they must not lead to a server that has left (rule 3).
     */
    private void drop(Host h) {
        hosts.remove(h.server.id());
        h.listed = false;
        met.remove(h);
        stale = true;
    }

    private void rebuild() {
        members = hosts.values().stream().filter(Host::ready).toList();
        List<Host> near = members.stream().filter(h -> h.server.zone() == set.zone()).toList();
        near = set.crossZoneCost() > DEAR_CROSSING && !near.isEmpty() ? near : members;
        locals = near.size();
        home = PlacementTable.of(near, this::weight);
        wide = near == members ? home : null;
        stale = false;
        rebuilt = now;
    }

    private double weight(Host h) {
        return set.comparableWeights() && h.server.weight() > 0 ? h.server.weight() : 1;
    }

    // ---- the ordinary path

    /** Sends the request on, holds it, or answers it. */
    private void advance(Call c) {
        held.remove(c.request.id());
        long left = c.request.deadline() - now;
        double kept = Math.exp((lastAsked - now) / THROTTLE_SPAN);
        asked *= kept;
        stood *= kept;
        lastAsked = now;
        // When set-ups fail wherever they go (a shared store, resets), only twice as many as lately
        // stood.
        boolean no = random.nextDouble() * asked < asked - THROTTLE * stood - THROTTLE_RESERVE;
        // A jammed fleet serves nobody: the least worth is turned away early, by all nodes alike.
        boolean least = c.sends == 0 && rankOf(c) < refuse && !c.request.midFlow();
        if (no
                || left <= set.tick() && c.sends > 0
                || c.sends >= set.maxAttempts()
                || !mayRepeat(c)) {
            finish(c);
            return;
        }
        if (stale && (now - rebuilt >= rules.cold() / REBUILD || home.isEmpty())) {
            rebuild();
        }
        Host h = least ? spare(c, true) : choose(c);
        if (h != null) {
            send(c, h, left);
        } else if (c.firstRisk == Api.NONE && hosts.values().stream().noneMatch(Host::ready)) {
            // No server is known: the list may still name one before the client gives up.
            held.put(c.request.id(), c);
            act.timer(Long.toString(c.request.id()), Math.max(1, left - set.tick()));
        } else {
            finish(c);
        }
    }

    private void send(Call c, Host h, long left) {
        c.sent(h, now);
        met.add(h);
        asked++;
        h.budget -= warmth(h) < 1 ? c.load : 0;
        if (h.doubtful && h.open.stream().anyMatch(o -> now - o.since >= EJECT)) {
            h.doubtful = false; // the last trial stands: it serves again
            h.strikes = 0;
        } else if (h.strikes > 0) {
            shun(h); // One trial at a time: nobody else goes there until this one has answered.
        }
        act.send(c.request.id(), h.server.id(), patience(c, left));
    }

    /**
     * A group too big for a server would jam its default: the places it has by its share of what is
     * open.
     */
    private int width(Call c) {
        double prior = PRIOR * remembered.getOrDefault(c.route, meanShare);
        double share = (groups.getOrDefault(c.route, 0) + prior) / (opens + PRIOR);
        return c.request.midFlow() ? 1 : Math.max(1, (int) (SPREAD * share * locals));
    }

    /** The default or its stand-in in the key's fixed order; a heavy client may leave it. */
    private Host choose(Call c) {
        Host first = null;
        Host best = null;
        int width = width(c);
        int start = random.nextInt(width);
        for (int i = 0; i < width + CHAIN; i++) {
            Host h = place(c.route, i < width ? (start + i) % width : i, i < width + CHAIN / 2);
            boolean fit = h != null && usable(h, c) && now >= h.shunUntil && admits(h, c);
            if (!fit) {
                continue;
            }
            h.consideredAt = now;
            if (first == null) {
                first = h;
                count(h, c);
                Host other = c.request.midFlow() || c.sends > 0 ? null : divert(c, h);
                if (other != null) {
                    return other;
                }
            }
            if (c.request.midFlow() || !jammed(h) && (!reported(h) || h.asked() <= BUSY)) {
                return h;
            }
            best = !jammed(h) && (best == null || h.asked() < best.asked()) ? h : best;
        }
        // The least busy one; where all are jammed one more would be served nothing and slow the
        // rest.
        return best != null ? best : spare(c, first != null);
    }

    /**
     * Where no place of the key takes it: a cold server that has room, else any but one that resets
     * all.
     */
    private Host spare(Call c, boolean coldOnly) {
        return hosts.values().stream()
                .filter(
                        h ->
                                usable(h, c)
                                        && (warmth(h) < 1
                                                ? now >= h.shunUntil && c.load <= budget(h)
                                                : !coldOnly && (!h.doubtful || now >= h.shunUntil)))
                .min(Comparator.comparingLong(h -> h.shunUntil))
                .orElse(null);
    }

    /** The key's place in its fixed order of servers, the same at every node with the same list. */
    private Host place(long route, int i, boolean near) {
        if (!near && wide == null) {
            wide = PlacementTable.of(members, this::weight);
        }
        return (near ? home : wide).at(i == 0 ? route : mix(route + i));
    }

    private boolean usable(Host h, Call c) {
        return h.listed && h.ready() && !c.tried.contains(h) && inScope(h, c);
    }

    /**
     * A cold server takes the keys under a threshold that rises with what it can carry: all nodes
     * agree.
     */
    private boolean admits(Host h, Call c) {
        return warmth(h) >= 1 || unit(c.route ^ h.hash) < warmth(h) && c.load <= budget(h);
    }

    // A node's share of what rule 4 allows: a half as time goes, the other at once where a report
    // shows room.
    private double budget(Host h) {
        if (h.budgetAt
                == 0) { // Nodes start anywhere within one connection: few spend at the same time.
            h.budget = random.nextDouble() * arrival.value;
            h.budgetAt = Math.max(h.knownAt, now - rules.fall());
        }
        double rate = CAUTION * rules.tipMultiple() * warmth(h) * part(h) / rules.cold();
        h.budget = Math.min(h.budget + rate * (now - h.budgetAt), arrival.value);
        h.budgetAt = now;
        double alike =
                h.asked
                        + CAUTION
                                * (h.placed - h.placedThen)
                                / part(h); // all relays read that report
        return h.budget + (reported(h) && alike < EASED * warmth(h) ? rate * rules.fall() : 0);
    }

    /**
     * This node's part of what a warm server can do: as reports tell, or half its even part of
     * shares.
     */
    private double part(Host h) {
        double quota =
                set.tenantQuotas().stream().mapToLong(q -> q).sum()
                        * arrival.value
                        / set.fleetSize();
        double mean =
                Math.max(partAsked > 0 ? 0 : placed, CAUTION * quota) / Math.max(1, hosts.size());
        return Math.max(partAsked > 0 ? partMine / partAsked * weight(h) : 0, mean);
    }

    private double warmth(Host h) {
        // It runs for as long as it has been known, whatever the wall clocks say of its start.
        double age =
                (now - Math.min(h.server.startedAt(), h.knownAt)) / Math.max(1.0, rules.cold());
        return h.server.startedAt() == 0 || age >= 1
                ? 1
                : rules.coldFrom() + (1 - rules.coldFrom()) * age;
    }

    /**
     * The paper's test: heavy, above percentile p, and a gap that is worth a fresh set-up; else
     * null.
     */
    private Host divert(Call c, Host from) {
        double own = w(from);
        if (own <= ALPHA * setup.value || !heavy(from, c) || own <= highW) {
            return null;
        }
        Host least = null;
        for (int i = 0; i < DRAWS; i++) {
            Host h = home.draw(random);
            boolean fit = h != from && usable(h, c) && now >= h.shunUntil && warmth(h) >= 1;
            if (fit
                    && (least == null
                            || w(h) < w(least)
                            || w(h) == w(least)
                                    && h.placed / weight(h) < least.placed / weight(least))) {
                least = h;
            }
        }
        return least != null && own - w(least) > ALPHA * setup.value ? least : null;
    }

    /**
     * A node without a connection there is told no more; without memory it would soon send the next
     * one.
     */
    private boolean told(Host h) {
        return now - h.toldAt < (!h.open.isEmpty() ? FRESH : MEMORY);
    }

    /**
     * W: the told delay, else the recent set-up latency above the lowest seen, else the others'
     * mean.
     */
    private double w(Host h) {
        return told(h) ? h.told : h.setup.known ? Math.max(0, h.setup.value - h.lowest) : meanW;
    }

    /** The percentile and the mean of W, and the groups that are open, once a period. */
    private void rank() {
        ranked = now;
        double[] all = new double[Math.max(hosts.size(), met.size())];
        int n = 0;
        int heard = 0;
        int slow = 0;
        double sum = 0;
        placed = 0;
        opens = 0;
        groups.clear();
        double pairs = 0;
        for (Host h : met) {
            for (Call c : h.open) {
                pairs += groups.merge(c.route, 1, Integer::sum) - 1;
            }
            opens += h.open.size();
            placed += h.placed;
            heard += h.open.isEmpty() ? 0 : 1;
            slow += !h.open.isEmpty() && jammed(h) ? 1 : 0;
            all[n] = w(h);
            sum += all[n++];
        }
        if (remembered.isEmpty() || opens >= PRIOR) { // few say less than what was remembered
            meanShare =
                    2
                            * pairs
                            / Math.max(
                                    1, opens * (opens - 1)); // of the group of a connection drawn
            remembered = opens > PRIOR * PRIOR ? Map.of() : remembered;
        }
        partMine *= PART_KEPT;
        partAsked *= PART_KEPT;
        for (Host h : hosts.values()) { // also at the first request, before the tables are built
            double told = h.ready() && reported(h) && warmth(h) >= 1 && placed > 0 ? 1 : 0;
            partMine += told * h.placedThen;
            partAsked += told * h.asked * weight(h);
            h.can = part(h) * set.fleetSize();
        }
        meanW = n == 0 ? 0 : sum / n;
        Arrays.fill(all, n, all.length, meanW);
        Arrays.sort(all);
        boolean full = slow > JAMMED * heard || fleetAsked() > FULL;
        refuse = Math.min(1, Math.max(0, refuse + (full ? TIGHTEN : -EASE)));
        highW = all.length == 0 ? 0 : all[(int) (PERCENTILE * (all.length - 1))];
    }

    /** The mean load asked of the servers that report; unknown where most do not. */
    private double fleetAsked() {
        double[] asked = members.stream().filter(this::reported).mapToDouble(Host::asked).toArray();
        boolean most = asked.length * 2 > Math.min(members.size(), Api.MOST_PROBED);
        return most ? Arrays.stream(asked).average().orElse(0) : Api.NONE;
    }

    /**
     * Where a request stands among all, 0 the first to go: by worth, then by key, at all nodes
     * alike.
     */
    private double rankOf(Call c) {
        int below = 0;
        for (ServiceClass s : set.classes()) {
            below += s.worth() < c.service.worth() ? 1 : 0;
        }
        return (below + unit(c.client)) / set.classes().size();
    }

    /**
     * Only a told delay says so: the mean of the few jammed servers that were heard would condemn
     * all.
     */
    private boolean jammed(Host h) {
        boolean slow = told(h) && h.told > shortestAim / 3;
        return slow || reported(h) && h.asked() > FULL;
    }

    // ---- heavy clients

    private void count(Host h, Call c) {
        Table t = h.tables[0];
        if (t == null || t.arrivals >= WINDOW_ARRIVALS) {
            System.arraycopy(h.tables, 0, h.tables, 1, WINDOWS - 1);
            t = new Table();
            h.tables[0] = t;
        }
        t.arrivals++;
        t.add(c.client, arrival.value > 0 ? c.load / arrival.value : 1, random);
    }

    // Moves the heaviest connection off a server whose delay persists. By chance, so that all nodes
    // together
    // move a small share a second: each sees the same jam, and all at once would empty the server.
    private void relieve(Host h) {
        Call most = null;
        for (Call c : h.open) {
            boolean least = rankOf(c) < refuse;
            if (c.moving) {
                continue;
            }
            if (most == null || (least != rankOf(most) < refuse ? least : c.load > most.load)) {
                most = c;
            }
        }
        if (most != null && (heavy(h, most) || rankOf(most) < refuse)) {
            most.moving = true;
            act.move(most.request.id());
        }
    }

    /**
     * In a table that is not yet full all are named: a heavy client also counts more than the mean
     * one.
     */
    private boolean heavy(Host h, Call c) {
        double sum = 0;
        for (Table t : h.tables) {
            for (int i = 0; t != null && i < t.used; i++) {
                sum += t.client[i] == c.client ? t.count[i] : 0;
            }
        }
        return sum > 1;
    }

    // ---- attempts, failures, answers

    /**
     * The aim, longer each time; until the client gives up if it is the last chance, or all wait
     * anyway.
     */
    private long patience(Call c, long left) {
        double aim = c.service.aim();
        boolean last = c.sends >= set.maxAttempts() || left <= 2 * aim / 3;
        last |= c.service.effect() == Effect.UNSAFE; // an early time-out would only end it
        last |= asked > THROTTLE * stood + THROTTLE_RESERVE;
        return last ? 0 : (long) Math.min(left, aim * c.sends);
    }

    /**
     * No effect twice: what may have run is repeated only where and while its repeats are
     * discarded.
     */
    private boolean mayRepeat(Call c) {
        return c.firstRisk == Api.NONE
                || c.service.effect() == Effect.SAFE
                || c.service.effect() == Effect.KEYED && now - c.firstRisk < c.service.memory();
    }

    private boolean inScope(Host h, Call c) {
        Scope scope = c.service.effect() == Effect.SAFE ? Scope.ALL : c.service.scope();
        return c.firstRisk == Api.NONE
                || scope == Scope.ALL
                || h.server.zone() == c.riskHost.server.zone()
                        && (scope == Scope.ZONE || h.server.cell() == c.riskHost.server.cell());
    }

    private void finish(Call c) {
        held.remove(c.request.id());
        calls.remove(c.request.id());
        if (c.firstRisk == Api.NONE
                || c.service.effect() == Effect.SAFE
                || c.service.effect() == Effect.KEYED && c.service.scope() == Scope.ALL) {
            act.refuse(c.request.id(), set.maxRetryAfter());
        } else {
            act.fail(c.request.id());
        }
    }

    /** A failure ejects at once: a node that sees little would not live to see a second one. */
    private void strike(Host h) {
        h.strikes = Math.min(h.strikes + (now < h.shunUntil ? 0 : 1), MAX_DOUBLINGS);
        shun(h);
    }

    private void shun(Host h) {
        h.shunUntil = now + EJECT * (1L << Math.max(0, h.strikes - 1));
    }
}
