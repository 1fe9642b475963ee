package saltstage;

import java.util.List;
import java.util.Map;

/**
 * The interface of {@link LoadBalancer}: its data types, the events that the surrounding program
 * passes to it and the actions that it requests in return.
 *
 * <p>All times and durations are in microseconds on the clock of the surrounding program. A number
 * that is absent is {@link #NONE}.
 */
public final class Api {
    /** The value of a key, group, hint or other number that was not given. */
    public static final long NONE = -1;

    /** Maximum number of backends that a relay probes, however many are listed. */
    public static final int MAX_PROBED_BACKENDS = 128;

    private Api() {}

    /** Whether a request may be repeated. */
    public enum Idempotency {
        /** A repeat is always harmless. */
        IDEMPOTENT,

        /** Backends discard repeats within the deduplication scope and window of the class. */
        DEDUPLICATED,

        /** A repeat may have an effect a second time. */
        NOT_IDEMPOTENT
    }

    /** The backends that discard the repeats of a deduplicated request. */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }

    /** The state of a backend in the backend list. */
    public enum Health {
        READY,
        DRAINING,
        GONE
    }

    /** The kind of a backend list event. */
    public enum BackendListKind {
        /** Only the backends that changed. */
        DELTA,

        /** All backends; the ones that are not listed have left. */
        FULL,

        /** All backends, as an earlier process persisted them. */
        CACHED,

        /** The call to the discovery service failed; the previous list remains valid. */
        CALL_FAILED
    }

    /** How an attempt ended. */
    public enum Outcome {
        SERVED,
        ERROR,

        /** The backend rejected the request because it has no room. */
        FULL,
        TIMEOUT,
        UNREACHABLE,
        RESET,
        CANCELLED,

        /** The attempt became unnecessary before it had any effect. */
        MOOT;

        /** Returns whether this outcome proves that the attempt had no effect. */
        public boolean hasNoEffect() {
            return this == FULL || this == UNREACHABLE || this == MOOT;
        }
    }

    /** What a report about an established connection contains. */
    public enum ConnectionReport {
        /** The load of the connection, in units of work a second. */
        LOAD,

        /** The delay of its messages, in milliseconds. */
        DELAY
    }

    /**
     * A class of requests with the same requirements.
     *
     * @param latencyTarget microseconds within which a connection should be established
     * @param clientTimeout microseconds after which the client gives up
     * @param idempotency whether requests of this class may be repeated
     * @param deduplicationScope the backends that discard repeats of deduplicated requests
     * @param deduplicationWindow microseconds for which backends discard repeats
     * @param value what serving one request is worth, relative to the other classes; requests of
     *     the lowest value are rejected first
     * @param messageLatencyTarget microseconds within which a message on an established connection
     *     should be delivered
     */
    public record ServiceClass(
            long latencyTarget,
            long clientTimeout,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            long deduplicationWindow,
            double value,
            long messageLatencyTarget) {}

    /**
     * The parameters of the four safety rules.
     *
     * @param drainGracePeriod microseconds for which requests may still reach a backend after it
     *     starts to drain
     * @param initialWarmUpFraction fraction of its full load that a backend can take when it starts
     * @param warmUpPeriod microseconds from the start of a backend until it can take its full load
     * @param maxWarmUpLoadMultiple how many times the present capacity of a cold backend all relays
     *     together may place on it per warm-up period
     * @param warmUpBudgetWindow microseconds over which the load placed on a cold backend is
     *     measured
     * @param discoveryCallInterval microseconds between the calls that the discovery service
     *     expects of one relay
     */
    public record SafetyRules(
            long drainGracePeriod,
            double initialWarmUpFraction,
            long warmUpPeriod,
            double maxWarmUpLoadMultiple,
            long warmUpBudgetWindow,
            long discoveryCallInterval) {}

    /**
     * The settings of a relay, fixed at its start.
     *
     * @param relayCount number of relays that share the backends
     * @param zone the zone of this relay
     * @param serviceClasses the service classes; a request refers to one by its index
     * @param tenantQuotas connections of each tenant in all relays together, by index of the tenant
     * @param overQuotaValue value of a request beyond the quota of its tenant, as a fraction of the
     *     value of its class
     * @param maxAttempts maximum number of attempts for one request
     * @param connectTimeout microseconds after which a connection attempt is given up
     * @param watchesBackendList whether the relay has to subscribe to the backend list; otherwise
     *     it receives changes without asking
     * @param comparableWeights whether the weights of backends can be compared with each other;
     *     otherwise all count as 1
     * @param crossZoneCost cost of sending a request to another zone, as a fraction of its value
     * @param maxRetryAfter microseconds of the retry advice that a rejected client gets; 0 for none
     * @param timerResolution granularity of timers in microseconds
     * @param probingEnabled whether the relay probes the load of backends
     * @param safetyRules the parameters of the safety rules
     */
    public record Settings(
            int relayCount,
            int zone,
            List<ServiceClass> serviceClasses,
            List<Long> tenantQuotas,
            double overQuotaValue,
            int maxAttempts,
            long connectTimeout,
            boolean watchesBackendList,
            boolean comparableWeights,
            double crossZoneCost,
            long maxRetryAfter,
            long timerResolution,
            boolean probingEnabled,
            SafetyRules safetyRules) {}

    /**
     * An entry of the backend list.
     *
     * @param id the name of the backend
     * @param zone the zone of the backend
     * @param cell the cell of the backend within its zone
     * @param health the state of the backend
     * @param weight capacity relative to the other backends
     * @param startedAt time of the start of its process in microseconds; 0 for long ago
     */
    public record ListedBackend(
            String id, int zone, int cell, Health health, double weight, long startedAt) {}

    /**
     * A request of a client.
     *
     * @param id identifies the request within this relay
     * @param serviceClass index of the service class
     * @param tenant index of the tenant
     * @param key identifies the client, or {@link #NONE}
     * @param group identifies the clients that should reach the same backend, or {@link #NONE}
     * @param loadHint expected load in units of work a second, or {@link #NONE}
     * @param deadline time in microseconds at which the client gives up
     * @param reconnecting whether the client reconnects after a broken connection or a move
     * @param midFlow whether the request continues a flow whose state is at its default backend
     */
    public record Request(
            long id,
            int serviceClass,
            int tenant,
            long key,
            long group,
            long loadHint,
            long deadline,
            boolean reconnecting,
            boolean midFlow) {}

    /**
     * What a relay has learned about one process of a backend.
     *
     * @param id the name of the backend
     * @param startedAt start of the process in microseconds, which identifies it
     * @param setupLatency mean set-up latency in microseconds
     * @param setupLatencyDeviation mean deviation of the set-up latency in microseconds
     * @param minSetupLatency lowest set-up latency in microseconds
     * @param consecutiveFailures failures since the last success
     * @param remainingEjection microseconds for which the backend remains ejected
     */
    public record LearnedBackend(
            String id,
            long startedAt,
            double setupLatency,
            double setupLatencyDeviation,
            double minSetupLatency,
            int consecutiveFailures,
            long remainingEjection) {}

    /**
     * What a relay has learned about its traffic and its backends.
     *
     * @param setupLatency mean set-up latency over all backends in microseconds
     * @param setupLatencyDeviation mean deviation of the set-up latency in microseconds
     * @param meanRequestLoad mean load of a request in units of work a second; 0 if unknown
     * @param meanConnectionLifetime mean lifetime of a connection in microseconds; 0 if unknown
     * @param meanGroupShare fraction of the established connections that belong to the group of a
     *     connection, averaged over the connections
     * @param capacityShare the part of the capacity of a warm backend of weight 1 that this relay
     *     may use, in units of load; 0 if unknown
     * @param backends what was learned about each backend
     * @param groupShares fraction of the established connections by group, for the largest groups
     */
    public record LearnedState(
            double setupLatency,
            double setupLatencyDeviation,
            double meanRequestLoad,
            double meanConnectionLifetime,
            double meanGroupShare,
            double capacityShare,
            List<LearnedBackend> backends,
            Map<Long, Double> groupShares) {}

    /** The events of one relay, in the order of their arrival. */
    public interface Events {
        /** The relay starts; it knows no backends yet. */
        void start(long now);

        /** The discovery service has answered; the list is empty for {@code CALL_FAILED}. */
        void backendListReceived(
                long now, BackendListKind kind, List<ListedBackend> listedBackends);

        /** A request has arrived; it must get exactly one final answer. */
        void requestReceived(long now, Request request);

        /** A connection through this relay was already established at its start. */
        void connectionRestored(long now, Request request, String backendId);

        /** The connection is established; its timeout and deadline no longer apply. */
        void connectionEstablished(long now, long id, long latency);

        /** An attempt has ended; if {@code over}, the request needs no further answer. */
        void attemptEnded(long now, long id, Outcome outcome, boolean over);

        /** The client has left and needs no answer. */
        void clientLeft(long now, long id);

        /** A load or delay report about an established connection has arrived. */
        void connectionReported(long now, long id, ConnectionReport kind, double level);

        /**
         * A probe has ended.
         *
         * @param now the time in microseconds
         * @param backendId the probed backend
         * @param outcome {@code SERVED} if the backend has answered
         * @param utilization the load asked of the backend divided by its capacity, or {@link
         *     #NONE}
         */
        void probeCompleted(long now, String backendId, Outcome outcome, double utilization);

        /** A timer set through {@link Actions#setTimer} is due. */
        void timerFired(long now, String token);
    }

    /** The actions of a relay, requested while it handles an event. */
    public interface Actions {
        /** Starts the next attempt; with timeout 0 it lasts until the client gives up. */
        void sendAttempt(long id, String backendId, long timeout);

        /**
         * Rejects the request as its final answer: a retry is harmless; retryAfter 0 gives no
         * advice.
         */
        void reject(long id, long retryAfter);

        /** Fails the request as its final answer: its effect is unknown. */
        void fail(long id);

        /** Tells the client of an established connection to reconnect elsewhere. */
        void moveClient(long id);

        /** Requests a timer event after the delay. */
        void setTimer(String token, long delay);

        /** Asks a backend for its load. */
        void probe(String backendId);

        /** Subscribes to changes of the backend list. */
        void watchBackendList();
    }
}
