package saltstage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import saltstage.Api.Health;
import saltstage.Api.Request;
import saltstage.Api.Server;
import saltstage.Api.ServiceClass;

/** What a node remembers, as plain data; what it decides with them is in {@link Logic}. */
final class State {
    /** Weight of a new sample in a running mean. */
    private static final double GAIN = 0.2;

    /** d: a node sees few connections of a server; a longer table would mark all. */
    private static final int MOST = 4;

    private State() {}

    /** A running mean that starts at its first sample, with the mean deviation. */
    static final class Mean {
        double value;
        double deviation;
        boolean known;

        void set(double mean, double off) {
            value = mean;
            deviation = off;
            known = mean > 0;
        }

        double add(double sample) {
            double off = Math.abs(sample - value);
            deviation = known ? deviation + GAIN * (off - deviation) : sample / 2;
            value = known ? value + GAIN * (sample - value) : sample;
            known = true;
            return sample;
        }
    }

    /** One of the f tables of a server: at most d clients with their counters. */
    static final class Table {
        final long[] client = new long[MOST];
        final double[] count = new double[MOST];
        int used;
        int arrivals;

        /**
         * RAP: a newcomer to a full table takes the least counter's place by chance (paper, II-C).
         */
        void add(long who, double weight, Random random) {
            int least = 0;
            for (int i = 0; i < used; i++) {
                if (client[i] == who) {
                    count[i] += weight;
                    return;
                }
                least = count[i] < count[least] ? i : least;
            }
            least = used < MOST ? used++ : least;
            if (random.nextDouble() < weight / (count[least] + weight)) {
                client[least] = who;
                count[least] += weight;
            }
        }
    }

    /** A server as this node knows it. */
    static final class Host {
        Server server;
        final long hash;
        final Table[] tables;
        Mean setup = new Mean();
        double lowest = Double.MAX_VALUE;
        double told;
        long toldAt = Long.MIN_VALUE / 2;
        boolean listed = true;
        double placed;
        final List<Call> open = new ArrayList<>(0);
        double budget;
        long budgetAt;
        double asked; // of what it can do, as last probed
        double placedThen;
        double placedLately; // as it was about when the next report is taken
        double can; // about, in units of load; 0 where nothing tells
        long askedAt = Long.MIN_VALUE / 2;
        long probeAt = Long.MIN_VALUE / 2;
        long consideredAt = Long.MIN_VALUE / 2; // for a request
        int strikes;
        boolean doubtful; // what it set up last did not stand
        long shunUntil = Long.MIN_VALUE / 2;

        final long knownAt; // a former node may have spent what the rule allowed before

        Host(Server server, long hash, int windows, long now) {
            this.server = server;
            knownAt = now;
            this.hash = hash;
            tables = new Table[windows];
        }

        /**
         * The load asked of it now: reports are late, and what comes from here meanwhile grows
         * alike.
         */
        double asked() {
            double alike =
                    placedThen > 0
                            ? asked * Math.max(0.5, Math.min(2, placed / placedThen))
                            : asked;
            // Where little stood here the ratio tells nothing: a node that just started would feed
            // one.
            double more = placed - placedThen;
            return can > 0 && more > 0 ? Math.max(alike, asked + more / can) : alike;
        }

        /**
         * A set-up has succeeded here; where it sets up and then resets, that alone is no proof.
         */
        void heard(long latency, long now, long proof) {
            shunUntil = doubtful ? now + proof : now;
            setup.add(latency);
            lowest = Math.min(lowest, latency);
        }

        boolean ready() {
            return server.health() == Health.READY;
        }
    }

    /** A request with its attempts, then the connection it became. */
    static final class Call {
        final Request request;
        final ServiceClass service;
        final long route;
        final long client;
        final Set<Host> tried = new HashSet<>();
        Host host;
        int sends;
        long firstRisk = Api.NONE;
        Host riskHost;
        boolean out;
        boolean streaming;
        boolean answered;
        boolean told;
        boolean moving;
        boolean trial; // of a server whose last one did not stand
        double load;
        long since;

        Call(Request request, ServiceClass service, long route) {
            this.request = request;
            this.service = service;
            this.route = route;
            client = request.key() != Api.NONE ? request.key() : request.group();
        }

        void sent(Host to, long now) {
            tried.add(to);
            trial = to.doubtful;
            host = to;
            sends++;
            out = true;
            since = now;
            host.placed += load;
        }

        void established(long now) {
            streaming = true;
            since = now;
            host.open.add(this);
        }

        void load(double level) {
            host.placed += level - load;
            load = level;
        }

        void ended() {
            out = false;
            host.placed -= load;
            host.open.remove(this);
        }
    }

    /** A hash as a number from 0 to 1. */
    static double unit(long z) {
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
