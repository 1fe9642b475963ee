package saltstage;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Stream;
import saltstage.Api.BackendListKind;
import saltstage.Api.ConnectionReport;
import saltstage.Api.DeduplicationScope;
import saltstage.Api.Health;
import saltstage.Api.Idempotency;
import saltstage.Api.ListedBackend;
import saltstage.Api.Outcome;
import saltstage.Api.Request;
import saltstage.Api.SafetyRules;
import saltstage.Api.ServiceClass;
import saltstage.Api.Settings;

/** Drives one load balancer through its Api and records its actions. */
final class LoadBalancerHarness implements Api.Actions {
    static final long SECOND_MICROS = 1_000_000;
    final List<String> actions = new ArrayList<>();
    final TreeMap<Long, String> backendByRequest = new TreeMap<>();
    long now = 100 * SECOND_MICROS;
    long lastAttemptTimeout;
    LoadBalancer loadBalancer;
    private long lastRequestId;

    static ServiceClass idempotentClass() {
        return new ServiceClass(
                300_000,
                1_200_000,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                5 * SECOND_MICROS,
                5,
                100_000);
    }

    static ServiceClass lowValueClass() {
        return new ServiceClass(
                300_000,
                1_200_000,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                5 * SECOND_MICROS,
                1,
                100_000);
    }

    static ServiceClass deduplicatedClass(DeduplicationScope scope) {
        return new ServiceClass(
                300_000, 1_200_000, Idempotency.DEDUPLICATED, scope, SECOND_MICROS / 2, 5, 100_000);
    }

    static ServiceClass notIdempotentClass() {
        return new ServiceClass(
                300_000,
                1_200_000,
                Idempotency.NOT_IDEMPOTENT,
                DeduplicationScope.ALL,
                5 * SECOND_MICROS,
                5,
                100_000);
    }

    static SafetyRules safetyRules() {
        return new SafetyRules(
                SECOND_MICROS,
                0.25,
                10 * SECOND_MICROS,
                2.5,
                2 * SECOND_MICROS,
                10 * SECOND_MICROS);
    }

    static Settings settings(
            double crossZoneCost, boolean watchesBackendList, ServiceClass... classes) {
        return new Settings(
                40,
                0,
                Arrays.asList(classes),
                List.of(100L, 100L),
                0.2,
                6,
                250_000,
                watchesBackendList,
                true,
                crossZoneCost,
                0,
                5000,
                false,
                safetyRules());
    }

    LoadBalancerHarness(Settings settings, long seed) {
        loadBalancer = new LoadBalancer(settings, seed, this);
        loadBalancer.start(now);
    }

    static LoadBalancerHarness of(ServiceClass... classes) {
        return new LoadBalancerHarness(settings(0.02, false, classes), 1);
    }

    static ListedBackend backend(String id, int zone) {
        return new ListedBackend(id, zone, zone * 10 + id.hashCode() % 2, Health.READY, 1, 0);
    }

    static ListedBackend withHealth(ListedBackend backend, Health health) {
        return new ListedBackend(
                backend.id(),
                backend.zone(),
                backend.cell(),
                health,
                backend.weight(),
                backend.startedAt());
    }

    static ListedBackend[] backends(int count) {
        return Stream.iterate(0, i -> i + 1)
                .limit(count)
                .map(i -> backend("s" + i, i % 2))
                .toArray(ListedBackend[]::new);
    }

    LoadBalancerHarness receiveList(BackendListKind kind, ListedBackend... listedBackends) {
        loadBalancer.backendListReceived(now, kind, List.of(listedBackends));
        return this;
    }

    long request(int serviceClass, long key, long group, long loadHint) {
        long id = ++lastRequestId;
        loadBalancer.requestReceived(
                now,
                new Request(
                        id, serviceClass, 0, key, group, loadHint, now + 1_200_000, false, false));
        return id;
    }

    long request(long key) {
        return request(0, key, Api.NONE, Api.NONE);
    }

    void establish(long id, long latency) {
        loadBalancer.connectionEstablished(now, id, latency);
    }

    void endAttempt(long id, Outcome outcome) {
        loadBalancer.attemptEnded(now, id, outcome, false);
    }

    /** Reports a message delay of a backend for a connection that is established there. */
    void reportDelay(String backendId, double delayMillis) {
        loadBalancer.connectionReported(
                now, restoreConnection(backendId, Api.NONE), ConnectionReport.DELAY, delayMillis);
    }

    /** Restores a connection that is already established at the backend, and returns its id. */
    long restoreConnection(String backendId, long loadHint) {
        long id = ++lastRequestId;
        loadBalancer.connectionRestored(
                now,
                new Request(id, 0, 0, id + 1_000_000, Api.NONE, loadHint, now, false, false),
                backendId);
        return id;
    }

    /**
     * Returns the backend of a new request with this key, or null. The request is established with
     * the usual latency and served at once.
     */
    String route(long key) {
        return route(0, key, Api.NONE, Api.NONE);
    }

    String route(int serviceClass, long key, long group, long loadHint) {
        long id = request(serviceClass, key, group, loadHint);
        String backendId = backendByRequest.get(id);
        if (backendId != null) {
            establish(id, 10_000);
            loadBalancer.attemptEnded(now, id, Outcome.SERVED, true);
        }
        return backendId;
    }

    long attemptCount() {
        return actions.stream().filter(a -> a.startsWith("send")).count();
    }

    String lastAction() {
        return actions.get(actions.size() - 1);
    }

    @Override
    public void sendAttempt(long id, String backendId, long timeout) {
        backendByRequest.put(id, backendId);
        lastAttemptTimeout = timeout;
        actions.add("send " + id + " " + backendId);
    }

    @Override
    public void reject(long id, long retryAfter) {
        actions.add("reject " + id);
    }

    @Override
    public void fail(long id) {
        actions.add("fail " + id);
    }

    @Override
    public void moveClient(long id) {
        actions.add("move " + id);
    }

    @Override
    public void setTimer(String token, long delay) {
        actions.add("timer " + token + " " + delay);
    }

    @Override
    public void probe(String backendId) {
        actions.add("probe " + backendId);
    }

    @Override
    public void watchBackendList() {
        actions.add("watch");
    }
}
