package saltstage.lifecycle;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import saltstage.admin.Desk;
import saltstage.handover.Bans;
import saltstage.handover.Slots;
import saltstage.handover.Whole;
import saltstage.keep.Takeover;
import saltstage.log.Log;
import saltstage.memory.MonotonicClock;
import saltstage.memory.Backend;
import saltstage.memory.BackendRegistry;
import saltstage.memory.Attempt;
import saltstage.metrics.Counts;
import saltstage.stage.RelayPipeline;
import saltstage.stage.Frontend;
import saltstage.stage.MovePacing;
import saltstage.wire.HostList;

/**
 * Does for operators what takes a file or the module's lock, on one thread: bans, what the other
 * process of this relay is left, its part of the descriptors. Who asks for figures reads what was
 * last looked at.
 */
final class Clerk implements Desk {
    /**
     * Long enough that the others are not flooded; a machine is not restarted sooner than that by
     * hand.
     */
    private static final Duration MOVES = Duration.ofSeconds(2);

    private static final Duration LOOK = Duration.ofMillis(200);
    private static final int LOOKS_PER_TAKEOVER = 5;
    private static final Duration ANSWER = Duration.ofMillis(700);
    private static final int MOST_QUEUED = 64;
    private static final Duration STALE = Duration.ofSeconds(30);

    private final MonotonicClock clock;
    private final BackendRegistry peers;
    private final RelayPipeline chain;
    private final Counts counts;
    private final Bans bans;
    private final Slots slots;
    private final Whole takeover;
    private final Set<String> listed = ConcurrentHashMap.newKeySet();
    private final BlockingQueue<Runnable> calls = new LinkedBlockingQueue<>(MOST_QUEUED);
    private volatile Set<String> avoided = Set.of();
    private volatile String notReady = "starting";
    private final Map<String, Instant> since = new HashMap<>();
    private Set<String> applied = Set.of();
    private int looks;

    /** Slots and folder are null where no process is ever replaced by another beside it. */
    Clerk(
            MonotonicClock clock,
            BackendRegistry peers,
            RelayPipeline chain,
            Counts counts,
            Bans bans,
            Slots slots,
            Path takeover) {
        this.clock = clock;
        this.peers = peers;
        this.chain = chain;
        this.counts = counts;
        this.bans = bans;
        this.slots = slots;
        this.takeover = takeover == null ? null : new Whole(takeover, "takeover 1");
    }

    // ---- what operators ask, on their thread

    @Override
    public String notReady() {
        return notReady;
    }

    @Override
    public String figures() {
        Set<String> left = avoided;
        int known = 0;
        int skipped = 0;
        for (Backend peer : peers.all()) {
            known++;
            skipped += peer.isSuspended() || left.contains(peer.entry().uid()) ? 1 : 0;
        }
        return counts.text(chain.frontends().stream().mapToInt(Frontend::requestCount).sum(), known, skipped);
    }

    @Override
    public CompletionStage<String> suspend(String id) {
        return ban(id, true);
    }

    @Override
    public CompletionStage<String> restore(String id) {
        return ban(id, false);
    }

    private CompletionStage<String> ban(String id, boolean banned) {
        if (!listed.contains(id)) {
            return CompletableFuture.completedFuture("never listed: " + id);
        }
        CompletableFuture<String> answer = new CompletableFuture<>();
        boolean queued =
                calls.offer(
                        () -> {
                            try {
                                bans.set(id, banned);
                                apply();
                                Log.info(
                                        banned ? "backend.suspended" : "backend.restored",
                                        "peer",
                                        id);
                                answer.complete(
                                        !banned && bans.isConfigured(id)
                                                ? "still suspended by configuration: " + id
                                                : null);
                            } catch (IOException failed) {
                                Log.warn("bans.unwritten", "peer", id, "why", failed.getMessage());
                                answer.complete("not kept: " + failed.getMessage());
                            }
                        });
        return queued
                ? answer.completeOnTimeout(
                        "busy, call again", ANSWER.toMillis(), TimeUnit.MILLISECONDS)
                : CompletableFuture.completedFuture("busy, call again");
    }

    // ---- what is told

    /** Null: this process serves; else why not. */
    void ready(String why) {
        notReady = why;
        if (slots != null) {
            try {
                slots.say(
                        why == null
                                ? Slots.Phase.READY
                                : why.equals("leaving")
                                        ? Slots.Phase.LEAVING
                                        : Slots.Phase.STARTING);
            } catch (IOException e) {
                Log.warn("handover.fault", "why", e.getMessage());
            }
        }
    }

    /** These were listed: operators may call them by name, also when they are gone. */
    void listed(HostList list) {
        list.targets().forEach(entry -> listed.add(entry.uid()));
    }

    /** What the process before this one has left, or null. */
    Takeover found() {
        try {
            byte[] bytes = takeover == null ? null : takeover.read();
            Takeover found = bytes == null ? null : Takeover.of(bytes);
            if (found != null && found.at().isBefore(clock.now().minus(STALE))) {
                return null; // of a process that ended long ago
            }
            if (found != null) {
                listed.addAll(found.listed());
            }
            return found;
        } catch (IOException bad) {
            Log.warn("takeover.unreadable", "why", bad.getMessage());
            return null;
        }
    }

    // ---- its own thread

    /** One round: a call, or a look at what the other process has changed. */
    void round() throws InterruptedException {
        Runnable call = calls.poll(LOOK.toMillis(), TimeUnit.MILLISECONDS);
        if (call != null) {
            call.run();
        }
        look();
    }

    /** Looks at what the other process has changed. */
    void look() {
        try {
            bans.refresh();
        } catch (IOException bad) {
            Log.warn("bans.unreadable", "why", bad.getMessage());
        }
        apply();
        moveOff();
        avoided = chain.router().ejectedBackends();
        if (slots == null) {
            return;
        }
        try {
            chain.setDescriptorLimit(slots.share(chain.descriptorsInUse()));
            if (++looks % LOOKS_PER_TAKEOVER == 0 && notReady == null) {
                Instant now = clock.now();
                takeover.write(
                        new Takeover(peers.toBackendList(), now, chain.router().learnedState(), listed).bytes());
            }
        } catch (IOException failed) {
            Log.warn("handover.fault", "why", failed.getMessage());
        }
    }

    /** Tells the module which backends are suspended that were not, or are no more. */
    private synchronized void apply() {
        Set<String> now = bans.all();
        Set<String> before = applied;
        applied = now;
        for (Backend peer : peers.all()) {
            String uid = peer.entry().uid();
            if (now.contains(uid) != before.contains(uid)) {
                chain.router().suspensionChanged(peer);
            }
        }
    }

    /**
     * Clients do not stand where a backend is about to be restarted: they are moved in time, few at
     * once.
     */
    private void moveOff() {
        since.keySet().retainAll(bans.all());
        Instant now = clock.now();
        for (String uid : bans.all()) {
            Instant until = since.computeIfAbsent(uid, any -> now).plus(MOVES);
            Backend peer = peers.find(uid);
            if (peer == null || peer.establishedAttempts().isEmpty()) {
                continue;
            }
            List<Attempt> standing = List.copyOf(peer.establishedAttempts());
            long due = MovePacing.movesPerStep(standing.size(), Duration.between(now, until), LOOK);
            for (int i = 0; i < standing.size() && due > 0; i++) {
                due -= chain.move(standing.get(i), "suspended") ? 1 : 0;
            }
        }
    }

    /** Whether another process serves beside this one. */
    boolean succeeded() {
        try {
            return slots != null && slots.othersServe();
        } catch (IOException e) {
            Log.warn("handover.fault", "why", e.getMessage());
            return false;
        }
    }
}
