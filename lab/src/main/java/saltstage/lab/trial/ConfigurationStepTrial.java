package saltstage.lab.trial;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import saltstage.lab.trial.ConfigurationWriter.AcceptedRevision;

/**
 * Kills a process at a given step of one configuration change, restarts it, and waits until all
 * followers have applied the change. Each case combines one step with one victim.
 */
final class ConfigurationStepTrial {
    /** The step that a change has reached when the process is killed. */
    enum Step {
        /** The change is on its way to the leader or in its log; the writer has no reply. */
        LOGGED,
        /** The writer has the reply. */
        ACCEPTED,
        /** A distributor serves the change. */
        AT_DISTRIBUTOR,
        /** The first follower has applied the change. */
        AT_FOLLOWER,
        /** A distributor has received the confirmations of all followers in its zone. */
        CONFIRMED
    }

    /** The process or processes that are killed. */
    enum Victim {
        LEADER,
        DISTRIBUTOR,
        FOLLOWERS,
        ALL_CONTROL
    }

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);
    private static final long MAX_WAIT_MS = 30_000;
    private static final int LOGGED_DELAY_MS = 2;
    private static final int DOWNTIME_MS = 300;
    private static final String DISTRIBUTOR = "d-a1";
    private static final String FOLLOWERS = "f-a1";

    private final ConfigurationTrial trial;

    ConfigurationStepTrial(ConfigurationTrial trial) {
        this.trial = trial;
    }

    /** Returns the milliseconds from acceptance until all followers had applied the change. */
    long runCase(Step step, Victim victim) throws IOException, InterruptedException {
        ConfigurationObserver observer = trial.observer();
        String leader = trial.group().leader(CALL_TIMEOUT);
        long previousRevision = newestRevision();
        CompletableFuture<AcceptedRevision> change =
                CompletableFuture.supplyAsync(this::writeChange);
        awaitStep(step, change, previousRevision + 1);
        kill(victim, leader);
        Thread.sleep(DOWNTIME_MS);
        trial.group().heal();
        trial.fleet().heal();
        AcceptedRevision accepted = change.join();
        if (accepted.revision() != previousRevision + 1) {
            observer.addViolation(
                    "one change produced "
                            + (accepted.revision() - previousRevision)
                            + " revisions");
        }
        int followerCount = trial.fleet().followerCount();
        if (!observer.awaitRevision(accepted.revision(), followerCount, MAX_WAIT_MS)) {
            throw new IOException("not applied by all followers after " + MAX_WAIT_MS + " ms");
        }
        observer.compareWithAccepted(trial.writer().fetchDigests());
        return observer.appliedMsByFollower(accepted.revision()).values().stream()
                .mapToLong(atMs -> Math.max(0, atMs - accepted.atMs()))
                .max()
                .orElseThrow();
    }

    private long newestRevision() {
        List<AcceptedRevision> accepted = trial.writer().acceptedRevisions();
        return accepted.get(accepted.size() - 1).revision();
    }

    private AcceptedRevision writeChange() {
        try {
            return trial.writer().moveShards();
        } catch (IOException | InterruptedException failure) {
            throw new CompletionException(failure);
        }
    }

    private void awaitStep(Step step, CompletableFuture<AcceptedRevision> change, long revision)
            throws IOException, InterruptedException {
        switch (step) {
            case LOGGED -> Thread.sleep(LOGGED_DELAY_MS);
            case ACCEPTED -> change.join();
            case AT_DISTRIBUTOR -> {
                while (status().path("revision").asLong() < revision) {
                    Thread.sleep(1);
                }
            }
            case AT_FOLLOWER -> {
                if (!trial.observer().awaitRevision(revision, 1, MAX_WAIT_MS)) {
                    throw new IOException("applied by no follower after " + MAX_WAIT_MS + " ms");
                }
            }
            case CONFIRMED -> awaitConfirmations(revision);
            default -> throw new IllegalStateException(step.name());
        }
    }

    private JsonNode status() throws IOException, InterruptedException {
        return trial.fleet().status(DISTRIBUTOR, CALL_TIMEOUT);
    }

    private void awaitConfirmations(long revision) throws IOException, InterruptedException {
        long untilNanos = System.nanoTime() + Duration.ofMillis(MAX_WAIT_MS).toNanos();
        while (System.nanoTime() < untilNanos) {
            JsonNode status = status();
            for (JsonNode zone : status.path("zones")) {
                int followers = zone.path("followers").asInt();
                if (status.path("revision").asLong() >= revision
                        && followers > 0
                        && zone.path("confirmed").asInt() == followers) {
                    return;
                }
            }
            Thread.sleep(1);
        }
        throw new IOException("not confirmed after " + MAX_WAIT_MS + " ms");
    }

    private void kill(Victim victim, String leader) throws IOException, InterruptedException {
        switch (victim) {
            case LEADER -> trial.group().process(leader).kill();
            case DISTRIBUTOR -> trial.fleet().distributor(DISTRIBUTOR).kill();
            case FOLLOWERS -> trial.fleet().followers(FOLLOWERS).kill();
            case ALL_CONTROL ->
                    new ConfigurationFault(ConfigurationFault.Kind.CONTROL_RESTARTED, "", 0)
                            .inject(trial.group(), trial.fleet());
            default -> throw new IllegalStateException(victim.name());
        }
    }
}
