package saltstage;

import java.util.List;
import java.util.Map;

/**
 * What {@link LoadBalancer} speaks: its types, the events a host program calls in and the actions
 * it gets back.
 *
 * <p>All times are microseconds on the host's own clock; a number that is absent is {@link #NONE}.
 */
public final class Api {
    /** Stands for a key, group, hint or other number that was not given. */
    public static final long NONE = -1;

    /** How many servers a node probes at most, however many are listed. */
    public static final int MAX_PROBED_BACKENDS = 128;

    private Api() {}

    /** How safe it is to repeat a request. */
    public enum Idempotency {
        IDEMPOTENT,
        DEDUPLICATED,
        NOT_IDEMPOTENT
    }

    /** Which servers discard the repeats of a keyed request. */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }

    /** What the server list says of a server. */
    public enum Health {
        READY,
        DRAINING,
        GONE
    }

    /** The kind of a list event; REFUSED means that a call failed and the old list stands. */
    public enum BackendListKind {
        DELTA,
        FULL,
        CACHED,
        CALL_FAILED
    }

    /** How an attempt ended. */
    public enum Outcome {
        SERVED,
        ERROR,
        FULL,
        TIMEOUT,
        UNREACHABLE,
        RESET,
        CANCELLED,
        MOOT;

        /** Whether this outcome proves that the attempt had no effect. */
        public boolean hasNoEffect() {
            return this == FULL || this == UNREACHABLE || this == MOOT;
        }
    }

    /**
     * What is told of an open connection: its load (work a second) or the delay of messages (ms).
     */
    public enum ConnectionReport {
        LOAD,
        DELAY
    }

    /** One class of request. */
    public record ServiceClass(
            long latencyTarget,
            long clientTimeout,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            long deduplicationWindow,
            double value,
            long messageLatencyTarget) {}

    /** What the four rules ask, in figures. */
    public record SafetyRules(
            long drainGracePeriod,
            double initialWarmUpFraction,
            long warmUpPeriod,
            double maxWarmUpLoadMultiple,
            long warmUpBudgetWindow,
            long discoveryCallInterval) {}

    /** What a node is told once, at its start. */
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

    /** A server as the list has it; startedAt is 0 for long ago. */
    public record ListedBackend(
            String id, int zone, int cell, Health health, double weight, long startedAt) {}

    /** A client's request; again: it came back after a break or a move. */
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
     * What a node has learnt of a server, as plain data: set-up latencies and how much longer it is
     * to be left alone, in microseconds; startedAt tells which process of the server it was learnt
     * from.
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
     * What a node has learnt; part is what it may send of what a warm server of weight 1 can do, as
     * load; shares are parts of the open connections by group, the largest groups only.
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

    /** The events of one node, in the order of their arrival. */
    public interface Events {
        /** The node starts; it has no servers yet. */
        void start(long now);

        /** The list service says something; servers is empty for REFUSED. */
        void backendListReceived(long now, BackendListKind kind, List<ListedBackend> listedBackends);

        /** A request has come in: it is owed one final answer. */
        void requestReceived(long now, Request request);

        /** A connection was already open through this node at its start. */
        void connectionRestored(long now, Request request, String backendId);

        /** The connection stands; time-out and deadline no longer run. */
        void connectionEstablished(long now, long id, long latency);

        /** An attempt ended; over: the request needs no further answer. */
        void attemptEnded(long now, long id, Outcome outcome, boolean over);

        /** The client has left: nothing more is owed. */
        void clientLeft(long now, long id);

        /** Something is told of an open connection. */
        void connectionReported(long now, long id, ConnectionReport kind, double level);

        /** A probe has come back: SERVED with the load asked of the server over what it can do. */
        void probeCompleted(long now, String backendId, Outcome outcome, double utilization);

        /** A timer set through {@link Actions#setTimer} is due. */
        void timerFired(long now, String token);
    }

    /** What a node does; called from within an event. */
    public interface Actions {
        /** Starts the next attempt; timeout 0: until the client gives up. */
        void sendAttempt(long id, String backendId, long timeout);

        /** Final answer: rejected, a retry is harmless; retryAfter 0: no advice. */
        void reject(long id, long retryAfter);

        /** Final answer: failed, nothing is promised. */
        void fail(long id);

        /** Ends an open connection politely; its client comes again. */
        void moveClient(long id);

        /** Asks for a timer event. */
        void setTimer(String token, long delay);

        /** Asks a server for its load. */
        void probe(String backendId);

        /** Subscribes to the changes of the server list. */
        void watchBackendList();
    }
}
