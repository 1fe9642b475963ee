package saltstage.lab.trial;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import saltstage.lab.trial.FaultProxy.DirectionFault;

/**
 * Several holders, each in a process of its own, compete for one lease of a group while faults are
 * injected into replicas, links and holders. The evaluation relies on the fenced resource alone: no
 * two holders use one fencing token, no operation is accepted under an old token, no holder that
 * was not paused performs a late operation, and the lease is granted within {@code MAX_RECOVERY_MS}
 * after the last fault.
 */
public final class LeaseTrial {
    private static final int TTL_MS = 1_500;
    private static final int MAX_RECOVERY_MS = 8_000;

    /** A fault, its target, its start and its duration; times are relative to the trial's start. */
    public record Fault(String kind, String target, String other, int fromMs, int durationMs) {}

    /** The result of a trial. */
    public record Verdict(
            long seed,
            int operationCount,
            int grantCount,
            int rejectedOperationCount,
            int maxGapMs,
            List<String> violations,
            List<Fault> faults) {}

    private final Path dir;
    private final int replicaCount;
    private final int workerCount;
    private final int durationMs;
    private final List<Path> jars;

    /** Creates a trial in a directory; each replica runs the jar at its position in the list. */
    public LeaseTrial(
            Path dir, int replicaCount, int workerCount, int durationMs, List<Path> jars) {
        this.dir = dir;
        this.replicaCount = replicaCount;
        this.workerCount = workerCount;
        this.durationMs = durationMs;
        this.jars = jars;
    }

    /** Returns the faults of a seed, of a few kinds only, so that seeds combine different kinds. */
    public List<Fault> randomFaults(long seed) {
        Random random = new Random(seed);
        List<String> kinds =
                new ArrayList<>(
                        List.of(
                                "kill",
                                "pause",
                                "cut",
                                "one-way",
                                "late",
                                "drop",
                                "trickle",
                                "kill-worker",
                                "pause-worker",
                                "door",
                                "restart-all"));
        java.util.Collections.shuffle(kinds, random);
        kinds = kinds.subList(0, 3 + random.nextInt(4));
        List<Fault> faults = new ArrayList<>();
        for (int startMs = 300;
                startMs < durationMs - 1_000;
                startMs += 300 + random.nextInt(1_500)) {
            String kind = kinds.get(random.nextInt(kinds.size()));
            String target =
                    kind.endsWith("worker")
                            ? "w" + (1 + random.nextInt(workerCount))
                            : "r" + (1 + random.nextInt(replicaCount));
            String other = "r" + (1 + random.nextInt(replicaCount));
            faults.add(new Fault(kind, target, other, startMs, 200 + random.nextInt(2_800)));
        }
        return faults;
    }

    /** Runs the trial with these faults and evaluates it. */
    public Verdict run(long seed, List<Fault> faults) throws IOException, InterruptedException {
        Set<String> pausedHolders = new HashSet<>();
        Map<String, TrialProcess> holders = new LinkedHashMap<>();
        try (FencedResource resource = new FencedResource();
                GroupUnderTest group =
                        new GroupUnderTest(dir, replicaCount, jars, "  snapshot_every = 100\n")) {
            group.start().leader(java.time.Duration.ofSeconds(20));
            for (int i = 1; i <= workerCount; i++) {
                holders.put("w" + i, startHolder(i, seed, group, resource));
            }
            runFaults(faults, group, holders, pausedHolders);
            group.heal();
            for (TrialProcess holder : holders.values()) {
                holder.resume();
                if (!holder.isAlive()) {
                    holder.start();
                }
            }
            return evaluate(seed, faults, resource, pausedHolders);
        } finally {
            for (TrialProcess holder : holders.values()) {
                holder.close();
            }
        }
    }

    private TrialProcess startHolder(
            int number, long seed, GroupUnderTest group, FencedResource resource)
            throws IOException, InterruptedException {
        // The holder's clock runs at 0.992, 1.000 or 1.008 times real time.
        int clockPermille = 1_000 + (int) (seed + number) % 3 * 8 - 8;
        return TrialProcess.lab(
                        "w" + number,
                        dir,
                        List.of(
                                "trial-worker",
                                "--name",
                                "w" + number,
                                "--at",
                                String.join(",", group.clientLinkAddresses()),
                                "--witness",
                                Integer.toString(resource.address().getPort()),
                                "--ttl-ms",
                                Integer.toString(TTL_MS),
                                "--clock-permille",
                                Integer.toString(clockPermille),
                                "--seed",
                                Long.toString(seed + number)))
                .start();
    }

    private static Verdict evaluate(
            long seed, List<Fault> faults, FencedResource resource, Set<String> pausedHolders)
            throws InterruptedException {
        List<String> violations = new ArrayList<>(resource.violations());
        int previousGrants = resource.grantCount();
        long healedMs = resource.elapsedMs();
        while (resource.grantCount() <= previousGrants
                && resource.elapsedMs() - healedMs < MAX_RECOVERY_MS) {
            Thread.sleep(20);
        }
        if (resource.grantCount() <= previousGrants) {
            violations.add("no grant within " + MAX_RECOVERY_MS + " ms after the last fault");
        }
        int rejectedCount = 0;
        long previousMs = 0;
        long maxGapMs = 0;
        for (FencedResource.Operation operation : resource.operations()) {
            maxGapMs = Math.max(maxGapMs, operation.atMs() - previousMs);
            previousMs = operation.atMs();
            if (!operation.accepted()) {
                rejectedCount++;
                if (!pausedHolders.contains(
                        operation.holder().substring(0, operation.holder().indexOf('-')))) {
                    violations.add(
                            "at "
                                    + operation.atMs()
                                    + " ms "
                                    + operation.holder()
                                    + " used the outdated fencing token "
                                    + operation.fencingToken()
                                    + " although it had not been paused");
                }
            }
        }
        return new Verdict(
                seed,
                resource.operations().size(),
                resource.grantCount(),
                rejectedCount,
                (int) maxGapMs,
                violations,
                faults);
    }

    private record FaultStep(int atMs, boolean isStart, Fault fault) {}

    private static void runFaults(
            List<Fault> faults,
            GroupUnderTest group,
            Map<String, TrialProcess> holders,
            Set<String> pausedHolders)
            throws IOException, InterruptedException {
        List<FaultStep> steps = new ArrayList<>();
        for (Fault fault : faults) {
            steps.add(new FaultStep(fault.fromMs(), true, fault));
            steps.add(new FaultStep(fault.fromMs() + fault.durationMs(), false, fault));
        }
        steps.sort(java.util.Comparator.comparingInt(FaultStep::atMs));
        long startNanos = System.nanoTime();
        for (FaultStep step : steps) {
            long remainingMs = step.atMs() - (System.nanoTime() - startNanos) / 1_000_000;
            Thread.sleep(Math.max(0, remainingMs));
            if (step.isStart()) {
                inject(step.fault(), group, holders, pausedHolders);
            } else {
                repair(step.fault(), group, holders);
            }
        }
    }

    private static void inject(
            Fault fault,
            GroupUnderTest group,
            Map<String, TrialProcess> holders,
            Set<String> pausedHolders)
            throws IOException, InterruptedException {
        String target = fault.target();
        switch (fault.kind()) {
            case "kill" -> group.process(target).kill();
            case "pause" -> group.process(target).pause();
            case "cut", "one-way", "late", "trickle" -> injectLinkFault(fault, group);
            case "drop" ->
                    group.names()
                            .forEach(
                                    other -> {
                                        if (!other.equals(target)) {
                                            group.replicaLink(target, other).dropConnections();
                                        }
                                    });
            case "door" ->
                    group.clientLink(target)
                            .setFaults(
                                    DirectionFault.CLEAR,
                                    DirectionFault.SILENT); // requests arrive, answers do not
            case "kill-worker" -> holders.get(target).kill();
            case "pause-worker" -> {
                pausedHolders.add(target);
                holders.get(target).pause();
            }
            case "restart-all" -> {
                for (String name : group.names()) {
                    group.process(name).kill();
                }
                for (String name : group.names()) {
                    group.process(name).start();
                }
            }
            default -> throw new IllegalArgumentException("no fault '" + fault.kind() + "'");
        }
    }

    private static void injectLinkFault(Fault fault, GroupUnderTest group) {
        for (String other : group.names()) {
            if (other.equals(fault.target())) {
                continue;
            }
            DirectionFault directionFault =
                    switch (fault.kind()) {
                        case "late" -> new DirectionFault(false, 150, false, Long.MAX_VALUE);
                        case "trickle" -> new DirectionFault(false, 0, true, Long.MAX_VALUE);
                        default -> DirectionFault.SILENT;
                    };
            group.replicaLink(fault.target(), other)
                    .setFaults(directionFault, DirectionFault.CLEAR);
            if (!fault.kind().equals("one-way")) {
                group.replicaLink(other, fault.target())
                        .setFaults(directionFault, DirectionFault.CLEAR);
            }
        }
    }

    private static void repair(Fault fault, GroupUnderTest group, Map<String, TrialProcess> holders)
            throws IOException, InterruptedException {
        String target = fault.target();
        switch (fault.kind()) {
            case "kill", "pause" -> ensureRunning(group.process(target));
            case "kill-worker", "pause-worker" -> ensureRunning(holders.get(target));
            case "door" -> group.clientLink(target).heal();
            case "cut", "one-way", "late", "trickle" -> {
                for (String other : group.names()) {
                    if (!other.equals(target)) {
                        group.replicaLink(target, other).heal();
                        group.replicaLink(other, target).heal();
                    }
                }
            }
            default -> { // these faults have no duration
            }
        }
    }

    private static void ensureRunning(TrialProcess process)
            throws IOException, InterruptedException {
        process.resume();
        if (!process.isAlive()) {
            process.start();
        }
    }
}
