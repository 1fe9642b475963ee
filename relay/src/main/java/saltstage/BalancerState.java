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

/** What a node remembers, as plain data; what it decides with them is in {@link LoadBalancer}. */
final class BalancerState {
    /** Weight of a new sample in a running mean. */
    private static final double NEW_SAMPLE_WEIGHT = 0.2;

    /** d: a node sees few connections of a server; a longer table would mark all. */
    private static final int MAX_TABLE_CLIENTS = 4;

    private BalancerState() {}

    /** A running mean that starts at its first sample, with the mean deviation. */
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
            deviation = hasSample ? deviation + NEW_SAMPLE_WEIGHT * (absoluteError - deviation) : sample / 2;
            value = hasSample ? value + NEW_SAMPLE_WEIGHT * (sample - value) : sample;
            hasSample = true;
            return sample;
        }
    }

    /** One of the f tables of a server: at most d clients with their counters. */
    static final class HeavyHitterTable {
        final long[] clients = new long[MAX_TABLE_CLIENTS];
        final double[] counters = new double[MAX_TABLE_CLIENTS];
        int size;
        int arrivals;

        /**
         * RAP: a newcomer to a full table takes the least counter's place by chance (paper, II-C).
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

    /** A server as this node knows it. */
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
        double reportedUtilization; // of what it can do, as last probed
        double placedLoadAtReport;
        double smoothedPlacedLoad; // as it was about when the next report is taken
        double estimatedCapacity; // about, in units of load; 0 where nothing tells
        long lastLoadReportAt = Long.MIN_VALUE / 2;
        long nextProbeAt = Long.MIN_VALUE / 2;
        long lastConsideredAt = Long.MIN_VALUE / 2; // for a request
        int consecutiveFailures;
        boolean onProbation; // what it set up last did not stand
        long ejectedUntil = Long.MIN_VALUE / 2;

        final long firstSeenAt; // a former node may have spent what the rule allowed before

        BackendState(ListedBackend listEntry, long hash, int windows, long now) {
            this.listEntry = listEntry;
            firstSeenAt = now;
            this.hash = hash;
            heavyHitterTables = new HeavyHitterTable[windows];
        }

        /**
         * The load asked of it now: reports are late, and what comes from here meanwhile grows
         * alike.
         */
        double estimatedUtilization() {
            double scaled =
                    placedLoadAtReport > 0
                            ? reportedUtilization
                                    * Math.max(0.5, Math.min(2, placedLoad / placedLoadAtReport))
                            : reportedUtilization;
            // Where little stood here the ratio tells nothing: a node that just started would feed
            // one.
            double addedLoad = placedLoad - placedLoadAtReport;
            return estimatedCapacity > 0 && addedLoad > 0
                    ? Math.max(scaled, reportedUtilization + addedLoad / estimatedCapacity)
                    : scaled;
        }

        /**
         * A set-up has succeeded here; where it sets up and then resets, that alone is no proof.
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

    /** A request with its attempts, then the connection it became. */
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
        boolean probationAttempt; // of a server whose last one did not stand
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

    /** A hash as a number from 0 to 1. */
    static double toUnitInterval(long z) {
        return (mix(z) >>> 11) * 0x1p-53;
    }

    /** FNV-1a, mixed. */
    static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(h);
    }

    /** The finalizer of SplitMix64. */
    static long mix(long z) {
        long x = (z + 0x9e3779b97f4a7c15L);
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return x ^ (x >>> 31);
    }
}
