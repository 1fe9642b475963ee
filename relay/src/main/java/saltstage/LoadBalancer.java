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

    private final Settings settings;
    private final SafetyRules safetyRules;
    private final Api.Actions actions;
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
    private final ProbeSelection probeSelection = new ProbeSelection(backend -> warmUpFraction(backend) < 1);
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
        this.settings = settings;
        safetyRules = settings.safetyRules();
        this.actions = actions;
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
    public LearnedState learnedState(long time) {
        List<LearnedBackend> learnedBackends =
                backends.values().stream()
                        .filter(backend -> backend.setupLatency.hasSample || time < backend.ejectedUntil)
                        .map(
                                backend ->
                                        new LearnedBackend(
                                                backend.listEntry.id(),
                                                backend.listEntry.startedAt(),
                                                backend.setupLatency.value,
                                                backend.setupLatency.deviation,
                                                backend.minSetupLatency,
                                                backend.consecutiveFailures,
                                                Math.max(0, backend.ejectedUntil - time)))
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
                learnedBackends,
                shares);
    }

    /** The servers that have failed and are left alone for now. */
    public Set<String> ejectedBackends(long time) {
        return new TreeSet<>(
                backends.keySet().stream()
                        .filter(id -> time < backends.get(id).ejectedUntil)
                        .toList());
    }

    /** Takes in what a former node of this name has learnt, of the processes that still run. */
    public void restoreLearnedState(long time, LearnedState learned) {
        setupLatency.set(learned.setupLatency(), learned.setupLatencyDeviation());
        connectionLifetime.set(learned.meanConnectionLifetime(), learned.meanConnectionLifetime() / 2);
        requestLoad.set(
                learned.meanRequestLoad() > 0 ? learned.meanRequestLoad() : 1,
                learned.meanRequestLoad() / 2);
        requestLoad.hasSample = learned.meanRequestLoad() > 0;
        meanGroupShare = learned.meanGroupShare();
        utilizationOfWarmBackends =
                learned.capacityShare() > 0
                        ? LEARNED_CAPACITY_WEIGHT_PERIODS
                                * backends.values().stream().mapToDouble(this::weight).sum()
                        : 0;
        ownLoadOnWarmBackends = learned.capacityShare() * utilizationOfWarmBackends;
        learnedGroupShares = Map.copyOf(learned.groupShares());
        for (LearnedBackend learnedBackend : learned.backends()) {
            BackendState backend = backends.get(learnedBackend.id());
            if (backend != null && backend.listEntry.startedAt() == learnedBackend.startedAt()) {
                backend.setupLatency.set(learnedBackend.setupLatency(), learnedBackend.setupLatencyDeviation());
                backend.minSetupLatency = learnedBackend.minSetupLatency();
                backend.consecutiveFailures =
                        learnedBackend.remainingEjection() > 0
                                ? Math.min(learnedBackend.consecutiveFailures(), MAX_EJECTION_DOUBLINGS)
                                : 0;
                backend.ejectedUntil =
                        time
                                + Math.min(
                                        learnedBackend.remainingEjection(),
                                        EJECTION_MICROS << MAX_EJECTION_DOUBLINGS);
            }
        }
    }

    // ---- events

    @Override
    public void start(long eventTime) {
        now = eventTime;
        if (settings
                .watchesBackendList()) { // Nodes that start together must not call together: the
            // service
            // is small.
            actions.setTimer(
                    "list",
                    1 + (long) (random.nextDouble() * safetyRules.discoveryCallInterval() / 8));
        }
        if (settings.probingEnabled()) {
            actions.setTimer("probe", 1 + (long) (random.nextDouble() * PROBE_TICK_MICROS));
        }
    }

    @Override
    public void backendListReceived(long eventTime, BackendListKind kind, List<ListedBackend> listedBackends) {
        now = eventTime;
        if (kind == BackendListKind.CALL_FAILED) {
            actions.setTimer(
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
        listedBackends.forEach(this::updateBackend);
        if (kind != BackendListKind.DELTA) {
            Set<String> listedIds = Set.copyOf(listedBackends.stream().map(ListedBackend::id).toList());
            backends.values().stream()
                    .filter(backend -> !listedIds.contains(backend.listEntry.id()))
                    .toList()
                    .forEach(this::removeBackend);
        }
        List.copyOf(waitingRequests.values()).forEach(this::dispatch);
    }

    @Override
    public void requestReceived(long eventTime, Request request) {
        now = eventTime;
        if (now - statisticsUpdatedAt >= STATISTICS_PERIOD_MICROS) {
            updateStatistics();
        }
        dispatch(registerRequest(request));
    }

    @Override
    public void connectionRestored(long eventTime, Request request, String backendId) {
        now = eventTime;
        RequestState state = registerRequest(request);
        ListedBackend unlisted = new ListedBackend(backendId, 0, 0, Health.GONE, 1, 0);
        state.startAttempt(
                backends.getOrDefault(
                        backendId, new BackendState(unlisted, hash(backendId), HEAVY_HITTER_WINDOWS, eventTime)),
                eventTime);
        state.markEstablished(
                eventTime - EJECTION_MICROS); // it has stood, whatever comes: its end says nothing of
        // set-ups
        countArrival(state.backend, state);
        usedBackends.add(state.backend);
    }

    @Override
    public void connectionEstablished(long eventTime, long id, long latency) {
        now = eventTime;
        RequestState state = requests.get(id);
        if (state != null) {
            state.markEstablished(eventTime);
            state.backend.setupSucceeded(latency, eventTime, EJECTION_MICROS);
            setupLatency.add(latency);
            recentEstablished++;
        }
    }

    @Override
    public void attemptEnded(long eventTime, long id, Outcome outcome, boolean over) {
        now = eventTime;
        RequestState state = requests.get(id);
        if (state == null) {
            return;
        }
        state.endAttempt();
        recentAttempts -= outcome.hasNoEffect() ? 1 : 0;
        if (state.established
                && outcome == Outcome.RESET
                && eventTime - state.stateChangedAt < EJECTION_MICROS) { // it did not stand
            recentEstablished--;
            state.backend.onProbation = true;
            state.backend.ejectedUntil =
                    state.probationAttempt
                            ? eventTime
                            : state.backend.ejectedUntil; // it counts as the next strike
        }
        if (outcome == Outcome.SERVED && eventTime - state.stateChangedAt > EJECTION_MICROS) {
            state.backend.consecutiveFailures = 0;
        }
        if (state.established && !state.loadReported && state.request.loadHint() <= 0) {
            estimateLoadFromLifetime(state, eventTime);
            countArrival(state.backend, state);
        }
        // Without this, light clients would keep going to a server that takes all and serves
        // nothing.
        if (state.established ? outcome == Outcome.RESET : BACKEND_FAILURES.contains(outcome)) {
            recordFailure(state.backend);
        }
        if (over || state.clientLeft) {
            requests.remove(id);
            return;
        }
        if (!outcome.hasNoEffect() && state.firstUncertainAttemptAt == Api.NONE) {
            state.firstUncertainAttemptAt = state.stateChangedAt;
            state.firstUncertainBackend = state.backend;
        }
        dispatch(state);
    }

    private void estimateLoadFromLifetime(RequestState state, long eventTime) {
        // Neither hint nor told load: the time that it was open marks it.
        connectionLifetime.add(eventTime - state.stateChangedAt);
        state.load =
                requestLoad.value * (eventTime - state.stateChangedAt) / Math.max(1, connectionLifetime.value);
    }

    @Override
    public void clientLeft(long eventTime, long id) {
        now = eventTime;
        RequestState state = requests.get(id);
        waitingRequests.remove(id);
        if (state != null && state.attemptActive) {
            state.clientLeft = true;
        } else {
            requests.remove(id);
        }
    }

    @Override
    public void connectionReported(long eventTime, long id, ConnectionReport kind, double level) {
        now = eventTime;
        RequestState state = requests.get(id);
        if (state == null || !state.attemptActive) {
            return;
        }
        BackendState backend = state.backend;
        if (kind == ConnectionReport.DELAY) {
            boolean persists = isOverloaded(backend);
            backend.reportedDelayMicros = level * 1000;
            backend.lastDelayReportAt = eventTime;
            double fraction =
                    SHED_FRACTION_PER_SECOND
                            * Math.min(
                                    MAX_SHED_MULTIPLIER,
                                    backend.reportedDelayMicros / minMessageLatencyTarget);
            if (persists
                    && isOverloaded(backend)
                    && random.nextDouble() < fraction * backend.establishedRequests.size()) {
                shedConnection(backend);
            }
        } else {
            state.loadReported = true;
            if (state.request.loadHint() <= 0) {
                requestLoad.add(
                        level); // Without hints told loads give the unit; a guess would not.
            }
            state.updateLoad(level);
            countArrival(backend, state);
        }
    }

    @Override
    public void timerFired(long eventTime, String token) {
        now = eventTime;
        if (token.equals("list")) {
            actions.watchBackendList();
        } else if (token.equals("probe")) {
            actions.setTimer("probe", PROBE_TICK_MICROS);
            backends.values()
                    .forEach(
                            backend ->
                                    backend.smoothedPlacedLoad +=
                                            PLACED_LOAD_SMOOTHING_PER_TICK
                                                    * (backend.placedLoad - backend.smoothedPlacedLoad));
            probeSelection.select(backends.values(), now).stream()
                    .filter(backend -> now >= backend.nextProbeAt && backend.isReady())
                    .forEach(this::probeBackend);
        } else if (waitingRequests.containsKey(Long.parseLong(token))) {
            rejectOrFail(waitingRequests.get(Long.parseLong(token)));
        }
    }

    @Override
    public void probeCompleted(long eventTime, String backendId, Outcome outcome, double utilization) {
        now = eventTime;
        BackendState backend = backends.get(backendId);
        if (backend == null || outcome != Outcome.SERVED || utilization < 0) {
            return;
        }
        backend.reportedUtilization = utilization;
        backend.lastLoadReportAt = eventTime;
        backend.placedLoadAtReport = backend.smoothedPlacedLoad;
        double excess =
                utilization
                        - (isOverloaded(backend) && fleetUtilization() < FLEET_HEADROOM_UTILIZATION
                                ? SHED_TARGET_UTILIZATION
                                : OVERLOAD_UTILIZATION);
        // Each node moves its part of what is too much: one a second would take longer than
        // troubles last.
        for (double movesDue = SHED_FRACTION_PER_PROBE * excess / utilization * backend.establishedRequests.size();
                movesDue > 0;
                movesDue--) {
            if (random.nextDouble() < movesDue) {
                shedConnection(backend);
            }
        }
    }

    private void probeBackend(BackendState backend) {
        boolean frequent =
                isOverloaded(backend)
                        || warmUpFraction(backend) < 1
                        || hasFreshLoadReport(backend) && backend.estimatedUtilization() > BUSY_UTILIZATION;
        backend.nextProbeAt = now + (frequent ? FREQUENT_PROBE_INTERVAL_MICROS : PROBE_INTERVAL_MICROS);
        actions.probe(backend.listEntry.id());
    }

    private boolean hasFreshLoadReport(BackendState backend) {
        return now - backend.lastLoadReportAt < PROBE_INTERVAL_MICROS + FREQUENT_PROBE_INTERVAL_MICROS;
    }

    private RequestState registerRequest(Request request) {
        long placementKey = request.group() != Api.NONE ? request.group() : request.key();
        long placementHash = mix(placementKey != Api.NONE ? placementKey : random.nextLong());
        RequestState state =
                new RequestState(request, settings.serviceClasses().get(request.serviceClass()), placementHash);
        state.load = request.loadHint() > 0 ? requestLoad.add(request.loadHint()) : requestLoad.value;
        requests.put(request.id(), state);
        return state;
    }

    // ---- the list

    private void updateBackend(ListedBackend entry) {
        BackendState backend = backends.get(entry.id());
        // A restarted process has nothing of the old one: neither its speed nor its warmth.
        if (backend != null && (entry.health() == Health.GONE || backend.listEntry.startedAt() != entry.startedAt())) {
            removeBackend(backend);
            backend = null;
        }
        if (entry.health() != Health.GONE) {
            placementStale |= backend == null || backend.listEntry.health() != entry.health();
            backends.computeIfAbsent(
                                    entry.id(),
                                    id -> new BackendState(entry, hash(id), HEAVY_HITTER_WINDOWS, now))
                            .listEntry =
                    entry;
        }
    }

    /**
     * Tables are rebuilt later: until then they must not lead to a server that has left (rule 3).
     */
    private void removeBackend(BackendState backend) {
        backends.remove(backend.listEntry.id());
        backend.listed = false;
        usedBackends.remove(backend);
        placementStale = true;
    }

    private void rebuildPlacement() {
        readyBackends = backends.values().stream().filter(BackendState::isReady).toList();
        List<BackendState> localBackends =
                readyBackends.stream()
                        .filter(backend -> backend.listEntry.zone() == settings.zone())
                        .toList();
        localBackends =
                settings.crossZoneCost() > MAX_CROSS_ZONE_COST && !localBackends.isEmpty()
                        ? localBackends
                        : readyBackends;
        localBackendCount = localBackends.size();
        localPlacement = PlacementTable.of(localBackends, this::weight);
        globalPlacement = localBackends == readyBackends ? localPlacement : null;
        placementStale = false;
        placementRebuiltAt = now;
    }

    private double weight(BackendState backend) {
        return settings.comparableWeights() && backend.listEntry.weight() > 0
                ? backend.listEntry.weight()
                : 1;
    }

    // ---- the ordinary path

    /** Sends the request on, holds it, or answers it. */
    private void dispatch(RequestState state) {
        waitingRequests.remove(state.request.id());
        long remainingMicros = state.request.deadline() - now;
        double retention = Math.exp((throttleUpdatedAt - now) / THROTTLE_DECAY_MICROS);
        recentAttempts *= retention;
        recentEstablished *= retention;
        throttleUpdatedAt = now;
        // When set-ups fail wherever they go (a shared store, resets), only twice as many as lately
        // stood.
        boolean throttled =
                random.nextDouble() * recentAttempts
                        < recentAttempts
                                - THROTTLE_ATTEMPTS_PER_ESTABLISHED * recentEstablished
                                - THROTTLE_RESERVE_ATTEMPTS;
        // A jammed fleet serves nobody: the least worth is turned away early, by all nodes alike.
        boolean belowThreshold =
                state.attempts == 0 && priorityRank(state) < rejectionThreshold && !state.request.midFlow();
        if (throttled
                || remainingMicros <= settings.timerResolution() && state.attempts > 0
                || state.attempts >= settings.maxAttempts()
                || !canRetry(state)) {
            rejectOrFail(state);
            return;
        }
        if (placementStale
                && (now - placementRebuiltAt
                                >= safetyRules.warmUpPeriod() / TABLE_REBUILDS_PER_WARM_UP
                        || localPlacement.isEmpty())) {
            rebuildPlacement();
        }
        BackendState backend = belowThreshold ? fallbackBackend(state, true) : chooseBackend(state);
        if (backend != null) {
            startAttempt(state, backend, remainingMicros);
        } else if (state.firstUncertainAttemptAt == Api.NONE
                && backends.values().stream().noneMatch(BackendState::isReady)) {
            // No server is known: the list may still name one before the client gives up.
            waitingRequests.put(state.request.id(), state);
            actions.setTimer(
                    Long.toString(state.request.id()),
                    Math.max(1, remainingMicros - settings.timerResolution()));
        } else {
            rejectOrFail(state);
        }
    }

    private void startAttempt(RequestState state, BackendState backend, long remainingMicros) {
        state.startAttempt(backend, now);
        usedBackends.add(backend);
        recentAttempts++;
        backend.warmUpBudget -= warmUpFraction(backend) < 1 ? state.load : 0;
        if (backend.onProbation
                && backend.establishedRequests.stream()
                        .anyMatch(other -> now - other.stateChangedAt >= EJECTION_MICROS)) {
            backend.onProbation = false; // the last trial stands: it serves again
            backend.consecutiveFailures = 0;
        } else if (backend.consecutiveFailures > 0) {
            eject(backend); // One trial at a time: nobody else goes there until this one has answered.
        }
        actions.sendAttempt(state.request.id(), backend.listEntry.id(), attemptTimeout(state, remainingMicros));
    }

    /**
     * A group too big for a server would jam its default: the places it has by its share of what is
     * open.
     */
    private int groupSpread(RequestState state) {
        double prior =
                GROUP_SHARE_PRIOR_CONNECTIONS
                        * learnedGroupShares.getOrDefault(state.placementHash, meanGroupShare);
        double share =
                (connectionsByGroup.getOrDefault(state.placementHash, 0) + prior)
                        / (establishedCount + GROUP_SHARE_PRIOR_CONNECTIONS);
        return state.request.midFlow()
                ? 1
                : Math.max(1, (int) (GROUP_SPREAD_FACTOR * share * localBackendCount));
    }

    /** The default or its stand-in in the key's fixed order; a heavy client may leave it. */
    private BackendState chooseBackend(RequestState state) {
        BackendState first = null;
        BackendState best = null;
        int spread = groupSpread(state);
        int start = random.nextInt(spread);
        for (int i = 0; i < spread + ALTERNATIVE_CANDIDATES; i++) {
            BackendState backend =
                    candidate(
                            state.placementHash,
                            i < spread ? (start + i) % spread : i,
                            i < spread + ALTERNATIVE_CANDIDATES / 2);
            boolean eligible = backend != null && isUsable(backend, state) && now >= backend.ejectedUntil && canAdmit(backend, state);
            if (!eligible) {
                continue;
            }
            backend.lastConsideredAt = now;
            if (first == null) {
                first = backend;
                countArrival(backend, state);
                BackendState other =
                        state.request.midFlow() || state.attempts > 0 ? null : diversionTarget(state, backend);
                if (other != null) {
                    return other;
                }
            }
            if (state.request.midFlow()
                    || !isOverloaded(backend)
                            && (!hasFreshLoadReport(backend)
                                    || backend.estimatedUtilization() <= BUSY_UTILIZATION)) {
                return backend;
            }
            best =
                    !isOverloaded(backend)
                                    && (best == null
                                            || backend.estimatedUtilization()
                                                    < best.estimatedUtilization())
                            ? backend
                            : best;
        }
        // The least busy one; where all are jammed one more would be served nothing and slow the
        // rest.
        return best != null ? best : fallbackBackend(state, first != null);
    }

    /**
     * Where no place of the key takes it: a cold server that has room, else any but one that resets
     * all.
     */
    private BackendState fallbackBackend(RequestState state, boolean coldOnly) {
        return backends.values().stream()
                .filter(
                        backend ->
                                isUsable(backend, state)
                                        && (warmUpFraction(backend) < 1
                                                ? now >= backend.ejectedUntil && state.load <= warmUpBudget(backend)
                                                : !coldOnly
                                                        && (!backend.onProbation
                                                                || now >= backend.ejectedUntil)))
                .min(Comparator.comparingLong(backend -> backend.ejectedUntil))
                .orElse(null);
    }

    /** The key's place in its fixed order of servers, the same at every node with the same list. */
    private BackendState candidate(long placementHash, int position, boolean local) {
        if (!local && globalPlacement == null) {
            globalPlacement = PlacementTable.of(readyBackends, this::weight);
        }
        return (local ? localPlacement : globalPlacement).backendAt(position == 0 ? placementHash : mix(placementHash + position));
    }

    private boolean isUsable(BackendState backend, RequestState state) {
        return backend.listed
                && backend.isReady()
                && !state.triedBackends.contains(backend)
                && isInDeduplicationScope(backend, state);
    }

    /**
     * A cold server takes the keys under a threshold that rises with what it can carry: all nodes
     * agree.
     */
    private boolean canAdmit(BackendState backend, RequestState state) {
        return warmUpFraction(backend) >= 1
                || toUnitInterval(state.placementHash ^ backend.hash) < warmUpFraction(backend)
                        && state.load <= warmUpBudget(backend);
    }

    // A node's share of what rule 4 allows: a half as time goes, the other at once where a report
    // shows room.
    private double warmUpBudget(BackendState backend) {
        if (backend.warmUpBudgetUpdatedAt
                == 0) { // Nodes start anywhere within one connection: few spend at the same time.
            backend.warmUpBudget = random.nextDouble() * requestLoad.value;
            backend.warmUpBudgetUpdatedAt =
                    Math.max(backend.firstSeenAt, now - safetyRules.warmUpBudgetWindow());
        }
        double rate =
                WARM_UP_SAFETY_FACTOR
                        * safetyRules.maxWarmUpLoadMultiple()
                        * warmUpFraction(backend)
                        * capacityShare(backend)
                        / safetyRules.warmUpPeriod();
        backend.warmUpBudget =
                Math.min(
                        backend.warmUpBudget + rate * (now - backend.warmUpBudgetUpdatedAt), requestLoad.value);
        backend.warmUpBudgetUpdatedAt = now;
        double estimatedUtilization =
                backend.reportedUtilization
                        + WARM_UP_SAFETY_FACTOR
                                * (backend.placedLoad - backend.placedLoadAtReport)
                                / capacityShare(backend); // all relays read that report
        return backend.warmUpBudget
                + (hasFreshLoadReport(backend) && estimatedUtilization < SHED_TARGET_UTILIZATION * warmUpFraction(backend)
                        ? rate * safetyRules.warmUpBudgetWindow()
                        : 0);
    }

    /**
     * This node's part of what a warm server can do: as reports tell, or half its even part of
     * shares.
     */
    private double capacityShare(BackendState backend) {
        double quota =
                settings.tenantQuotas().stream().mapToLong(q -> q).sum()
                        * requestLoad.value
                        / settings.relayCount();
        double minShare =
                Math.max(
                                utilizationOfWarmBackends > 0 ? 0 : totalPlacedLoad,
                                WARM_UP_SAFETY_FACTOR * quota)
                        / Math.max(1, backends.size());
        return Math.max(
                utilizationOfWarmBackends > 0
                        ? ownLoadOnWarmBackends / utilizationOfWarmBackends * weight(backend)
                        : 0,
                minShare);
    }

    private double warmUpFraction(BackendState backend) {
        // It runs for as long as it has been known, whatever the wall clocks say of its start.
        double age =
                (now - Math.min(backend.listEntry.startedAt(), backend.firstSeenAt))
                        / Math.max(1.0, safetyRules.warmUpPeriod());
        return backend.listEntry.startedAt() == 0 || age >= 1
                ? 1
                : safetyRules.initialWarmUpFraction()
                        + (1 - safetyRules.initialWarmUpFraction()) * age;
    }

    /**
     * The paper's test: heavy, above percentile p, and a gap that is worth a fresh set-up; else
     * null.
     */
    private BackendState diversionTarget(RequestState state, BackendState defaultBackend) {
        double ownDelay = queueingDelay(defaultBackend);
        if (ownDelay <= MIN_DIVERSION_GAP_SETUPS * setupLatency.value
                || !isHeavyClient(defaultBackend, state)
                || ownDelay <= diversionThreshold) {
            return null;
        }
        BackendState best = null;
        for (int i = 0; i < DIVERSION_CANDIDATES; i++) {
            BackendState backend = localPlacement.randomBackend(random);
            boolean eligible =
                    backend != defaultBackend && isUsable(backend, state) && now >= backend.ejectedUntil && warmUpFraction(backend) >= 1;
            if (eligible
                    && (best == null
                            || queueingDelay(backend) < queueingDelay(best)
                            || queueingDelay(backend) == queueingDelay(best)
                                    && backend.placedLoad / weight(backend)
                                            < best.placedLoad / weight(best))) {
                best = backend;
            }
        }
        return best != null
                        && ownDelay - queueingDelay(best)
                                > MIN_DIVERSION_GAP_SETUPS * setupLatency.value
                ? best
                : null;
    }

    /**
     * A node without a connection there is told no more; without memory it would soon send the next
     * one.
     */
    private boolean hasFreshDelayReport(BackendState backend) {
        return now - backend.lastDelayReportAt
                < (!backend.establishedRequests.isEmpty()
                        ? MAX_DELAY_REPORT_AGE_MICROS
                        : MAX_DELAY_REPORT_AGE_UNCONNECTED_MICROS);
    }

    /**
     * W: the told delay, else the recent set-up latency above the lowest seen, else the others'
     * mean.
     */
    private double queueingDelay(BackendState backend) {
        return hasFreshDelayReport(backend)
                ? backend.reportedDelayMicros
                : backend.setupLatency.hasSample
                        ? Math.max(0, backend.setupLatency.value - backend.minSetupLatency)
                        : meanQueueingDelay;
    }

    /** The percentile and the mean of W, and the groups that are open, once a period. */
    private void updateStatistics() {
        statisticsUpdatedAt = now;
        double[] delays = new double[Math.max(backends.size(), usedBackends.size())];
        int count = 0;
        int connectedBackends = 0;
        int overloadedBackends = 0;
        double delaySum = 0;
        totalPlacedLoad = 0;
        establishedCount = 0;
        connectionsByGroup.clear();
        double sameGroupPairs = 0;
        for (BackendState backend : usedBackends) {
            for (RequestState state : backend.establishedRequests) {
                sameGroupPairs += connectionsByGroup.merge(state.placementHash, 1, Integer::sum) - 1;
            }
            establishedCount += backend.establishedRequests.size();
            totalPlacedLoad += backend.placedLoad;
            connectedBackends += backend.establishedRequests.isEmpty() ? 0 : 1;
            overloadedBackends += !backend.establishedRequests.isEmpty() && isOverloaded(backend) ? 1 : 0;
            delays[count] = queueingDelay(backend);
            delaySum += delays[count++];
        }
        updateGroupShares(sameGroupPairs);
        updateCapacityEstimates();
        meanQueueingDelay = count == 0 ? 0 : delaySum / count;
        Arrays.fill(delays, count, delays.length, meanQueueingDelay);
        Arrays.sort(delays);
        updateRejectionThreshold(connectedBackends, overloadedBackends);
        diversionThreshold =
                delays.length == 0 ? 0 : delays[(int) (DIVERSION_QUANTILE * (delays.length - 1))];
    }

    /** Takes the number of pairs of established connections that are of the same group. */
    private void updateGroupShares(double sameGroupPairs) {
        if (learnedGroupShares.isEmpty()
                || establishedCount
                        >= GROUP_SHARE_PRIOR_CONNECTIONS) { // few say less than what was remembered
            meanGroupShare =
                    2
                            * sameGroupPairs
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
        for (BackendState backend :
                backends.values()) { // also at the first request, before the tables are built
            double sampleWeight =
                    backend.isReady()
                                    && hasFreshLoadReport(backend)
                                    && warmUpFraction(backend) >= 1
                                    && totalPlacedLoad > 0
                            ? 1
                            : 0;
            ownLoadOnWarmBackends += sampleWeight * backend.placedLoadAtReport;
            utilizationOfWarmBackends += sampleWeight * backend.reportedUtilization * weight(backend);
            backend.estimatedCapacity = capacityShare(backend) * settings.relayCount();
        }
    }

    /**
     * Takes how many backends have connections of this relay, and how many of these are overloaded.
     */
    private void updateRejectionThreshold(int connectedBackends, int overloadedBackends) {
        boolean fleetOverloaded =
                overloadedBackends > OVERLOADED_FLEET_FRACTION * connectedBackends
                        || fleetUtilization() > OVERLOAD_UTILIZATION;
        rejectionThreshold =
                Math.min(
                        1,
                        Math.max(
                                0,
                                rejectionThreshold
                                        + (fleetOverloaded
                                                ? REJECTION_INCREASE_PER_PERIOD
                                                : -REJECTION_DECREASE_PER_PERIOD)));
    }

    /** The mean load asked of the servers that report; unknown where most do not. */
    private double fleetUtilization() {
        double[] utilizations =
                readyBackends.stream()
                        .filter(this::hasFreshLoadReport)
                        .mapToDouble(BackendState::estimatedUtilization)
                        .toArray();
        boolean enoughReports = utilizations.length * 2 > Math.min(readyBackends.size(), Api.MAX_PROBED_BACKENDS);
        return enoughReports ? Arrays.stream(utilizations).average().orElse(0) : Api.NONE;
    }

    /**
     * Where a request stands among all, 0 the first to go: by worth, then by key, at all nodes
     * alike.
     */
    private double priorityRank(RequestState state) {
        int lowerValueClasses = 0;
        for (ServiceClass other : settings.serviceClasses()) {
            lowerValueClasses += other.value() < state.serviceClass.value() ? 1 : 0;
        }
        return (lowerValueClasses + toUnitInterval(state.clientKey)) / settings.serviceClasses().size();
    }

    /**
     * Only a told delay says so: the mean of the few jammed servers that were heard would condemn
     * all.
     */
    private boolean isOverloaded(BackendState backend) {
        boolean delayed =
                hasFreshDelayReport(backend) && backend.reportedDelayMicros > minMessageLatencyTarget / 3;
        return delayed || hasFreshLoadReport(backend) && backend.estimatedUtilization() > OVERLOAD_UTILIZATION;
    }

    // ---- heavy clients

    private void countArrival(BackendState backend, RequestState state) {
        HeavyHitterTable table = backend.heavyHitterTables[0];
        if (table == null || table.arrivals >= WINDOW_ARRIVALS) {
            System.arraycopy(
                    backend.heavyHitterTables, 0, backend.heavyHitterTables, 1, HEAVY_HITTER_WINDOWS - 1);
            table = new HeavyHitterTable();
            backend.heavyHitterTables[0] = table;
        }
        table.arrivals++;
        table.add(state.clientKey, requestLoad.value > 0 ? state.load / requestLoad.value : 1, random);
    }

    // Moves the heaviest connection off a server whose delay persists. By chance, so that all nodes
    // together
    // move a small share a second: each sees the same jam, and all at once would empty the server.
    private void shedConnection(BackendState backend) {
        RequestState candidate = null;
        for (RequestState state : backend.establishedRequests) {
            boolean belowThreshold = priorityRank(state) < rejectionThreshold;
            if (state.moving) {
                continue;
            }
            if (candidate == null
                    || (belowThreshold != priorityRank(candidate) < rejectionThreshold
                            ? belowThreshold
                            : state.load > candidate.load)) {
                candidate = state;
            }
        }
        if (candidate != null && (isHeavyClient(backend, candidate) || priorityRank(candidate) < rejectionThreshold)) {
            candidate.moving = true;
            actions.moveClient(candidate.request.id());
        }
    }

    /**
     * In a table that is not yet full all are named: a heavy client also counts more than the mean
     * one.
     */
    private boolean isHeavyClient(BackendState backend, RequestState state) {
        double count = 0;
        for (HeavyHitterTable table : backend.heavyHitterTables) {
            for (int i = 0; table != null && i < table.size; i++) {
                count += table.clients[i] == state.clientKey ? table.counters[i] : 0;
            }
        }
        return count > 1;
    }

    // ---- attempts, failures, answers

    /**
     * The aim, longer each time; until the client gives up if it is the last chance, or all wait
     * anyway.
     */
    private long attemptTimeout(RequestState state, long remainingMicros) {
        double latencyTarget = state.serviceClass.latencyTarget();
        boolean unlimited = state.attempts >= settings.maxAttempts() || remainingMicros <= 2 * latencyTarget / 3;
        unlimited |=
                state.serviceClass.idempotency()
                        == Idempotency.NOT_IDEMPOTENT; // an early time-out would only end it
        unlimited |=
                recentAttempts
                        > THROTTLE_ATTEMPTS_PER_ESTABLISHED * recentEstablished
                                + THROTTLE_RESERVE_ATTEMPTS;
        return unlimited ? 0 : (long) Math.min(remainingMicros, latencyTarget * state.attempts);
    }

    /**
     * No effect twice: what may have run is repeated only where and while its repeats are
     * discarded.
     */
    private boolean canRetry(RequestState state) {
        return state.firstUncertainAttemptAt == Api.NONE
                || state.serviceClass.idempotency() == Idempotency.IDEMPOTENT
                || state.serviceClass.idempotency() == Idempotency.DEDUPLICATED
                        && now - state.firstUncertainAttemptAt < state.serviceClass.deduplicationWindow();
    }

    private boolean isInDeduplicationScope(BackendState backend, RequestState state) {
        DeduplicationScope scope =
                state.serviceClass.idempotency() == Idempotency.IDEMPOTENT
                        ? DeduplicationScope.ALL
                        : state.serviceClass.deduplicationScope();
        return state.firstUncertainAttemptAt == Api.NONE
                || scope == DeduplicationScope.ALL
                || backend.listEntry.zone() == state.firstUncertainBackend.listEntry.zone()
                        && (scope == DeduplicationScope.ZONE
                                || backend.listEntry.cell() == state.firstUncertainBackend.listEntry.cell());
    }

    private void rejectOrFail(RequestState state) {
        waitingRequests.remove(state.request.id());
        requests.remove(state.request.id());
        if (state.firstUncertainAttemptAt == Api.NONE
                || state.serviceClass.idempotency() == Idempotency.IDEMPOTENT
                || state.serviceClass.idempotency() == Idempotency.DEDUPLICATED
                        && state.serviceClass.deduplicationScope() == DeduplicationScope.ALL) {
            actions.reject(state.request.id(), settings.maxRetryAfter());
        } else {
            actions.fail(state.request.id());
        }
    }

    /** A failure ejects at once: a node that sees little would not live to see a second one. */
    private void recordFailure(BackendState backend) {
        backend.consecutiveFailures =
                Math.min(
                        backend.consecutiveFailures + (now < backend.ejectedUntil ? 0 : 1),
                        MAX_EJECTION_DOUBLINGS);
        eject(backend);
    }

    private void eject(BackendState backend) {
        backend.ejectedUntil = now + EJECTION_MICROS * (1L << Math.max(0, backend.consecutiveFailures - 1));
    }
}
