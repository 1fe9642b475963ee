package saltstage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import saltstage.Api.Health;
import saltstage.Api.ListedBackend;
import saltstage.Api.Request;
import saltstage.Api.ServiceClass;

/** The state of a relay's decisions, as plain data; {@link LoadBalancer} makes the decisions. */
final class BalancerState {
    /** Weight of a new sample in a running mean. */
    private static final double NEW_SAMPLE_WEIGHT = 0.2;

    /**
     * Places in a table, d in the paper: a relay sees few connections of a backend, and a longer
     * table would mark all clients as heavy.
     */
    private static final int MAX_TABLE_CLIENTS = 4;

    private BalancerState() {}

    /** An exponentially weighted mean and mean deviation, which start at the first sample. */
    static final class RunningMean {
        double value;
        double deviation;
        boolean hasSample;

        void set(double mean, double meanDeviation) {
            value = mean;
            deviation = meanDeviation;
            hasSample = mean > 0;
        }

        double add(double sample) {
            double absoluteError = Math.abs(sample - value);
            deviation =
                    hasSample
                            ? deviation + NEW_SAMPLE_WEIGHT * (absoluteError - deviation)
                            : sample / 2;
            value = hasSample ? value + NEW_SAMPLE_WEIGHT * (sample - value) : sample;
            hasSample = true;
            return sample;
        }
    }

    /** One of the f tables of a backend (paper, figure 2): up to d clients with counters. */
    static final class HeavyHitterTable {
        final long[] clients = new long[MAX_TABLE_CLIENTS];
        final double[] counters = new double[MAX_TABLE_CLIENTS];
        int size;
        int arrivals;

        /**
         * Randomized admission policy (RAP): in a full table, a new client replaces the one with
         * the smallest counter with a probability that depends on its weight (paper, II-C).
         */
        void add(long clientKey, double weight, Random random) {
            int smallest = 0;
            for (int i = 0; i < size; i++) {
                if (clients[i] == clientKey) {
                    counters[i] += weight;
                    return;
                }
                smallest = counters[i] < counters[smallest] ? i : smallest;
            }
            smallest = size < MAX_TABLE_CLIENTS ? size++ : smallest;
            if (random.nextDouble() < weight / (counters[smallest] + weight)) {
                clients[smallest] = clientKey;
                counters[smallest] += weight;
            }
        }
    }

    /** A backend as this relay knows it. */
    static final class BackendState {
        ListedBackend listEntry;
        final long hash;
        final HeavyHitterTable[] heavyHitterTables;
        RunningMean setupLatency = new RunningMean();
        double minSetupLatency = Double.MAX_VALUE;
        double reportedDelayMicros;
        long lastDelayReportAt = Long.MIN_VALUE / 2;
        boolean listed = true;
        double placedLoad;
        final List<RequestState> establishedRequests = new ArrayList<>(0);
        double warmUpBudget;
        long warmUpBudgetUpdatedAt;

        /** Load over capacity, as last probed. */
        double reportedUtilization;

        double placedLoadAtReport;

        /** The load placed at about the time that the next load report describes. */
        double smoothedPlacedLoad;

        /** In units of load; 0 if unknown. */
        double estimatedCapacity;

        long lastLoadReportAt = Long.MIN_VALUE / 2;
        long nextProbeAt = Long.MIN_VALUE / 2;

        /** When a request was last considered for this backend. */
        long lastConsideredAt = Long.MIN_VALUE / 2;

        int consecutiveFailures;

        /** Whether the backend reset its last new connection soon after the set-up. */
        boolean onProbation;

        long ejectedUntil = Long.MIN_VALUE / 2;

        /** A predecessor of this relay may have used up the warm-up budget before this time. */
        final long firstSeenAt;

        BackendState(ListedBackend listEntry, long hash, int windows, long now) {
            this.listEntry = listEntry;
            firstSeenAt = now;
            this.hash = hash;
            heavyHitterTables = new HeavyHitterTable[windows];
        }

        /**
         * Estimates the present utilization from the last report and the load placed since: reports
         * are late, and the load of the other relays is assumed to grow like that of this one.
         */
        double utilization() {
            double scaled =
                    placedLoadAtReport > 0
                            ? reportedUtilization
                                    * Math.max(0.5, Math.min(2, placedLoad / placedLoadAtReport))
                            : reportedUtilization;
            // With little load placed at the report the ratio means nothing, and a relay that just
            // started would send all its requests to one backend.
            double addedLoad = placedLoad - placedLoadAtReport;
            return estimatedCapacity > 0 && addedLoad > 0
                    ? Math.max(scaled, reportedUtilization + addedLoad / estimatedCapacity)
                    : scaled;
        }

        /**
         * Ends the ejection after a successful set-up. On probation the set-up alone proves
         * nothing, since the backend may reset the connection again.
         */
        void setupSucceeded(long latency, long now, long probationMicros) {
            ejectedUntil = onProbation ? now + probationMicros : now;
            setupLatency.add(latency);
            minSetupLatency = Math.min(minSetupLatency, latency);
        }

        boolean isReady() {
            return listEntry.health() == Health.READY;
        }
    }

    /** A request with its attempts, and the connection that it becomes. */
    static final class RequestState {
        final Request request;
        final ServiceClass serviceClass;
        final long placementHash;
        final long clientKey;
        final Set<BackendState> triedBackends = new HashSet<>();
        BackendState backend;
        int attempts;
        long firstUncertainAttemptAt = Api.NONE;
        BackendState firstUncertainBackend;
        boolean attemptActive;
        boolean established;
        boolean clientLeft;
        boolean loadReported;
        boolean moving;

        /** Whether the backend was on probation when the attempt started. */
        boolean probationAttempt;

        double load;
        long stateChangedAt;

        RequestState(Request request, ServiceClass serviceClass, long placementHash) {
            this.request = request;
            this.serviceClass = serviceClass;
            this.placementHash = placementHash;
            clientKey = request.key() != Api.NONE ? request.key() : request.group();
        }

        void startAttempt(BackendState target, long now) {
            triedBackends.add(target);
            probationAttempt = target.onProbation;
            backend = target;
            attempts++;
            attemptActive = true;
            stateChangedAt = now;
            backend.placedLoad += load;
        }

        void markEstablished(long now) {
            established = true;
            stateChangedAt = now;
            backend.establishedRequests.add(this);
        }

        void updateLoad(double newLoad) {
            backend.placedLoad += newLoad - load;
            load = newLoad;
        }

        void endAttempt() {
            attemptActive = false;
            backend.placedLoad -= load;
            backend.establishedRequests.remove(this);
        }
    }

    /** Returns a hash of the number in the interval from 0 (inclusive) to 1 (exclusive). */
    static double toUnitInterval(long z) {
        return (mix(z) >>> 11) * 0x1p-53;
    }

    /** Returns the FNV-1a hash of the text, mixed by {@link #mix}. */
    static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(h);
    }

    /** Returns the output of one step of SplitMix64. */
    static long mix(long z) {
        long x = (z + 0x9e3779b97f4a7c15L);
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return x ^ (x >>> 31);
    }
}
