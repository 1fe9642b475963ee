// The types, events and actions used here are in Api.java, beside this file: read that first.
package saltstage;

import static saltstage.BalancerState.*;

import java.util.*;
import saltstage.Api.*;
import saltstage.BalancerState.*;

/**
 * Every decision of one node; single-threaded, its time comes with the events, its chance from the
 * seed.
 */
public final class LoadBalancer implements Api.Events {
    // The mechanism
    private static final int HEAVY_HITTER_WINDOWS =
            2; // f: the running window and the one before (paper, figure 2)
    private static final int WINDOW_ARRIVALS =
            16; // N: four for each place, so that places are contested
    private static final double DIVERSION_QUANTILE =
            0.8; // p: only the worst fifth of the servers may be left
    private static final double MIN_DIVERSION_GAP_SETUPS = 1; // the paper's default
    private static final int DIVERSION_CANDIDATES =
            6; // for the least loaded: misses the busy ones, ranks no fleet
    private static final long STATISTICS_PERIOD_MICROS =
            1_000_000; // quantiles are kept so long: delays come each second
    // Stand-ins
    private static final double GROUP_SPREAD_FACTOR =
            1.5; // a group's places for each server's worth of it: none is full
    private static final double GROUP_SHARE_PRIOR_CONNECTIONS =
            10; // connections that the mean share of a group weighs as much as
    private static final int ALTERNATIVE_CANDIDATES =
            12; // more places in a key's order; half near where crossings are dear
    private static final double MAX_CROSS_ZONE_COST =
            0.05; // of a request's worth: dearer than a group's set-up
    private static final double WARM_UP_SAFETY_FACTOR =
            0.5; // of what rule 4 allows: the rest is for chance
    private static final double CAPACITY_SHARE_RETENTION_PER_PERIOD =
            0.97; // a second: what machines can do changes in minutes
    private static final double LEARNED_CAPACITY_WEIGHT_PERIODS =
            5; // what was learnt before counts as so many seconds
    private static final int TABLE_REBUILDS_PER_WARM_UP =
            4; // tables wait a part of the warm-up; who left is passed over
    // Health
    private static final long MAX_DELAY_REPORT_AGE_MICROS =
            2_500_000; // told delays come each second
    private static final long MAX_DELAY_REPORT_AGE_UNCONNECTED_MICROS =
            10_000_000; // of the last one, where no own connection is left
    private static final long EJECTION_MICROS =
            2_000_000; // a failed server is left alone, twice as long each time
    private static final int MAX_EJECTION_DOUBLINGS = 3; // 8 s: troubles last tens of seconds
    private static final Set<Outcome> BACKEND_FAILURES =
            EnumSet.range(Outcome.FULL, Outcome.RESET); // the server's
    private static final double THROTTLE_ATTEMPTS_PER_ESTABLISHED =
            2; // set-ups tried for each that stood, where most fail
    private static final double THROTTLE_RESERVE_ATTEMPTS =
            5; // and so many more: a node sees little
    private static final double THROTTLE_DECAY_MICROS =
            10_000_000; // the memory for this: storms last longer
    private static final long LIST_RETRY_DELAY_MICROS =
            500_000; // first pause after a refused call to the list service
    // Probes: each has its price, so that only who may need it is asked often
    private static final long PROBE_INTERVAL_MICROS =
            3_000_000; // sooner than idle connections are closed
    private static final long FREQUENT_PROBE_INTERVAL_MICROS =
            1_000_000; // reports are refreshed about as often
    private static final double BUSY_UTILIZATION =
            0.7; // load asked over what can be done: from here on it is watched
    private static final double OVERLOAD_UTILIZATION = 0.9; // and from here on messages come late
    private static final double SHED_TARGET_UTILIZATION =
            0.8; // down to here a jammed one is relieved: what piled up must go
    private static final double FLEET_HEADROOM_UTILIZATION =
            0.7; // of the fleet: a jammed server's clients have where to go
    private static final long PROBE_TICK_MICROS = 250_000;
    private static final double PLACED_LOAD_SMOOTHING_PER_TICK =
            0.25; // each step: reports are about a second old when they come
    private static final double SHED_FRACTION_PER_PROBE =
            0.6; // of what is too much moved at each probe: reports are late
    // Overload
    private static final double SHED_FRACTION_PER_SECOND =
            0.1; // of a server's connections a second, at a delay of the aim
    private static final double MAX_SHED_MULTIPLIER = 4; // times that, at longer delays
    private static final double OVERLOADED_FLEET_FRACTION =
            0.5; // share of the servers heard that makes it the fleet's matter
    private static final double REJECTION_INCREASE_PER_PERIOD =
            0.12; // more of the demand refused each second of a jammed fleet
    private static final double REJECTION_DECREASE_PER_PERIOD =
            0.06; // less each other period: a fifth, since jams clear slowly

    private final Settings relaySettings;
    private final SafetyRules safetyRules;
    private final Api.Actions relayActions;
    private final Random random;
    private final TreeMap<String, BackendState> backends = new TreeMap<>();
    private final Map<Long, RequestState> requests = new HashMap<>();
    private final LinkedHashMap<Long, RequestState> waitingRequests = new LinkedHashMap<>();
    private final RunningMean setupLatency = new RunningMean();
    private final RunningMean requestLoad = new RunningMean();
    private final RunningMean connectionLifetime = new RunningMean();
    private final double minMessageLatencyTarget;
    private PlacementTable localPlacement = PlacementTable.EMPTY;
    private PlacementTable globalPlacement;
    private List<BackendState> readyBackends = List.of();
    private long placementRebuiltAt;
    private boolean placementStale = true;
    private long now;
    private long statisticsUpdatedAt = Long.MIN_VALUE / 2;
    private double meanQueueingDelay;
    private double diversionThreshold;
    private int failedListCalls;
    private double totalPlacedLoad;
    private final ProbeSelection probeSelection = new ProbeSelection(h -> warmUpFraction(h) < 1);
    private final Set<BackendState> usedBackends =
            new LinkedHashSet<>(); // a node that sees little ranks little
    private final Map<Long, Integer> connectionsByGroup = new HashMap<>();
    private Map<Long, Double> learnedGroupShares = Map.of();
    private double meanGroupShare;
    private double
            ownLoadOnWarmBackends; // this node's load on warm servers, and what was asked of them
    // by all: with
    private double
            utilizationOfWarmBackends; // their weights, the part of what one can do that is this
    // node's to send
    private int establishedCount;
    private int localBackendCount;
    private double rejectionThreshold;
    private double recentAttempts;
    private double recentEstablished;
    private long throttleUpdatedAt;

    /** One node with its own seed; it acts through the sink alone. */
    public LoadBalancer(Settings settings, long seed, Api.Actions actions) {
        relaySettings = settings;
        safetyRules = settings.safetyRules();
        relayActions = actions;
        random = new Random(seed);
        requestLoad.value = 1; // the unit of load until one is told
        minMessageLatencyTarget =
                settings.serviceClasses().stream()
                        .mapToDouble(ServiceClass::messageLatencyTarget)
                        .min()
                        .orElse(0);
    }

    // ---- what outlives a node: it costs time to learn again

    /** Hands out what was learnt, as plain data. */
    public LearnedState learnedState(long at) {
        List<LearnedBackend> servers =
                backends.values().stream()
                        .filter(h -> h.setupLatency.hasSample || at < h.ejectedUntil)
                        .map(
                                h ->
                                        new LearnedBackend(
                                                h.listEntry.id(),
                                                h.listEntry.startedAt(),
                                                h.setupLatency.value,
                                                h.setupLatency.deviation,
                                                h.minSetupLatency,
                                                h.consecutiveFailures,
                                                Math.max(0, h.ejectedUntil - at)))
                        .toList();
        Map<Long, Double> shares = new TreeMap<>();
        connectionsByGroup.forEach(
                (group, open) -> shares.put(group, open / (double) Math.max(1, establishedCount)));
        shares.values()
                .removeIf(
                        share ->
                                share <= meanGroupShare); // the others are told as well by the mean
        return new LearnedState(
                setupLatency.value,
                setupLatency.deviation,
                requestLoad.hasSample ? requestLoad.value : 0,
                connectionLifetime.hasSample ? connectionLifetime.value : 0,
                meanGroupShare,
                utilizationOfWarmBackends > 0
                        ? ownLoadOnWarmBackends / utilizationOfWarmBackends
                        : 0,
                servers,
                shares);
    }

    /** The servers that have failed and are left alone for now. */
    public Set<String> ejectedBackends(long at) {
        return new TreeSet<>(
                backends.keySet().stream()
                        .filter(id -> at < backends.get(id).ejectedUntil)
                        .toList());
    }

    /** Takes in what a former node of this name has learnt, of the processes that still run. */
    public void restoreLearnedState(long at, LearnedState known) {
        setupLatency.set(known.setupLatency(), known.setupLatencyDeviation());
        connectionLifetime.set(known.meanConnectionLifetime(), known.meanConnectionLifetime() / 2);
        requestLoad.set(
                known.meanRequestLoad() > 0 ? known.meanRequestLoad() : 1,
                known.meanRequestLoad() / 2);
        requestLoad.hasSample = known.meanRequestLoad() > 0;
        meanGroupShare = known.meanGroupShare();
        utilizationOfWarmBackends =
                known.capacityShare() > 0
                        ? LEARNED_CAPACITY_WEIGHT_PERIODS
                                * backends.values().stream().mapToDouble(this::weight).sum()
                        : 0;
        ownLoadOnWarmBackends = known.capacityShare() * utilizationOfWarmBackends;
        learnedGroupShares = Map.copyOf(known.groupShares());
        for (LearnedBackend learnt : known.backends()) {
            BackendState h = backends.get(learnt.id());
            if (h != null && h.listEntry.startedAt() == learnt.startedAt()) {
                h.setupLatency.set(learnt.setupLatency(), learnt.setupLatencyDeviation());
                h.minSetupLatency = learnt.minSetupLatency();
                h.consecutiveFailures =
                        learnt.remainingEjection() > 0
                                ? Math.min(learnt.consecutiveFailures(), MAX_EJECTION_DOUBLINGS)
                                : 0;
                h.ejectedUntil =
                        at
                                + Math.min(
                                        learnt.remainingEjection(),
                                        EJECTION_MICROS << MAX_EJECTION_DOUBLINGS);
            }
        }
    }

    // ---- events

    @Override
    public void start(long at) {
        now = at;
        if (relaySettings
                .watchesBackendList()) { // Nodes that start together must not call together: the
            // service
            // is small.
            relayActions.setTimer(
                    "list",
                    1 + (long) (random.nextDouble() * safetyRules.discoveryCallInterval() / 8));
        }
        if (relaySettings.probingEnabled()) {
            relayActions.setTimer("probe", 1 + (long) (random.nextDouble() * PROBE_TICK_MICROS));
        }
    }

    @Override
    public void backendListReceived(long at, BackendListKind kind, List<ListedBackend> servers) {
        now = at;
        if (kind == BackendListKind.CALL_FAILED) {
            relayActions.setTimer(
                    "list",
                    (long)
                            (LIST_RETRY_DELAY_MICROS
                                    * (1 << failedListCalls)
                                    * (0.5 + random.nextDouble())));
            failedListCalls =
                    Math.min(
                            failedListCalls + 1,
                            2); // 3 s at most: on sockets a change counts as told after 6
            return;
        }
        failedListCalls = kind == BackendListKind.CACHED ? failedListCalls : 0;
        servers.forEach(this::updateBackend);
        if (kind != BackendListKind.DELTA) {
            Set<String> named = Set.copyOf(servers.stream().map(ListedBackend::id).toList());
            backends.values().stream()
                    .filter(h -> !named.contains(h.listEntry.id()))
                    .toList()
                    .forEach(this::removeBackend);
        }
        List.copyOf(waitingRequests.values()).forEach(this::dispatch);
    }

    @Override
    public void requestReceived(long at, Request request) {
        now = at;
        if (now - statisticsUpdatedAt >= STATISTICS_PERIOD_MICROS) {
            updateStatistics();
        }
        dispatch(registerRequest(request));
    }

    @Override
    public void connectionRestored(long at, Request request, String server) {
        now = at;
        RequestState c = registerRequest(request);
        ListedBackend unlisted = new ListedBackend(server, 0, 0, Health.GONE, 1, 0);
        c.startAttempt(
                backends.getOrDefault(
                        server, new BackendState(unlisted, hash(server), HEAVY_HITTER_WINDOWS, at)),
                at);
        c.markEstablished(
                at - EJECTION_MICROS); // it has stood, whatever comes: its end says nothing of
        // set-ups
        countArrival(c.backend, c);
        usedBackends.add(c.backend);
    }

    @Override
    public void connectionEstablished(long at, long id, long latency) {
        now = at;
        RequestState c = requests.get(id);
        if (c != null) {
            c.markEstablished(at);
            c.backend.setupSucceeded(latency, at, EJECTION_MICROS);
            setupLatency.add(latency);
            recentEstablished++;
        }
    }

    @Override
    public void attemptEnded(long at, long id, Outcome outcome, boolean over) {
        now = at;
        RequestState c = requests.get(id);
        if (c == null) {
            return;
        }
        c.endAttempt();
        recentAttempts -= outcome.hasNoEffect() ? 1 : 0;
        if (c.established
                && outcome == Outcome.RESET
                && at - c.stateChangedAt < EJECTION_MICROS) { // it did not stand
            recentEstablished--;
            c.backend.onProbation = true;
            c.backend.ejectedUntil =
                    c.probationAttempt
                            ? at
                            : c.backend.ejectedUntil; // it counts as the next strike
        }
        if (outcome == Outcome.SERVED && at - c.stateChangedAt > EJECTION_MICROS) {
            c.backend.consecutiveFailures = 0;
        }
        if (c.established && !c.loadReported && c.request.loadHint() <= 0) {
            estimateLoadFromLifetime(c, at);
            countArrival(c.backend, c);
        }
        // Without this, light clients would keep going to a server that takes all and serves
        // nothing.
        if (c.established ? outcome == Outcome.RESET : BACKEND_FAILURES.contains(outcome)) {
            recordFailure(c.backend);
        }
        if (over || c.clientLeft) {
            requests.remove(id);
            return;
        }
        if (!outcome.hasNoEffect() && c.firstUncertainAttemptAt == Api.NONE) {
            c.firstUncertainAttemptAt = c.stateChangedAt;
            c.firstUncertainBackend = c.backend;
        }
        dispatch(c);
    }

    private void estimateLoadFromLifetime(RequestState c, long at) {
        // Neither hint nor told load: the time that it was open marks it.
        connectionLifetime.add(at - c.stateChangedAt);
        c.load =
                requestLoad.value * (at - c.stateChangedAt) / Math.max(1, connectionLifetime.value);
    }

    @Override
    public void clientLeft(long at, long id) {
        now = at;
        RequestState c = requests.get(id);
        waitingRequests.remove(id);
        if (c != null && c.attemptActive) {
            c.clientLeft = true;
        } else {
            requests.remove(id);
        }
    }

    @Override
    public void connectionReported(long at, long id, ConnectionReport kind, double level) {
        now = at;
        RequestState c = requests.get(id);
        if (c == null || !c.attemptActive) {
            return;
        }
        BackendState h = c.backend;
        if (kind == ConnectionReport.DELAY) {
            boolean persists = isOverloaded(h);
            h.reportedDelayMicros = level * 1000;
            h.lastDelayReportAt = at;
            double share =
                    SHED_FRACTION_PER_SECOND
                            * Math.min(
                                    MAX_SHED_MULTIPLIER,
                                    h.reportedDelayMicros / minMessageLatencyTarget);
            if (persists
                    && isOverloaded(h)
                    && random.nextDouble() < share * h.establishedRequests.size()) {
                shedConnection(h);
            }
        } else {
            c.loadReported = true;
            if (c.request.loadHint() <= 0) {
                requestLoad.add(
                        level); // Without hints told loads give the unit; a guess would not.
            }
            c.updateLoad(level);
            countArrival(h, c);
        }
    }

    @Override
    public void timerFired(long at, String token) {
        now = at;
        if (token.equals("list")) {
            relayActions.watchBackendList();
        } else if (token.equals("probe")) {
            relayActions.setTimer("probe", PROBE_TICK_MICROS);
            backends.values()
                    .forEach(
                            h ->
                                    h.smoothedPlacedLoad +=
                                            PLACED_LOAD_SMOOTHING_PER_TICK
                                                    * (h.placedLoad - h.smoothedPlacedLoad));
            probeSelection.select(backends.values(), now).stream()
                    .filter(h -> now >= h.nextProbeAt && h.isReady())
                    .forEach(this::probeBackend);
        } else if (waitingRequests.containsKey(Long.parseLong(token))) {
            rejectOrFail(waitingRequests.get(Long.parseLong(token)));
        }
    }

    @Override
    public void probeCompleted(long at, String server, Outcome outcome, double asked) {
        now = at;
        BackendState h = backends.get(server);
        if (h == null || outcome != Outcome.SERVED || asked < 0) {
            return;
        }
        h.reportedUtilization = asked;
        h.lastLoadReportAt = at;
        h.placedLoadAtReport = h.smoothedPlacedLoad;
        double excess =
                asked
                        - (isOverloaded(h) && fleetUtilization() < FLEET_HEADROOM_UTILIZATION
                                ? SHED_TARGET_UTILIZATION
                                : OVERLOAD_UTILIZATION);
        // Each node moves its part of what is too much: one a second would take longer than
        // troubles last.
        for (double due = SHED_FRACTION_PER_PROBE * excess / asked * h.establishedRequests.size();
                due > 0;
                due--) {
            if (random.nextDouble() < due) {
                shedConnection(h);
            }
        }
    }

    private void probeBackend(BackendState h) {
        boolean watched =
                isOverloaded(h)
                        || warmUpFraction(h) < 1
                        || hasFreshLoadReport(h) && h.estimatedUtilization() > BUSY_UTILIZATION;
        h.nextProbeAt = now + (watched ? FREQUENT_PROBE_INTERVAL_MICROS : PROBE_INTERVAL_MICROS);
        relayActions.probe(h.listEntry.id());
    }

    private boolean hasFreshLoadReport(BackendState h) {
        return now - h.lastLoadReportAt < PROBE_INTERVAL_MICROS + FREQUENT_PROBE_INTERVAL_MICROS;
    }

    private RequestState registerRequest(Request r) {
        long route = r.group() != Api.NONE ? r.group() : r.key();
        long order = mix(route != Api.NONE ? route : random.nextLong());
        RequestState c =
                new RequestState(r, relaySettings.serviceClasses().get(r.serviceClass()), order);
        c.load = r.loadHint() > 0 ? requestLoad.add(r.loadHint()) : requestLoad.value;
        requests.put(r.id(), c);
        return c;
    }

    // ---- the list

    private void updateBackend(ListedBackend s) {
        BackendState h = backends.get(s.id());
        // A restarted process has nothing of the old one: neither its speed nor its warmth.
        if (h != null && (s.health() == Health.GONE || h.listEntry.startedAt() != s.startedAt())) {
            removeBackend(h);
            h = null;
        }
        if (s.health() != Health.GONE) {
            placementStale |= h == null || h.listEntry.health() != s.health();
            backends.computeIfAbsent(
                                    s.id(),
                                    id -> new BackendState(s, hash(id), HEAVY_HITTER_WINDOWS, now))
                            .listEntry =
                    s;
        }
    }

    /**
     * Tables are rebuilt later: until then they must not lead to a server that has left (rule 3).
     */
    private void removeBackend(BackendState h) {
        backends.remove(h.listEntry.id());
        h.listed = false;
        usedBackends.remove(h);
        placementStale = true;
    }

    private void rebuildPlacement() {
        readyBackends = backends.values().stream().filter(BackendState::isReady).toList();
        List<BackendState> near =
                readyBackends.stream()
                        .filter(h -> h.listEntry.zone() == relaySettings.zone())
                        .toList();
        near =
                relaySettings.crossZoneCost() > MAX_CROSS_ZONE_COST && !near.isEmpty()
                        ? near
                        : readyBackends;
        localBackendCount = near.size();
        localPlacement = PlacementTable.of(near, this::weight);
        globalPlacement = near == readyBackends ? localPlacement : null;
        placementStale = false;
        placementRebuiltAt = now;
    }

    private double weight(BackendState h) {
        return relaySettings.comparableWeights() && h.listEntry.weight() > 0
                ? h.listEntry.weight()
                : 1;
    }

    // ---- the ordinary path

    /** Sends the request on, holds it, or answers it. */
    private void dispatch(RequestState c) {
        waitingRequests.remove(c.request.id());
        long left = c.request.deadline() - now;
        double kept = Math.exp((throttleUpdatedAt - now) / THROTTLE_DECAY_MICROS);
        recentAttempts *= kept;
        recentEstablished *= kept;
        throttleUpdatedAt = now;
        // When set-ups fail wherever they go (a shared store, resets), only twice as many as lately
        // stood.
        boolean no =
                random.nextDouble() * recentAttempts
                        < recentAttempts
                                - THROTTLE_ATTEMPTS_PER_ESTABLISHED * recentEstablished
                                - THROTTLE_RESERVE_ATTEMPTS;
        // A jammed fleet serves nobody: the least worth is turned away early, by all nodes alike.
        boolean least =
                c.attempts == 0 && priorityRank(c) < rejectionThreshold && !c.request.midFlow();
        if (no
                || left <= relaySettings.timerResolution() && c.attempts > 0
                || c.attempts >= relaySettings.maxAttempts()
                || !canRetry(c)) {
            rejectOrFail(c);
            return;
        }
        if (placementStale
                && (now - placementRebuiltAt
                                >= safetyRules.warmUpPeriod() / TABLE_REBUILDS_PER_WARM_UP
                        || localPlacement.isEmpty())) {
            rebuildPlacement();
        }
        BackendState h = least ? fallbackBackend(c, true) : chooseBackend(c);
        if (h != null) {
            startAttempt(c, h, left);
        } else if (c.firstUncertainAttemptAt == Api.NONE
                && backends.values().stream().noneMatch(BackendState::isReady)) {
            // No server is known: the list may still name one before the client gives up.
            waitingRequests.put(c.request.id(), c);
            relayActions.setTimer(
                    Long.toString(c.request.id()),
                    Math.max(1, left - relaySettings.timerResolution()));
        } else {
            rejectOrFail(c);
        }
    }

    private void startAttempt(RequestState c, BackendState h, long left) {
        c.startAttempt(h, now);
        usedBackends.add(h);
        recentAttempts++;
        h.warmUpBudget -= warmUpFraction(h) < 1 ? c.load : 0;
        if (h.onProbation
                && h.establishedRequests.stream()
                        .anyMatch(o -> now - o.stateChangedAt >= EJECTION_MICROS)) {
            h.onProbation = false; // the last trial stands: it serves again
            h.consecutiveFailures = 0;
        } else if (h.consecutiveFailures > 0) {
            eject(h); // One trial at a time: nobody else goes there until this one has answered.
        }
        relayActions.sendAttempt(c.request.id(), h.listEntry.id(), attemptTimeout(c, left));
    }

    /**
     * A group too big for a server would jam its default: the places it has by its share of what is
     * open.
     */
    private int groupSpread(RequestState c) {
        double prior =
                GROUP_SHARE_PRIOR_CONNECTIONS
                        * learnedGroupShares.getOrDefault(c.placementHash, meanGroupShare);
        double share =
                (connectionsByGroup.getOrDefault(c.placementHash, 0) + prior)
                        / (establishedCount + GROUP_SHARE_PRIOR_CONNECTIONS);
        return c.request.midFlow()
                ? 1
                : Math.max(1, (int) (GROUP_SPREAD_FACTOR * share * localBackendCount));
    }

    /** The default or its stand-in in the key's fixed order; a heavy client may leave it. */
    private BackendState chooseBackend(RequestState c) {
        BackendState first = null;
        BackendState best = null;
        int width = groupSpread(c);
        int start = random.nextInt(width);
        for (int i = 0; i < width + ALTERNATIVE_CANDIDATES; i++) {
            BackendState h =
                    candidate(
                            c.placementHash,
                            i < width ? (start + i) % width : i,
                            i < width + ALTERNATIVE_CANDIDATES / 2);
            boolean fit = h != null && isUsable(h, c) && now >= h.ejectedUntil && canAdmit(h, c);
            if (!fit) {
                continue;
            }
            h.lastConsideredAt = now;
            if (first == null) {
                first = h;
                countArrival(h, c);
                BackendState other =
                        c.request.midFlow() || c.attempts > 0 ? null : diversionTarget(c, h);
                if (other != null) {
                    return other;
                }
            }
            if (c.request.midFlow()
                    || !isOverloaded(h)
                            && (!hasFreshLoadReport(h)
                                    || h.estimatedUtilization() <= BUSY_UTILIZATION)) {
                return h;
            }
            best =
                    !isOverloaded(h)
                                    && (best == null
                                            || h.estimatedUtilization()
                                                    < best.estimatedUtilization())
                            ? h
                            : best;
        }
        // The least busy one; where all are jammed one more would be served nothing and slow the
        // rest.
        return best != null ? best : fallbackBackend(c, first != null);
    }

    /**
     * Where no place of the key takes it: a cold server that has room, else any but one that resets
     * all.
     */
    private BackendState fallbackBackend(RequestState c, boolean coldOnly) {
        return backends.values().stream()
                .filter(
                        h ->
                                isUsable(h, c)
                                        && (warmUpFraction(h) < 1
                                                ? now >= h.ejectedUntil && c.load <= warmUpBudget(h)
                                                : !coldOnly
                                                        && (!h.onProbation
                                                                || now >= h.ejectedUntil)))
                .min(Comparator.comparingLong(h -> h.ejectedUntil))
                .orElse(null);
    }

    /** The key's place in its fixed order of servers, the same at every node with the same list. */
    private BackendState candidate(long route, int i, boolean near) {
        if (!near && globalPlacement == null) {
            globalPlacement = PlacementTable.of(readyBackends, this::weight);
        }
        return (near ? localPlacement : globalPlacement).backendAt(i == 0 ? route : mix(route + i));
    }

    private boolean isUsable(BackendState h, RequestState c) {
        return h.listed
                && h.isReady()
                && !c.triedBackends.contains(h)
                && isInDeduplicationScope(h, c);
    }

    /**
     * A cold server takes the keys under a threshold that rises with what it can carry: all nodes
     * agree.
     */
    private boolean canAdmit(BackendState h, RequestState c) {
        return warmUpFraction(h) >= 1
                || toUnitInterval(c.placementHash ^ h.hash) < warmUpFraction(h)
                        && c.load <= warmUpBudget(h);
    }

    // A node's share of what rule 4 allows: a half as time goes, the other at once where a report
    // shows room.
    private double warmUpBudget(BackendState h) {
        if (h.warmUpBudgetUpdatedAt
                == 0) { // Nodes start anywhere within one connection: few spend at the same time.
            h.warmUpBudget = random.nextDouble() * requestLoad.value;
            h.warmUpBudgetUpdatedAt =
                    Math.max(h.firstSeenAt, now - safetyRules.warmUpBudgetWindow());
        }
        double rate =
                WARM_UP_SAFETY_FACTOR
                        * safetyRules.maxWarmUpLoadMultiple()
                        * warmUpFraction(h)
                        * capacityShare(h)
                        / safetyRules.warmUpPeriod();
        h.warmUpBudget =
                Math.min(
                        h.warmUpBudget + rate * (now - h.warmUpBudgetUpdatedAt), requestLoad.value);
        h.warmUpBudgetUpdatedAt = now;
        double alike =
                h.reportedUtilization
                        + WARM_UP_SAFETY_FACTOR
                                * (h.placedLoad - h.placedLoadAtReport)
                                / capacityShare(h); // all relays read that report
        return h.warmUpBudget
                + (hasFreshLoadReport(h) && alike < SHED_TARGET_UTILIZATION * warmUpFraction(h)
                        ? rate * safetyRules.warmUpBudgetWindow()
                        : 0);
    }

    /**
     * This node's part of what a warm server can do: as reports tell, or half its even part of
     * shares.
     */
    private double capacityShare(BackendState h) {
        double quota =
                relaySettings.tenantQuotas().stream().mapToLong(q -> q).sum()
                        * requestLoad.value
                        / relaySettings.relayCount();
        double mean =
                Math.max(
                                utilizationOfWarmBackends > 0 ? 0 : totalPlacedLoad,
                                WARM_UP_SAFETY_FACTOR * quota)
                        / Math.max(1, backends.size());
        return Math.max(
                utilizationOfWarmBackends > 0
                        ? ownLoadOnWarmBackends / utilizationOfWarmBackends * weight(h)
                        : 0,
                mean);
    }

    private double warmUpFraction(BackendState h) {
        // It runs for as long as it has been known, whatever the wall clocks say of its start.
        double age =
                (now - Math.min(h.listEntry.startedAt(), h.firstSeenAt))
                        / Math.max(1.0, safetyRules.warmUpPeriod());
        return h.listEntry.startedAt() == 0 || age >= 1
                ? 1
                : safetyRules.initialWarmUpFraction()
                        + (1 - safetyRules.initialWarmUpFraction()) * age;
    }

    /**
     * The paper's test: heavy, above percentile p, and a gap that is worth a fresh set-up; else
     * null.
     */
    private BackendState diversionTarget(RequestState c, BackendState from) {
        double own = queueingDelay(from);
        if (own <= MIN_DIVERSION_GAP_SETUPS * setupLatency.value
                || !isHeavyClient(from, c)
                || own <= diversionThreshold) {
            return null;
        }
        BackendState least = null;
        for (int i = 0; i < DIVERSION_CANDIDATES; i++) {
            BackendState h = localPlacement.randomBackend(random);
            boolean fit =
                    h != from && isUsable(h, c) && now >= h.ejectedUntil && warmUpFraction(h) >= 1;
            if (fit
                    && (least == null
                            || queueingDelay(h) < queueingDelay(least)
                            || queueingDelay(h) == queueingDelay(least)
                                    && h.placedLoad / weight(h)
                                            < least.placedLoad / weight(least))) {
                least = h;
            }
        }
        return least != null
                        && own - queueingDelay(least)
                                > MIN_DIVERSION_GAP_SETUPS * setupLatency.value
                ? least
                : null;
    }

    /**
     * A node without a connection there is told no more; without memory it would soon send the next
     * one.
     */
    private boolean hasFreshDelayReport(BackendState h) {
        return now - h.lastDelayReportAt
                < (!h.establishedRequests.isEmpty()
                        ? MAX_DELAY_REPORT_AGE_MICROS
                        : MAX_DELAY_REPORT_AGE_UNCONNECTED_MICROS);
    }

    /**
     * W: the told delay, else the recent set-up latency above the lowest seen, else the others'
     * mean.
     */
    private double queueingDelay(BackendState h) {
        return hasFreshDelayReport(h)
                ? h.reportedDelayMicros
                : h.setupLatency.hasSample
                        ? Math.max(0, h.setupLatency.value - h.minSetupLatency)
                        : meanQueueingDelay;
    }

    /** The percentile and the mean of W, and the groups that are open, once a period. */
    private void updateStatistics() {
        statisticsUpdatedAt = now;
        double[] all = new double[Math.max(backends.size(), usedBackends.size())];
        int n = 0;
        int heard = 0;
        int slow = 0;
        double sum = 0;
        totalPlacedLoad = 0;
        establishedCount = 0;
        connectionsByGroup.clear();
        double pairs = 0;
        for (BackendState h : usedBackends) {
            for (RequestState c : h.establishedRequests) {
                pairs += connectionsByGroup.merge(c.placementHash, 1, Integer::sum) - 1;
            }
            establishedCount += h.establishedRequests.size();
            totalPlacedLoad += h.placedLoad;
            heard += h.establishedRequests.isEmpty() ? 0 : 1;
            slow += !h.establishedRequests.isEmpty() && isOverloaded(h) ? 1 : 0;
            all[n] = queueingDelay(h);
            sum += all[n++];
        }
        updateGroupShares(pairs);
        updateCapacityEstimates();
        meanQueueingDelay = n == 0 ? 0 : sum / n;
        Arrays.fill(all, n, all.length, meanQueueingDelay);
        Arrays.sort(all);
        updateRejectionThreshold(heard, slow);
        diversionThreshold =
                all.length == 0 ? 0 : all[(int) (DIVERSION_QUANTILE * (all.length - 1))];
    }

    /** Takes the number of pairs of established connections that are of the same group. */
    private void updateGroupShares(double pairs) {
        if (learnedGroupShares.isEmpty()
                || establishedCount
                        >= GROUP_SHARE_PRIOR_CONNECTIONS) { // few say less than what was remembered
            meanGroupShare =
                    2
                            * pairs
                            / Math.max(
                                    1,
                                    establishedCount
                                            * (establishedCount
                                                    - 1)); // of the group of a connection drawn
            learnedGroupShares =
                    establishedCount > GROUP_SHARE_PRIOR_CONNECTIONS * GROUP_SHARE_PRIOR_CONNECTIONS
                            ? Map.of()
                            : learnedGroupShares;
        }
    }

    /**
     * Decays the share of the capacity that this relay uses and updates it from fresh load reports.
     */
    private void updateCapacityEstimates() {
        ownLoadOnWarmBackends *= CAPACITY_SHARE_RETENTION_PER_PERIOD;
        utilizationOfWarmBackends *= CAPACITY_SHARE_RETENTION_PER_PERIOD;
        for (BackendState h :
                backends.values()) { // also at the first request, before the tables are built
            double told =
                    h.isReady()
                                    && hasFreshLoadReport(h)
                                    && warmUpFraction(h) >= 1
                                    && totalPlacedLoad > 0
                            ? 1
                            : 0;
            ownLoadOnWarmBackends += told * h.placedLoadAtReport;
            utilizationOfWarmBackends += told * h.reportedUtilization * weight(h);
            h.estimatedCapacity = capacityShare(h) * relaySettings.relayCount();
        }
    }

    /**
     * Takes how many backends have connections of this relay, and how many of these are overloaded.
     */
    private void updateRejectionThreshold(int heard, int slow) {
        boolean full =
                slow > OVERLOADED_FLEET_FRACTION * heard
                        || fleetUtilization() > OVERLOAD_UTILIZATION;
        rejectionThreshold =
                Math.min(
                        1,
                        Math.max(
                                0,
                                rejectionThreshold
                                        + (full
                                                ? REJECTION_INCREASE_PER_PERIOD
                                                : -REJECTION_DECREASE_PER_PERIOD)));
    }

    /** The mean load asked of the servers that report; unknown where most do not. */
    private double fleetUtilization() {
        double[] asked =
                readyBackends.stream()
                        .filter(this::hasFreshLoadReport)
                        .mapToDouble(BackendState::estimatedUtilization)
                        .toArray();
        boolean most = asked.length * 2 > Math.min(readyBackends.size(), Api.MAX_PROBED_BACKENDS);
        return most ? Arrays.stream(asked).average().orElse(0) : Api.NONE;
    }

    /**
     * Where a request stands among all, 0 the first to go: by worth, then by key, at all nodes
     * alike.
     */
    private double priorityRank(RequestState c) {
        int below = 0;
        for (ServiceClass s : relaySettings.serviceClasses()) {
            below += s.value() < c.serviceClass.value() ? 1 : 0;
        }
        return (below + toUnitInterval(c.clientKey)) / relaySettings.serviceClasses().size();
    }

    /**
     * Only a told delay says so: the mean of the few jammed servers that were heard would condemn
     * all.
     */
    private boolean isOverloaded(BackendState h) {
        boolean slow =
                hasFreshDelayReport(h) && h.reportedDelayMicros > minMessageLatencyTarget / 3;
        return slow || hasFreshLoadReport(h) && h.estimatedUtilization() > OVERLOAD_UTILIZATION;
    }

    // ---- heavy clients

    private void countArrival(BackendState h, RequestState c) {
        HeavyHitterTable t = h.heavyHitterTables[0];
        if (t == null || t.arrivals >= WINDOW_ARRIVALS) {
            System.arraycopy(
                    h.heavyHitterTables, 0, h.heavyHitterTables, 1, HEAVY_HITTER_WINDOWS - 1);
            t = new HeavyHitterTable();
            h.heavyHitterTables[0] = t;
        }
        t.arrivals++;
        t.add(c.clientKey, requestLoad.value > 0 ? c.load / requestLoad.value : 1, random);
    }

    // Moves the heaviest connection off a server whose delay persists. By chance, so that all nodes
    // together
    // move a small share a second: each sees the same jam, and all at once would empty the server.
    private void shedConnection(BackendState h) {
        RequestState most = null;
        for (RequestState c : h.establishedRequests) {
            boolean least = priorityRank(c) < rejectionThreshold;
            if (c.moving) {
                continue;
            }
            if (most == null
                    || (least != priorityRank(most) < rejectionThreshold
                            ? least
                            : c.load > most.load)) {
                most = c;
            }
        }
        if (most != null && (isHeavyClient(h, most) || priorityRank(most) < rejectionThreshold)) {
            most.moving = true;
            relayActions.moveClient(most.request.id());
        }
    }

    /**
     * In a table that is not yet full all are named: a heavy client also counts more than the mean
     * one.
     */
    private boolean isHeavyClient(BackendState h, RequestState c) {
        double sum = 0;
        for (HeavyHitterTable t : h.heavyHitterTables) {
            for (int i = 0; t != null && i < t.size; i++) {
                sum += t.clients[i] == c.clientKey ? t.counters[i] : 0;
            }
        }
        return sum > 1;
    }

    // ---- attempts, failures, answers

    /**
     * The aim, longer each time; until the client gives up if it is the last chance, or all wait
     * anyway.
     */
    private long attemptTimeout(RequestState c, long left) {
        double aim = c.serviceClass.latencyTarget();
        boolean last = c.attempts >= relaySettings.maxAttempts() || left <= 2 * aim / 3;
        last |=
                c.serviceClass.idempotency()
                        == Idempotency.NOT_IDEMPOTENT; // an early time-out would only end it
        last |=
                recentAttempts
                        > THROTTLE_ATTEMPTS_PER_ESTABLISHED * recentEstablished
                                + THROTTLE_RESERVE_ATTEMPTS;
        return last ? 0 : (long) Math.min(left, aim * c.attempts);
    }

    /**
     * No effect twice: what may have run is repeated only where and while its repeats are
     * discarded.
     */
    private boolean canRetry(RequestState c) {
        return c.firstUncertainAttemptAt == Api.NONE
                || c.serviceClass.idempotency() == Idempotency.IDEMPOTENT
                || c.serviceClass.idempotency() == Idempotency.DEDUPLICATED
                        && now - c.firstUncertainAttemptAt < c.serviceClass.deduplicationWindow();
    }

    private boolean isInDeduplicationScope(BackendState h, RequestState c) {
        DeduplicationScope scope =
                c.serviceClass.idempotency() == Idempotency.IDEMPOTENT
                        ? DeduplicationScope.ALL
                        : c.serviceClass.deduplicationScope();
        return c.firstUncertainAttemptAt == Api.NONE
                || scope == DeduplicationScope.ALL
                || h.listEntry.zone() == c.firstUncertainBackend.listEntry.zone()
                        && (scope == DeduplicationScope.ZONE
                                || h.listEntry.cell() == c.firstUncertainBackend.listEntry.cell());
    }

    private void rejectOrFail(RequestState c) {
        waitingRequests.remove(c.request.id());
        requests.remove(c.request.id());
        if (c.firstUncertainAttemptAt == Api.NONE
                || c.serviceClass.idempotency() == Idempotency.IDEMPOTENT
                || c.serviceClass.idempotency() == Idempotency.DEDUPLICATED
                        && c.serviceClass.deduplicationScope() == DeduplicationScope.ALL) {
            relayActions.reject(c.request.id(), relaySettings.maxRetryAfter());
        } else {
            relayActions.fail(c.request.id());
        }
    }

    /** A failure ejects at once: a node that sees little would not live to see a second one. */
    private void recordFailure(BackendState h) {
        h.consecutiveFailures =
                Math.min(
                        h.consecutiveFailures + (now < h.ejectedUntil ? 0 : 1),
                        MAX_EJECTION_DOUBLINGS);
        eject(h);
    }

    private void eject(BackendState h) {
        h.ejectedUntil = now + EJECTION_MICROS * (1L << Math.max(0, h.consecutiveFailures - 1));
    }
}
