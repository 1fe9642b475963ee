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
import saltstage.lab.trial.FaultProxy.Way;

/**
 * Holders in processes of their own want one lease of a group while faults befall replicas, links and
 * holders. Judged by the witness alone: no two holders under one fence, no act taken under an old one, no
 * late act of a holder that was not paused, and a grant to somebody within a stated time once faults end.
 */
public final class LeaseTrial {
    private static final int TTL_MS = 1_500;
    private static final int LIVE_WITHIN_MS = 8_000;

    /** What befalls whom, when and for how long. */
    public record Fault(String kind, String at, String other, int fromMs, int lastsMs) {
    }

    /** How a trial went. */
    public record Verdict(long seed, int acts, int grants, int staleOfPaused, int longestGapMs,
            List<String> broken, List<Fault> faults) {
    }

    private final Path dir;
    private final int replicas;
    private final int workers;
    private final int lengthMs;
    private final List<Path> jars;

    /** A trial in a folder of its own; replicas run the jars in turn. */
    public LeaseTrial(Path dir, int replicas, int workers, int lengthMs, List<Path> jars) {
        this.dir = dir;
        this.replicas = replicas;
        this.workers = workers;
        this.lengthMs = lengthMs;
        this.jars = jars;
    }

    /** The faults of a seed: some kinds only, so that seeds differ in what meets what. */
    public List<Fault> script(long seed) {
        Random drawn = new Random(seed);
        List<String> kinds = new ArrayList<>(List.of("kill", "pause", "cut", "one-way", "late", "drop",
            "trickle", "kill-worker", "pause-worker", "door", "restart-all"));
        java.util.Collections.shuffle(kinds, drawn);
        kinds = kinds.subList(0, 3 + drawn.nextInt(4));
        List<Fault> faults = new ArrayList<>();
        for (int at = 300; at < lengthMs - 1_000; at += 300 + drawn.nextInt(1_500)) {
            String kind = kinds.get(drawn.nextInt(kinds.size()));
            String whom = kind.endsWith("worker") ? "w" + (1 + drawn.nextInt(workers))
                : "r" + (1 + drawn.nextInt(replicas));
            String other = "r" + (1 + drawn.nextInt(replicas));
            faults.add(new Fault(kind, whom, other, at, 200 + drawn.nextInt(2_800)));
        }
        return faults;
    }

    /** Plays a script. */
    public Verdict play(long seed, List<Fault> faults) throws IOException, InterruptedException {
        Set<String> wasPaused = new HashSet<>();
        Map<String, Proc> holders = new LinkedHashMap<>();
        try (Witness witness = new Witness();
                GroupUnderTest group = new GroupUnderTest(dir, replicas, jars, "  snapshot_every = 100\n")) {
            group.start().leader(java.time.Duration.ofSeconds(20));
            for (int i = 1; i <= workers; i++) {
                int clock = 1_000 + (int) (seed + i) % 3 * 8 - 8; // 0.992, 1.000 or 1.008 of the world's
                holders.put("w" + i, Proc.lab("w" + i, dir, List.of("trial-worker", "--name", "w" + i, "--at",
                    String.join(",", group.doors()), "--witness",
                    Integer.toString(witness.address().getPort()), "--ttl-ms", Integer.toString(TTL_MS),
                    "--clock-permille", Integer.toString(clock), "--seed", Long.toString(seed + i))).start());
            }
            play(faults, group, holders, wasPaused);
            group.heal();
            for (Proc holder : holders.values()) {
                holder.goOn();
                if (!holder.alive()) {
                    holder.start();
                }
            }
            return judge(seed, faults, witness, wasPaused);
        } finally {
            for (Proc holder : holders.values()) {
                holder.close();
            }
        }
    }

    private static Verdict judge(long seed, List<Fault> faults, Witness witness, Set<String> wasPaused)
            throws InterruptedException {
        List<String> broken = new ArrayList<>(witness.faults());
        int before = witness.grants();
        long healed = witness.nowMs();
        while (witness.grants() <= before && witness.nowMs() - healed < LIVE_WITHIN_MS) {
            Thread.sleep(20);
        }
        if (witness.grants() <= before) {
            broken.add("no grant within " + LIVE_WITHIN_MS + " ms after the last fault");
        }
        int stale = 0;
        long last = 0;
        long gap = 0;
        for (Witness.Act act : witness.acts()) {
            gap = Math.max(gap, act.atMs() - last);
            last = act.atMs();
            if (!act.taken()) {
                stale++;
                if (!wasPaused.contains(act.holder().substring(0, act.holder().indexOf('-')))) {
                    broken.add("at " + act.atMs() + " ms " + act.holder() + " acted under fence "
                        + act.fence() + ", which was over, and it had not been paused");
                }
            }
        }
        return new Verdict(seed, witness.acts().size(), witness.grants(), stale, (int) gap, broken, faults);
    }

    private record Step(int atMs, boolean begins, Fault fault) {
    }

    private static void play(List<Fault> faults, GroupUnderTest group, Map<String, Proc> holders,
            Set<String> wasPaused) throws IOException, InterruptedException {
        List<Step> steps = new ArrayList<>();
        for (Fault fault : faults) {
            steps.add(new Step(fault.fromMs(), true, fault));
            steps.add(new Step(fault.fromMs() + fault.lastsMs(), false, fault));
        }
        steps.sort(java.util.Comparator.comparingInt(Step::atMs));
        long start = System.nanoTime();
        for (Step step : steps) {
            long left = step.atMs() - (System.nanoTime() - start) / 1_000_000;
            Thread.sleep(Math.max(0, left));
            if (step.begins()) {
                begin(step.fault(), group, holders, wasPaused);
            } else {
                over(step.fault(), group, holders);
            }
        }
    }

    private static void begin(Fault fault, GroupUnderTest group, Map<String, Proc> holders,
            Set<String> wasPaused) throws IOException, InterruptedException {
        String at = fault.at();
        switch (fault.kind()) {
            case "kill" -> group.proc(at).kill();
            case "pause" -> group.proc(at).pause();
            case "cut", "one-way", "late", "trickle" -> links(fault, group);
            case "drop" -> group.names().forEach(other -> {
                if (!other.equals(at)) {
                    group.link(at, other).drop();
                }
            });
            case "door" -> group.door(at).ways(Way.CLEAR, Way.SILENT); // calls are heard, answers are not
            case "kill-worker" -> holders.get(at).kill();
            case "pause-worker" -> {
                wasPaused.add(at);
                holders.get(at).pause();
            }
            case "restart-all" -> {
                for (String name : group.names()) {
                    group.proc(name).kill();
                }
                for (String name : group.names()) {
                    group.proc(name).start();
                }
            }
            default -> throw new IllegalArgumentException("no fault '" + fault.kind() + "'");
        }
    }

    private static void links(Fault fault, GroupUnderTest group) {
        for (String other : group.names()) {
            if (other.equals(fault.at())) {
                continue;
            }
            Way way = switch (fault.kind()) {
                case "late" -> new Way(false, 150, false, Long.MAX_VALUE);
                case "trickle" -> new Way(false, 0, true, Long.MAX_VALUE);
                default -> Way.SILENT;
            };
            group.link(fault.at(), other).ways(way, Way.CLEAR);
            if (!fault.kind().equals("one-way")) {
                group.link(other, fault.at()).ways(way, Way.CLEAR);
            }
        }
    }

    private static void over(Fault fault, GroupUnderTest group, Map<String, Proc> holders)
            throws IOException, InterruptedException {
        String at = fault.at();
        switch (fault.kind()) {
            case "kill", "pause" -> again(group.proc(at));
            case "kill-worker", "pause-worker" -> again(holders.get(at));
            case "door" -> group.door(at).heal();
            case "cut", "one-way", "late", "trickle" -> {
                for (String other : group.names()) {
                    if (!other.equals(at)) {
                        group.link(at, other).heal();
                        group.link(other, at).heal();
                    }
                }
            }
            default -> { // it was over at once
            }
        }
    }

    private static void again(Proc proc) throws IOException, InterruptedException {
        proc.goOn();
        if (!proc.alive()) {
            proc.start();
        }
    }
}
