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
    public record Fault(String kind, String at, String other, int fromMs, int lastsMs) {}

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
    public LeaseTrial(Path dir, int replicas, int workers, int lengthMs, List<Path> jars) {
        this.dir = dir;
        this.replicaCount = replicas;
        this.workerCount = workers;
        this.durationMs = lengthMs;
        this.jars = jars;
    }

    /** Returns the faults of a seed, of a few kinds only, so that seeds combine different kinds. */
    public List<Fault> randomFaults(long seed) {
        Random drawn = new Random(seed);
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
        java.util.Collections.shuffle(kinds, drawn);
        kinds = kinds.subList(0, 3 + drawn.nextInt(4));
        List<Fault> faults = new ArrayList<>();
        for (int at = 300; at < durationMs - 1_000; at += 300 + drawn.nextInt(1_500)) {
            String kind = kinds.get(drawn.nextInt(kinds.size()));
            String whom =
                    kind.endsWith("worker")
                            ? "w" + (1 + drawn.nextInt(workerCount))
                            : "r" + (1 + drawn.nextInt(replicaCount));
            String other = "r" + (1 + drawn.nextInt(replicaCount));
            faults.add(new Fault(kind, whom, other, at, 200 + drawn.nextInt(2_800)));
        }
        return faults;
    }

    /** Runs the trial with these faults and evaluates it. */
    public Verdict run(long seed, List<Fault> faults) throws IOException, InterruptedException {
        Set<String> wasPaused = new HashSet<>();
        Map<String, TrialProcess> holders = new LinkedHashMap<>();
        try (FencedResource witness = new FencedResource();
                GroupUnderTest group =
                        new GroupUnderTest(dir, replicaCount, jars, "  snapshot_every = 100\n")) {
            group.start().leader(java.time.Duration.ofSeconds(20));
            for (int i = 1; i <= workerCount; i++) {
                holders.put("w" + i, startHolder(i, seed, group, witness));
            }
            runFaults(faults, group, holders, wasPaused);
            group.heal();
            for (TrialProcess holder : holders.values()) {
                holder.resume();
                if (!holder.isAlive()) {
                    holder.start();
                }
            }
            return evaluate(seed, faults, witness, wasPaused);
        } finally {
            for (TrialProcess holder : holders.values()) {
                holder.close();
            }
        }
    }

    private TrialProcess startHolder(
            int number, long seed, GroupUnderTest group, FencedResource witness)
            throws IOException, InterruptedException {
        // The holder's clock runs at 0.992, 1.000 or 1.008 times real time.
        int clock = 1_000 + (int) (seed + number) % 3 * 8 - 8;
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
                                Integer.toString(witness.address().getPort()),
                                "--ttl-ms",
                                Integer.toString(TTL_MS),
                                "--clock-permille",
                                Integer.toString(clock),
                                "--seed",
                                Long.toString(seed + number)))
                .start();
    }

    private static Verdict evaluate(
            long seed, List<Fault> faults, FencedResource witness, Set<String> wasPaused)
            throws InterruptedException {
        List<String> broken = new ArrayList<>(witness.violations());
        int before = witness.grantCount();
        long healed = witness.elapsedMs();
        while (witness.grantCount() <= before && witness.elapsedMs() - healed < MAX_RECOVERY_MS) {
            Thread.sleep(20);
        }
        if (witness.grantCount() <= before) {
            broken.add("no grant within " + MAX_RECOVERY_MS + " ms after the last fault");
        }
        int stale = 0;
        long last = 0;
        long gap = 0;
        for (FencedResource.Operation act : witness.operations()) {
            gap = Math.max(gap, act.atMs() - last);
            last = act.atMs();
            if (!act.accepted()) {
                stale++;
                if (!wasPaused.contains(act.holder().substring(0, act.holder().indexOf('-')))) {
                    broken.add(
                            "at "
                                    + act.atMs()
                                    + " ms "
                                    + act.holder()
                                    + " used the outdated fencing token "
                                    + act.fencingToken()
                                    + " although it had not been paused");
                }
            }
        }
        return new Verdict(
                seed,
                witness.operations().size(),
                witness.grantCount(),
                stale,
                (int) gap,
                broken,
                faults);
    }

    private record FaultStep(int atMs, boolean isStart, Fault fault) {}

    private static void runFaults(
            List<Fault> faults,
            GroupUnderTest group,
            Map<String, TrialProcess> holders,
            Set<String> wasPaused)
            throws IOException, InterruptedException {
        List<FaultStep> steps = new ArrayList<>();
        for (Fault fault : faults) {
            steps.add(new FaultStep(fault.fromMs(), true, fault));
            steps.add(new FaultStep(fault.fromMs() + fault.lastsMs(), false, fault));
        }
        steps.sort(java.util.Comparator.comparingInt(FaultStep::atMs));
        long start = System.nanoTime();
        for (FaultStep step : steps) {
            long left = step.atMs() - (System.nanoTime() - start) / 1_000_000;
            Thread.sleep(Math.max(0, left));
            if (step.isStart()) {
                inject(step.fault(), group, holders, wasPaused);
            } else {
                repair(step.fault(), group, holders);
            }
        }
    }

    private static void inject(
            Fault fault,
            GroupUnderTest group,
            Map<String, TrialProcess> holders,
            Set<String> wasPaused)
            throws IOException, InterruptedException {
        String at = fault.at();
        switch (fault.kind()) {
            case "kill" -> group.process(at).kill();
            case "pause" -> group.process(at).pause();
            case "cut", "one-way", "late", "trickle" -> injectLinkFault(fault, group);
            case "drop" ->
                    group.names()
                            .forEach(
                                    other -> {
                                        if (!other.equals(at)) {
                                            group.replicaLink(at, other).dropConnections();
                                        }
                                    });
            case "door" ->
                    group.clientLink(at)
                            .setFaults(
                                    DirectionFault.CLEAR,
                                    DirectionFault.SILENT); // requests arrive, answers do not
            case "kill-worker" -> holders.get(at).kill();
            case "pause-worker" -> {
                wasPaused.add(at);
                holders.get(at).pause();
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
            if (other.equals(fault.at())) {
                continue;
            }
            DirectionFault way =
                    switch (fault.kind()) {
                        case "late" -> new DirectionFault(false, 150, false, Long.MAX_VALUE);
                        case "trickle" -> new DirectionFault(false, 0, true, Long.MAX_VALUE);
                        default -> DirectionFault.SILENT;
                    };
            group.replicaLink(fault.at(), other).setFaults(way, DirectionFault.CLEAR);
            if (!fault.kind().equals("one-way")) {
                group.replicaLink(other, fault.at()).setFaults(way, DirectionFault.CLEAR);
            }
        }
    }

    private static void repair(Fault fault, GroupUnderTest group, Map<String, TrialProcess> holders)
            throws IOException, InterruptedException {
        String at = fault.at();
        switch (fault.kind()) {
            case "kill", "pause" -> ensureRunning(group.process(at));
            case "kill-worker", "pause-worker" -> ensureRunning(holders.get(at));
            case "door" -> group.clientLink(at).heal();
            case "cut", "one-way", "late", "trickle" -> {
                for (String other : group.names()) {
                    if (!other.equals(at)) {
                        group.replicaLink(at, other).heal();
                        group.replicaLink(other, at).heal();
                    }
                }
            }
            default -> { // these faults have no duration
            }
        }
    }

    private static void ensureRunning(TrialProcess proc) throws IOException, InterruptedException {
        proc.resume();
        if (!proc.isAlive()) {
            proc.start();
        }
    }
}
