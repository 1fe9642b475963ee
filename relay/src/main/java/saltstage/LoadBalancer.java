// Api.java, beside this file, defines the types, events and actions used here: read it first.
package saltstage;

import static saltstage.BalancerState.*;

import java.util.*;
import saltstage.Api.*;
import saltstage.BalancerState.*;

/**
 * Makes all decisions of one relay: which backend gets a request, when a request is retried,
 * rejected or failed, and which established connections are moved.
 *
 * <p>An instance handles one event at a time. It takes the time from the events and random numbers
 * from its seed, so that the same events always lead to the same actions.
 */
public final class LoadBalancer implements Api.Events {
    /**
     * Number of windows in which arrivals are counted, f in the paper: the running window and the
     * one before it (figure 2).
     */
    private static final int HEAVY_HITTER_WINDOWS = 2;

    /**
     * Arrivals in one window, N in the paper: four for each place in a table, so that clients
     * compete for the places.
     */
    private static final int WINDOW_ARRIVALS = 16;

    /**
     * Percentile p of the paper: heavy clients may leave only the fifth of the backends with the
     * longest queueing delay.
     */
    private static final double DIVERSION_QUANTILE = 0.8;

    /**
     * Minimum difference between two queueing delays, in mean set-up latencies: the default of the
     * paper.
     */
    private static final double MIN_DIVERSION_GAP_SETUPS = 1;

    /**
     * Backends drawn to find the least loaded one: enough to miss the busy ones without ranking the
     * whole fleet.
     */
    private static final int DIVERSION_CANDIDATES = 6;

    /** Quantiles are kept for this period because delay reports come each second. */
    private static final long STATISTICS_PERIOD_MICROS = 1_000_000;

    /**
     * Backends over which a group is spread for each backend's worth of connections, so that it
     * fills none of them.
     */
    private static final double GROUP_SPREAD_FACTOR = 1.5;

    /** Number of observed connections that the mean group share weighs as much as. */
    private static final double GROUP_SHARE_PRIOR_CONNECTIONS = 10;

    /**
     * Further candidates in the placement order of a key; half of them are local where crossing
     * zones is expensive.
     */
    private static final int ALTERNATIVE_CANDIDATES = 12;

    /**
     * Fraction of a request's value. A higher cost of crossing zones exceeds the cost of setting up
     * a group, so that requests stay in the zone.
     */
    private static final double MAX_CROSS_ZONE_COST = 0.05;

    /** Fraction used of the load that rule 4 allows; the rest is a margin for random variation. */
    private static final double WARM_UP_SAFETY_FACTOR = 0.5;

    /**
     * Fraction of the capacity estimate retained each second: the capacity of machines changes
     * within minutes.
     */
    private static final double CAPACITY_SHARE_RETENTION_PER_PERIOD = 0.97;

    /** Seconds of observation that a restored capacity share weighs as much as. */
    private static final double LEARNED_CAPACITY_WEIGHT_PERIODS = 5;

    /**
     * Placement tables are rebuilt at most this often in a warm-up period; backends that left
     * meanwhile are skipped.
     */
    private static final int TABLE_REBUILDS_PER_WARM_UP = 4;

    /** Delay reports come each second; older ones no longer count. */
    private static final long MAX_DELAY_REPORT_AGE_MICROS = 2_500_000;

    /**
     * Maximum age of the last delay report of a backend to which this relay has no connection left.
     */
    private static final long MAX_DELAY_REPORT_AGE_UNCONNECTED_MICROS = 10_000_000;

    /** Duration of the first ejection of a failed backend; it doubles with each further failure. */
    private static final long EJECTION_MICROS = 2_000_000;

    /** Limits an ejection to 8 s, since outages last tens of seconds. */
    private static final int MAX_EJECTION_DOUBLINGS = 3;

    /** Outcomes that are failures of the backend: full, timeout, unreachable and reset. */
    private static final Set<Outcome> BACKEND_FAILURES = EnumSet.range(Outcome.FULL, Outcome.RESET);

    /**
     * Attempts allowed for each connection that was established lately, where most attempts fail.
     */
    private static final double THROTTLE_ATTEMPTS_PER_ESTABLISHED = 2;

    /** Attempts allowed in addition, since one relay sees few attempts. */
    private static final double THROTTLE_RESERVE_ATTEMPTS = 5;

    /**
     * Time constant with which recent attempts are forgotten; failure storms last longer than this.
     */
    private static final double THROTTLE_DECAY_MICROS = 10_000_000;

    /** First delay after a failed call to the discovery service. */
    private static final long LIST_RETRY_DELAY_MICROS = 500_000;

    /**
     * Interval between the probes of a backend, shorter than the time after which idle connections
     * are closed. Each probe has a cost, so only backends that may need it are probed more often.
     */
    private static final long PROBE_INTERVAL_MICROS = 3_000_000;

    /**
     * Interval between the probes of a cold, busy or overloaded backend: load reports are refreshed
     * about as often.
     */
    private static final long FREQUENT_PROBE_INTERVAL_MICROS = 1_000_000;

    /** Utilization, load over capacity, from which a backend is probed frequently. */
    private static final double BUSY_UTILIZATION = 0.7;

    /** Utilization from which messages are delayed. */
    private static final double OVERLOAD_UTILIZATION = 0.9;

    /**
     * Utilization down to which an overloaded backend sheds load, since its backlog must be worked
     * off as well.
     */
    private static final double SHED_TARGET_UTILIZATION = 0.8;

    /**
     * Utilization of the fleet below which the clients of an overloaded backend find room
     * elsewhere.
     */
    private static final double FLEET_HEADROOM_UTILIZATION = 0.7;

    /** Interval of the timer at which the backends due for a probe are selected. */
    private static final long PROBE_TICK_MICROS = 250_000;

    /**
     * Weight of the present placed load at each tick: load reports are about a second old when they
     * arrive.
     */
    private static final double PLACED_LOAD_SMOOTHING_PER_TICK = 0.25;

    /** Fraction of the excess load that is moved at each probe, since reports are late. */
    private static final double SHED_FRACTION_PER_PROBE = 0.6;

    /**
     * Fraction of a backend's connections moved each second at a delay that equals the latency
     * target.
     */
    private static final double SHED_FRACTION_PER_SECOND = 0.1;

    /** Maximum multiple of that fraction at longer delays. */
    private static final double MAX_SHED_MULTIPLIER = 4;

    /**
     * Fraction of the backends with connections of this relay above which the whole fleet counts as
     * overloaded.
     */
    private static final double OVERLOADED_FLEET_FRACTION = 0.5;

    /** Increase of the rejected fraction of the demand in each second of an overloaded fleet. */
    private static final double REJECTION_INCREASE_PER_PERIOD = 0.12;

    /**
     * Decrease of the rejected fraction in each other second; slower than the increase because
     * overload clears slowly.
     */
    private static final double REJECTION_DECREASE_PER_PERIOD = 0.06;

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
    private final ProbeSelection probeSelection =
            new ProbeSelection(backend -> warmUpFraction(backend) < 1);

    /**
     * Listed backends to which this relay has started an attempt. Only these are ranked, so that a
     * relay with little traffic ranks few backends.
     */
    private final Set<BackendState> usedBackends = new LinkedHashSet<>();

    private final Map<Long, Integer> connectionsByGroup = new HashMap<>();
    private Map<Long, Double> learnedGroupShares = Map.of();
    private double meanGroupShare;

    /** Load that this relay has placed on warm backends, decayed each period. */
    private double ownLoadOnWarmBackends;

    /**
     * Utilization of the same backends by all relays, multiplied by their weights. The own load
     * divided by it is the part of the capacity of one backend that this relay may use.
     */
    private double utilizationOfWarmBackends;

    private int establishedCount;
    private int localBackendCount;
    private double rejectionThreshold;
    private double recentAttempts;
    private double recentEstablished;
    private long throttleUpdatedAt;

    /** Creates the balancer of one relay, which acts only through the given actions. */
    public LoadBalancer(Settings settings, long seed, Api.Actions actions) {
        this.settings = settings;
        safetyRules = settings.safetyRules();
        this.actions = actions;
        random = new Random(seed);
        requestLoad.value = 1; // the unit of load until a load is reported
        minMessageLatencyTarget =
                settings.serviceClasses().stream()
                        .mapToDouble(ServiceClass::messageLatencyTarget)
                        .min()
                        .orElse(0);
    }

    /** Returns what a successor would need time to learn again. */
    public LearnedState learnedState(long time) {
        List<LearnedBackend> learnedBackends =
                backends.values().stream()
                        .filter(
                                backend ->
                                        backend.setupLatency.hasSample
                                                || time < backend.ejectedUntil)
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
        // The mean describes the smaller groups as well.
        shares.values().removeIf(share -> share <= meanGroupShare);
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

    /** Returns the backends that are ejected at the given time after failures. */
    public Set<String> ejectedBackends(long time) {
        return new TreeSet<>(
                backends.keySet().stream()
                        .filter(id -> time < backends.get(id).ejectedUntil)
                        .toList());
    }

    /**
     * Adopts what a predecessor of this relay has learned; backend processes that no longer run are
     * skipped.
     */
    public void restoreLearnedState(long time, LearnedState learned) {
        setupLatency.set(learned.setupLatency(), learned.setupLatencyDeviation());
        connectionLifetime.set(
                learned.meanConnectionLifetime(), learned.meanConnectionLifetime() / 2);
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
                backend.setupLatency.set(
                        learnedBackend.setupLatency(), learnedBackend.setupLatencyDeviation());
                backend.minSetupLatency = learnedBackend.minSetupLatency();
                backend.consecutiveFailures =
                        learnedBackend.remainingEjection() > 0
                                ? Math.min(
                                        learnedBackend.consecutiveFailures(),
                                        MAX_EJECTION_DOUBLINGS)
                                : 0;
                backend.ejectedUntil =
                        time
                                + Math.min(
                                        learnedBackend.remainingEjection(),
                                        EJECTION_MICROS << MAX_EJECTION_DOUBLINGS);
            }
        }
    }

    @Override
    public void start(long eventTime) {
        now = eventTime;
        if (settings.watchesBackendList()) {
            // Relays that start together must not call together: the discovery service is small.
            actions.setTimer(
                    "list",
                    1 + (long) (random.nextDouble() * safetyRules.discoveryCallInterval() / 8));
        }
        if (settings.probingEnabled()) {
            actions.setTimer("probe", 1 + (long) (random.nextDouble() * PROBE_TICK_MICROS));
        }
    }

    @Override
    public void backendListReceived(
            long eventTime, BackendListKind kind, List<ListedBackend> listedBackends) {
        now = eventTime;
        if (kind == BackendListKind.CALL_FAILED) {
            actions.setTimer(
                    "list",
                    (long)
                            (LIST_RETRY_DELAY_MICROS
                                    * (1 << failedListCalls)
                                    * (0.5 + random.nextDouble())));
            // At most 3 s between calls: over sockets, a change must be known after 6 s.
            failedListCalls = Math.min(failedListCalls + 1, 2);
            return;
        }
        failedListCalls = kind == BackendListKind.CACHED ? failedListCalls : 0;
        listedBackends.forEach(this::updateBackend);
        if (kind != BackendListKind.DELTA) {
            Set<String> listedIds =
                    Set.copyOf(listedBackends.stream().map(ListedBackend::id).toList());
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
                        backendId,
                        new BackendState(
                                unlisted, hash(backendId), HEAVY_HITTER_WINDOWS, eventTime)),
                eventTime);
        // It has been established for long enough that its end says nothing about set-ups.
        state.markEstablished(eventTime - EJECTION_MICROS);
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
                && eventTime - state.stateChangedAt < EJECTION_MICROS) {
            // A connection that was reset this early does not count as established.
            recentEstablished--;
            state.backend.onProbation = true;
            // A failed trial counts as a further consecutive failure.
            state.backend.ejectedUntil =
                    state.probationAttempt ? eventTime : state.backend.ejectedUntil;
        }
        if (outcome == Outcome.SERVED && eventTime - state.stateChangedAt > EJECTION_MICROS) {
            state.backend.consecutiveFailures = 0;
        }
        if (state.established && !state.loadReported && state.request.loadHint() <= 0) {
            estimateLoadFromLifetime(state, eventTime);
            countArrival(state.backend, state);
        }
        // Otherwise light clients would keep going to a backend that accepts all and serves none.
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
        // Without a load hint or report, the lifetime of the connection indicates its load.
        connectionLifetime.add(eventTime - state.stateChangedAt);
        state.load =
                requestLoad.value
                        * (eventTime - state.stateChangedAt)
                        / Math.max(1, connectionLifetime.value);
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
                requestLoad.add(level); // without hints, reported loads define the unit of load
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
                                                    * (backend.placedLoad
                                                            - backend.smoothedPlacedLoad));
            probeSelection.select(backends.values(), now).stream()
                    .filter(backend -> now >= backend.nextProbeAt && backend.isReady())
                    .forEach(this::probeBackend);
        } else if (waitingRequests.containsKey(Long.parseLong(token))) {
            rejectOrFail(waitingRequests.get(Long.parseLong(token)));
        }
    }

    @Override
    public void probeCompleted(
            long eventTime, String backendId, Outcome outcome, double utilization) {
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
        // Each relay moves its part of the excess load: moving one connection a second would take
        // longer than an overload lasts.
        for (double movesDue =
                        SHED_FRACTION_PER_PROBE
                                * excess
                                / utilization
                                * backend.establishedRequests.size();
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
                        || hasFreshLoadReport(backend) && backend.utilization() > BUSY_UTILIZATION;
        backend.nextProbeAt =
                now + (frequent ? FREQUENT_PROBE_INTERVAL_MICROS : PROBE_INTERVAL_MICROS);
        actions.probe(backend.listEntry.id());
    }

    private boolean hasFreshLoadReport(BackendState backend) {
        return now - backend.lastLoadReportAt
                < PROBE_INTERVAL_MICROS + FREQUENT_PROBE_INTERVAL_MICROS;
    }

    private RequestState registerRequest(Request request) {
        long placementKey = request.group() != Api.NONE ? request.group() : request.key();
        long placementHash = mix(placementKey != Api.NONE ? placementKey : random.nextLong());
        RequestState state =
                new RequestState(
                        request,
                        settings.serviceClasses().get(request.serviceClass()),
                        placementHash);
        state.load =
                request.loadHint() > 0 ? requestLoad.add(request.loadHint()) : requestLoad.value;
        requests.put(request.id(), state);
        return state;
    }

    private void updateBackend(ListedBackend entry) {
        BackendState backend = backends.get(entry.id());
        // A restarted process is cold, and what was learned about the old one does not apply to it.
        if (backend != null
                && (entry.health() == Health.GONE
                        || backend.listEntry.startedAt() != entry.startedAt())) {
            removeBackend(backend);
            backend = null;
        }
        if (entry.health() != Health.GONE) {
            placementStale |= backend == null || backend.listEntry.health() != entry.health();
            backends.computeIfAbsent(
                                    entry.id(),
                                    id ->
                                            new BackendState(
                                                    entry, hash(id), HEAVY_HITTER_WINDOWS, now))
                            .listEntry =
                    entry;
        }
    }

    /**
     * Marks the backend as not listed: placement tables are rebuilt later and must not lead to a
     * backend that has left (rule 3).
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

    /** Starts the next attempt of the request, lets it wait for a backend, or answers it. */
    private void dispatch(RequestState state) {
        waitingRequests.remove(state.request.id());
        long remainingMicros = state.request.deadline() - now;
        double retention = Math.exp((throttleUpdatedAt - now) / THROTTLE_DECAY_MICROS);
        recentAttempts *= retention;
        recentEstablished *= retention;
        throttleUpdatedAt = now;
        // If all backends fail (shared store, resets), start only twice as many as succeeded.
        boolean throttled =
                random.nextDouble() * recentAttempts
                        < recentAttempts
                                - THROTTLE_ATTEMPTS_PER_ESTABLISHED * recentEstablished
                                - THROTTLE_RESERVE_ATTEMPTS;
        // An overloaded fleet serves nobody: all relays reject requests of the lowest value early.
        boolean belowThreshold =
                state.attempts == 0
                        && priorityRank(state) < rejectionThreshold
                        && !state.request.midFlow();
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
            // No backend is ready, but one may be listed before the client gives up.
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
            backend.onProbation = false; // the last trial stayed established
            backend.consecutiveFailures = 0;
        } else if (backend.consecutiveFailures > 0) {
            eject(backend); // One trial at a time: no other request goes there until it has ended.
        }
        actions.sendAttempt(
                state.request.id(), backend.listEntry.id(), attemptTimeout(state, remainingMicros));
    }

    /**
     * Returns over how many backends the group is spread, by its share of the established
     * connections: a group too big for one backend would overload its default.
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

    /**
     * Returns the default backend of the request or the next suitable one in the fixed order of its
     * key. A heavy client may be diverted from it. Where all candidates are busy, the least
     * utilized one is returned, but no overloaded one: one more request would not be served there
     * and would slow the others.
     */
    private BackendState chooseBackend(RequestState state) {
        BackendState first = null;
        BackendState best = null;
        int spread = groupSpread(state);
        int start = random.nextInt(spread);
        for (int i = 0; i < spread + ALTERNATIVE_CANDIDATES; i++) {
            BackendState next =
                    candidate(
                            state.placementHash,
                            i < spread ? (start + i) % spread : i,
                            i < spread + ALTERNATIVE_CANDIDATES / 2);
            boolean eligible =
                    next != null
                            && isUsable(next, state)
                            && now >= next.ejectedUntil
                            && canAdmit(next, state);
            if (!eligible) {
                continue;
            }
            next.lastConsideredAt = now;
            if (first == null) {
                first = next;
                countArrival(next, state);
                BackendState other =
                        state.request.midFlow() || state.attempts > 0
                                ? null
                                : diversionTarget(state, next);
                if (other != null) {
                    return other;
                }
            }
            if (state.request.midFlow()
                    || !isOverloaded(next)
                            && (!hasFreshLoadReport(next)
                                    || next.utilization() <= BUSY_UTILIZATION)) {
                return next;
            }
            best =
                    !isOverloaded(next) && (best == null || next.utilization() < best.utilization())
                            ? next
                            : best;
        }
        return best != null ? best : fallbackBackend(state, first != null);
    }

    /**
     * Returns a backend for a request that none of its candidates can take: a cold one with room,
     * or else any backend but those that reset all connections.
     */
    private BackendState fallbackBackend(RequestState state, boolean coldOnly) {
        return backends.values().stream()
                .filter(
                        backend ->
                                isUsable(backend, state)
                                        && (warmUpFraction(backend) < 1
                                                ? now >= backend.ejectedUntil
                                                        && state.load <= warmUpBudget(backend)
                                                : !coldOnly
                                                        && (!backend.onProbation
                                                                || now >= backend.ejectedUntil)))
                .min(Comparator.comparingLong(backend -> backend.ejectedUntil))
                .orElse(null);
    }

    /**
     * Returns the backend at a position in the fixed order of a key, which is the same at every
     * relay with the same list.
     */
    private BackendState candidate(long placementHash, int position, boolean local) {
        if (!local && globalPlacement == null) {
            globalPlacement = PlacementTable.of(readyBackends, this::weight);
        }
        return (local ? localPlacement : globalPlacement)
                .backendAt(position == 0 ? placementHash : mix(placementHash + position));
    }

    private boolean isUsable(BackendState backend, RequestState state) {
        return backend.listed
                && backend.isReady()
                && !state.triedBackends.contains(backend)
                && isInDeduplicationScope(backend, state);
    }

    /**
     * Returns whether the backend may take the request. A cold backend takes the keys below a
     * threshold that rises with its warm-up, so that all relays agree, within its load budget.
     */
    private boolean canAdmit(BackendState backend, RequestState state) {
        return warmUpFraction(backend) >= 1
                || toUnitInterval(state.placementHash ^ backend.hash) < warmUpFraction(backend)
                        && state.load <= warmUpBudget(backend);
    }

    /**
     * Returns this relay's remaining share of the load that rule 4 allows: one half accrues over
     * time, the other is available at once where a load report shows free capacity.
     */
    private double warmUpBudget(BackendState backend) {
        if (backend.warmUpBudgetUpdatedAt == 0) {
            // Relays start at a random part of one connection, so that few spend at the same time.
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
                        backend.warmUpBudget + rate * (now - backend.warmUpBudgetUpdatedAt),
                        requestLoad.value);
        backend.warmUpBudgetUpdatedAt = now;
        // All relays read the same report and place load after it.
        double estimatedUtilization =
                backend.reportedUtilization
                        + WARM_UP_SAFETY_FACTOR
                                * (backend.placedLoad - backend.placedLoadAtReport)
                                / capacityShare(backend);
        return backend.warmUpBudget
                + (hasFreshLoadReport(backend)
                                && estimatedUtilization
                                        < SHED_TARGET_UTILIZATION * warmUpFraction(backend)
                        ? rate * safetyRules.warmUpBudgetWindow()
                        : 0);
    }

    /**
     * Returns this relay's share of the capacity of a warm backend: as load reports show it, but at
     * least half of an even share of the tenant quotas.
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
        // It has run at least since it was first seen, whatever the clocks say about its start.
        double age =
                (now - Math.min(backend.listEntry.startedAt(), backend.firstSeenAt))
                        / Math.max(1.0, safetyRules.warmUpPeriod());
        return backend.listEntry.startedAt() == 0 || age >= 1
                ? 1
                : safetyRules.initialWarmUpFraction()
                        + (1 - safetyRules.initialWarmUpFraction()) * age;
    }

    /**
     * Returns the backend to which the request should be diverted, or null. By the paper's test,
     * the client must be heavy, the delay of its default above percentile p, and the gap worth a
     * new set-up.
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
                    backend != defaultBackend
                            && isUsable(backend, state)
                            && now >= backend.ejectedUntil
                            && warmUpFraction(backend) >= 1;
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
     * Returns whether the last delay report still counts. Without a connection no further reports
     * come, so the last one is kept for longer; otherwise the relay would soon send the next
     * request there.
     */
    private boolean hasFreshDelayReport(BackendState backend) {
        return now - backend.lastDelayReportAt
                < (!backend.establishedRequests.isEmpty()
                        ? MAX_DELAY_REPORT_AGE_MICROS
                        : MAX_DELAY_REPORT_AGE_UNCONNECTED_MICROS);
    }

    /**
     * Returns W of the paper: the reported delay, else the recent set-up latency above the lowest
     * one seen, else the mean of the other backends.
     */
    private double queueingDelay(BackendState backend) {
        return hasFreshDelayReport(backend)
                ? backend.reportedDelayMicros
                : backend.setupLatency.hasSample
                        ? Math.max(0, backend.setupLatency.value - backend.minSetupLatency)
                        : meanQueueingDelay;
    }

    /** Updates the percentile and the mean of W and the group sizes, once per period. */
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
                sameGroupPairs +=
                        connectionsByGroup.merge(state.placementHash, 1, Integer::sum) - 1;
            }
            establishedCount += backend.establishedRequests.size();
            totalPlacedLoad += backend.placedLoad;
            connectedBackends += backend.establishedRequests.isEmpty() ? 0 : 1;
            overloadedBackends +=
                    !backend.establishedRequests.isEmpty() && isOverloaded(backend) ? 1 : 0;
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

    /** Updates the group shares from the number of pairs of connections of the same group. */
    private void updateGroupShares(double sameGroupPairs) {
        // A few connections say less than the restored shares.
        if (learnedGroupShares.isEmpty() || establishedCount >= GROUP_SHARE_PRIOR_CONNECTIONS) {
            // The expected share of the group of a connection drawn at random.
            meanGroupShare =
                    2 * sameGroupPairs / Math.max(1, establishedCount * (establishedCount - 1));
            learnedGroupShares =
                    establishedCount > GROUP_SHARE_PRIOR_CONNECTIONS * GROUP_SHARE_PRIOR_CONNECTIONS
                            ? Map.of()
                            : learnedGroupShares;
        }
    }

    /** Decays the capacity estimates and updates them from recent load reports. */
    private void updateCapacityEstimates() {
        ownLoadOnWarmBackends *= CAPACITY_SHARE_RETENTION_PER_PERIOD;
        utilizationOfWarmBackends *= CAPACITY_SHARE_RETENTION_PER_PERIOD;
        // The first request comes before the placement tables are built, so all backends are used.
        for (BackendState backend : backends.values()) {
            double sampleWeight =
                    backend.isReady()
                                    && hasFreshLoadReport(backend)
                                    && warmUpFraction(backend) >= 1
                                    && totalPlacedLoad > 0
                            ? 1
                            : 0;
            ownLoadOnWarmBackends += sampleWeight * backend.placedLoadAtReport;
            utilizationOfWarmBackends +=
                    sampleWeight * backend.reportedUtilization * weight(backend);
            backend.estimatedCapacity = capacityShare(backend) * settings.relayCount();
        }
    }

    /** Raises the rejection threshold while the fleet is overloaded and lowers it otherwise. */
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

    /**
     * Returns the mean utilization of the backends with recent load reports, or {@link Api#NONE} if
     * fewer than half have one.
     */
    private double fleetUtilization() {
        double[] utilizations =
                readyBackends.stream()
                        .filter(this::hasFreshLoadReport)
                        .mapToDouble(BackendState::utilization)
                        .toArray();
        boolean enoughReports =
                utilizations.length * 2 > Math.min(readyBackends.size(), Api.MAX_PROBED_BACKENDS);
        return enoughReports ? Arrays.stream(utilizations).average().orElse(0) : Api.NONE;
    }

    /**
     * Returns the rank of a request by value and then by key, from 0 for the first to be rejected
     * to 1. It is the same at all relays.
     */
    private double priorityRank(RequestState state) {
        int lowerValueClasses = 0;
        for (ServiceClass other : settings.serviceClasses()) {
            lowerValueClasses += other.value() < state.serviceClass.value() ? 1 : 0;
        }
        return (lowerValueClasses + toUnitInterval(state.clientKey))
                / settings.serviceClasses().size();
    }

    /**
     * Returns whether a delay or load report of this backend itself shows an overload: a mean over
     * the few overloaded backends that reported would condemn all.
     */
    private boolean isOverloaded(BackendState backend) {
        boolean delayed =
                hasFreshDelayReport(backend)
                        && backend.reportedDelayMicros > minMessageLatencyTarget / 3;
        return delayed
                || hasFreshLoadReport(backend) && backend.utilization() > OVERLOAD_UTILIZATION;
    }

    private void countArrival(BackendState backend, RequestState state) {
        HeavyHitterTable table = backend.heavyHitterTables[0];
        if (table == null || table.arrivals >= WINDOW_ARRIVALS) {
            System.arraycopy(
                    backend.heavyHitterTables,
                    0,
                    backend.heavyHitterTables,
                    1,
                    HEAVY_HITTER_WINDOWS - 1);
            table = new HeavyHitterTable();
            backend.heavyHitterTables[0] = table;
        }
        table.arrivals++;
        table.add(
                state.clientKey,
                requestLoad.value > 0 ? state.load / requestLoad.value : 1,
                random);
    }

    /**
     * Moves the heaviest connection off an overloaded backend, preferring those of low value.
     * Callers do so at random, so that all relays together move a small share a second: each sees
     * the same overload, and all at once would empty the backend.
     */
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
        if (candidate != null
                && (isHeavyClient(backend, candidate)
                        || priorityRank(candidate) < rejectionThreshold)) {
            candidate.moving = true;
            actions.moveClient(candidate.request.id());
        }
    }

    /**
     * Returns whether the client is heavy. A table that is not yet full contains every client, so a
     * heavy client must also count more than the mean one.
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

    /**
     * Returns the latency target multiplied by the number of attempts, or 0 (until the client gives
     * up) if this is the last attempt or most attempts wait anyway.
     */
    private long attemptTimeout(RequestState state, long remainingMicros) {
        double latencyTarget = state.serviceClass.latencyTarget();
        boolean unlimited =
                state.attempts >= settings.maxAttempts()
                        || remainingMicros <= 2 * latencyTarget / 3;
        unlimited |=
                state.serviceClass.idempotency()
                        == Idempotency.NOT_IDEMPOTENT; // a timeout would only fail it early
        unlimited |=
                recentAttempts
                        > THROTTLE_ATTEMPTS_PER_ESTABLISHED * recentEstablished
                                + THROTTLE_RESERVE_ATTEMPTS;
        return unlimited ? 0 : (long) Math.min(remainingMicros, latencyTarget * state.attempts);
    }

    /**
     * Returns whether a repeat cannot have an effect twice: a request that may have run is retried
     * only where and while its repeats are discarded.
     */
    private boolean canRetry(RequestState state) {
        return state.firstUncertainAttemptAt == Api.NONE
                || state.serviceClass.idempotency() == Idempotency.IDEMPOTENT
                || state.serviceClass.idempotency() == Idempotency.DEDUPLICATED
                        && now - state.firstUncertainAttemptAt
                                < state.serviceClass.deduplicationWindow();
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
                                || backend.listEntry.cell()
                                        == state.firstUncertainBackend.listEntry.cell());
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

    /** Ejects the backend at once: a relay with little traffic might not see a second failure. */
    private void recordFailure(BackendState backend) {
        backend.consecutiveFailures =
                Math.min(
                        backend.consecutiveFailures + (now < backend.ejectedUntil ? 0 : 1),
                        MAX_EJECTION_DOUBLINGS);
        eject(backend);
    }

    private void eject(BackendState backend) {
        backend.ejectedUntil =
                now + EJECTION_MICROS * (1L << Math.max(0, backend.consecutiveFailures - 1));
    }
}
