package saltstage.lab.trial;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.ConfigurationView;

/**
 * Receives a report from each follower for every revision that it applies, independently of the
 * group, the distributors and the followers. It checks immediately that no follower goes back to an
 * older revision and that no two followers have different digests for one revision. The comparison
 * with the changes that the group accepted follows later, in {@link #compareWithAccepted}.
 */
final class ConfigurationObserver implements AutoCloseable {
    /** A revision that one follower applied; times are milliseconds since the observer started. */
    record Observation(String follower, long revision, String digest, long atMs, boolean atStart) {}

    private final ServerSocket listener;
    private final long startNanos = System.nanoTime();
    private final List<Observation> observations = new ArrayList<>();
    private final Map<String, Observation> newestByFollower = new TreeMap<>();
    private final Map<Long, Observation> firstByRevision = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();

    ConfigurationObserver() throws IOException {
        listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        startDaemon(this::acceptAll);
    }

    private static void startDaemon(Runnable work) {
        Thread thread = new Thread(work, "configuration-observer");
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private void acceptAll() {
        while (!listener.isClosed()) {
            try {
                Socket connection = listener.accept();
                startDaemon(() -> serve(connection));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection;
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(
                                        connection.getInputStream(), StandardCharsets.US_ASCII))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String[] words = line.split(" ");
                observe(words[0], words[1], Long.parseLong(words[2]), words[3]);
            }
        } catch (IOException closed) {
            return;
        }
    }

    /** Records the report of a follower; {@code event} names how it applied the revision. */
    synchronized void observe(String follower, String event, long revision, String digest) {
        Observation observation =
                new Observation(follower, revision, digest, elapsedMs(), event.equals("start"));
        observations.add(observation);
        if (!List.of("start", "applied", "snapshot").contains(event)) {
            violations.add(follower + " at revision " + revision + ": " + event);
        }
        Observation previous = newestByFollower.put(follower, observation);
        if (previous != null && revision < previous.revision()) {
            violations.add(follower + " went back from " + previous.revision() + " to " + revision);
        }
        Observation first = firstByRevision.putIfAbsent(revision, observation);
        if (first != null && !first.digest().equals(digest)) {
            violations.add(
                    follower + " and " + first.follower() + " differ at revision " + revision);
        }
        notifyAll();
    }

    /**
     * Compares all observations with what the group accepted.
     *
     * @param digests the digests of the accepted changes, by revision
     */
    synchronized void compareWithAccepted(Map<Long, String> digests) {
        for (Observation observation : firstByRevision.values()) {
            String acceptedDigest = digests.get(observation.revision());
            if (acceptedDigest == null) {
                violations.add(
                        observation.follower()
                                + " had revision "
                                + observation.revision()
                                + ", never accepted");
            } else if (!acceptedDigest.equals(observation.digest())) {
                violations.add(
                        observation.follower()
                                + " had another digest at revision "
                                + observation.revision());
            }
        }
    }

    /**
     * Waits until this number of followers have the revision or a newer one; returns false if they
     * do not in time.
     */
    synchronized boolean awaitRevision(long revision, int followers, long withinMs)
            throws InterruptedException {
        long untilMs = elapsedMs() + withinMs;
        while (countWithRevision(revision) < followers) {
            long leftMs = untilMs - elapsedMs();
            if (leftMs <= 0) {
                return false;
            }
            wait(leftMs);
        }
        return true;
    }

    private long countWithRevision(long revision) {
        return newestByFollower.values().stream()
                .filter(observation -> observation.revision() >= revision)
                .count();
    }

    /** Returns, by follower, when it first applied the revision or a newer one. */
    synchronized Map<String, Long> appliedMsByFollower(long revision) {
        Map<String, Long> times = new TreeMap<>();
        for (Observation observation : observations) {
            if (observation.revision() >= revision) {
                times.putIfAbsent(observation.follower(), observation.atMs());
            }
        }
        return times;
    }

    /** Returns the newest observation of each follower. */
    synchronized Map<String, Observation> newestByFollower() {
        return new TreeMap<>(newestByFollower);
    }

    /** Returns the number of observations. */
    synchronized int observationCount() {
        return observations.size();
    }

    /** Returns the violations found so far; empty if every check passed. */
    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    /** Adds a violation that another check found. */
    synchronized void addViolation(String description) {
        violations.add(description);
    }

    long elapsedMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Returns a new map that holds the digest of revision 0. */
    static Map<Long, String> initialDigests() {
        Map<Long, String> digests = new TreeMap<>();
        digests.put(0L, ConfigurationJson.formatDigest(new ConfigurationView().digest()));
        return digests;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
