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
import java.util.function.Consumer;
import saltstage.admin.OperatorService;
import saltstage.handover.AtomicFile;
import saltstage.handover.ProcessSlots;
import saltstage.handover.Suspensions;
import saltstage.log.Log;
import saltstage.metrics.RequestCounters;
import saltstage.persistence.Takeover;
import saltstage.session.Attempt;
import saltstage.session.Backend;
import saltstage.session.BackendRegistry;
import saltstage.session.MonotonicClock;
import saltstage.stage.Frontend;
import saltstage.stage.MovePacing;
import saltstage.stage.RelayPipeline;
import saltstage.wire.BackendList;

/**
 * Performs on one thread the work for operators that takes a file or the load balancer's lock:
 * suspensions, the takeover file for the other process of this relay, and this process's share of
 * the descriptors. Calls for metrics read the state of the last poll.
 */
final class RelayOperations implements OperatorService {
    /**
     * The period over which clients are moved off a suspended backend: long enough not to flood the
     * other backends, and shorter than an operator takes to restart a machine.
     */
    private static final Duration MOVE_PERIOD = Duration.ofSeconds(2);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);
    private static final int POLLS_PER_TAKEOVER_WRITE = 5;
    private static final long NO_REVISION = -1;
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(700);
    private static final int MAX_QUEUED_CALLS = 64;
    private static final Duration MAX_TAKEOVER_AGE = Duration.ofSeconds(30);

    private final MonotonicClock clock;
    private final BackendRegistry backends;
    private final RelayPipeline pipeline;
    private final RequestCounters counters;
    private final Suspensions suspensions;
    private final ProcessSlots slots;
    private final AtomicFile takeoverFile;
    private final Consumer<BackendList> otherProcessListListener;
    private final Set<String> knownBackendIds = ConcurrentHashMap.newKeySet();
    private final BlockingQueue<Runnable> queuedCalls = new LinkedBlockingQueue<>(MAX_QUEUED_CALLS);
    private volatile Set<String> ejectedBackendIds = Set.of();
    private volatile String notReadyReason = "starting";
    private final Map<String, Instant> suspendedSince = new HashMap<>();
    private Set<String> appliedSuspensions = Set.of();
    private int polls;

    /**
     * {@code slots} and {@code takeoverPath} are null where no process takes over from another that
     * still runs; {@code otherProcessListListener} receives the newer lists of the other process.
     */
    RelayOperations(
            MonotonicClock clock,
            BackendRegistry backends,
            RelayPipeline pipeline,
            RequestCounters counters,
            Suspensions suspensions,
            ProcessSlots slots,
            Path takeoverPath,
            Consumer<BackendList> otherProcessListListener) {
        this.clock = clock;
        this.backends = backends;
        this.pipeline = pipeline;
        this.counters = counters;
        this.suspensions = suspensions;
        this.slots = slots;
        this.takeoverFile =
                takeoverPath == null ? null : new AtomicFile(takeoverPath, "takeover 1");
        this.otherProcessListListener = otherProcessListListener;
    }

    @Override
    public String notReadyReason() {
        return notReadyReason;
    }

    @Override
    public String metrics() {
        Set<String> ejected = ejectedBackendIds;
        int known = 0;
        int skipped = 0;
        for (Backend backend : backends.all()) {
            known++;
            skipped += backend.isSuspended() || ejected.contains(backend.entry().uid()) ? 1 : 0;
        }
        return counters.format(
                pipeline.frontends().stream().mapToInt(Frontend::requestCount).sum(),
                known,
                skipped);
    }

    @Override
    public CompletionStage<String> suspend(String id) {
        return setSuspended(id, true);
    }

    @Override
    public CompletionStage<String> restore(String id) {
        return setSuspended(id, false);
    }

    private CompletionStage<String> setSuspended(String id, boolean suspended) {
        if (!knownBackendIds.contains(id)) {
            return CompletableFuture.completedFuture("never listed: " + id);
        }
        CompletableFuture<String> answer = new CompletableFuture<>();
        boolean queued =
                queuedCalls.offer(
                        () -> {
                            try {
                                suspensions.setSuspended(id, suspended);
                                applySuspensions();
                                Log.info(
                                        suspended ? "backend.suspended" : "backend.restored",
                                        "peer",
                                        id);
                                answer.complete(
                                        !suspended && suspensions.isSuspendedByConfiguration(id)
                                                ? "still suspended by configuration: " + id
                                                : null);
                            } catch (IOException failure) {
                                Log.warn("bans.unwritten", "peer", id, "why", failure.getMessage());
                                answer.complete("not kept: " + failure.getMessage());
                            }
                        });
        return queued
                ? answer.completeOnTimeout(
                        "busy, call again", ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                : CompletableFuture.completedFuture("busy, call again");
    }

    /** Sets why this process does not serve; null if it serves. */
    void setNotReadyReason(String reason) {
        notReadyReason = reason;
        if (slots != null) {
            try {
                slots.setPhase(
                        reason == null
                                ? ProcessSlots.Phase.READY
                                : reason.equals("leaving")
                                        ? ProcessSlots.Phase.LEAVING
                                        : ProcessSlots.Phase.STARTING);
            } catch (IOException e) {
                Log.warn("handover.fault", "why", e.getMessage());
            }
        }
    }

    /**
     * Remembers the ids of the listed backends: operators may suspend them even when they are gone.
     */
    void backendListReceived(BackendList list) {
        list.entries().forEach(entry -> knownBackendIds.add(entry.uid()));
    }

    /** Returns the state that the predecessor of this process left, or null. */
    Takeover readTakeover() {
        try {
            byte[] bytes = takeoverFile == null ? null : takeoverFile.read();
            Takeover takeover = bytes == null ? null : Takeover.fromBytes(bytes);
            if (takeover != null
                    && takeover.writtenAt().isBefore(clock.now().minus(MAX_TAKEOVER_AGE))) {
                return null; // written by a process that ended long ago
            }
            if (takeover != null) {
                knownBackendIds.addAll(takeover.knownBackendIds());
            }
            return takeover;
        } catch (IOException failure) {
            Log.warn("takeover.unreadable", "why", failure.getMessage());
            return null;
        }
    }

    /** Runs at most one operator call, then polls. */
    void runOnce() throws InterruptedException {
        Runnable call = queuedCalls.poll(POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        if (call != null) {
            call.run();
        }
        poll();
    }

    /**
     * Applies what the other process of this relay has changed, and writes the takeover file for
     * it.
     */
    void poll() {
        try {
            suspensions.refresh();
        } catch (IOException failure) {
            Log.warn("bans.unreadable", "why", failure.getMessage());
        }
        applySuspensions();
        moveClientsOffSuspended();
        ejectedBackendIds = pipeline.router().ejectedBackends();
        if (slots == null) {
            return;
        }
        try {
            pipeline.setDescriptorLimit(slots.updateDescriptorBudget(pipeline.descriptorsInUse()));
            boolean isWriteDue = ++polls % POLLS_PER_TAKEOVER_WRITE == 0 && notReadyReason == null;
            if (isWriteDue || slots.hasOtherProcess() && !exchangeList()) {
                writeTakeover();
            }
        } catch (IOException failure) {
            Log.warn("handover.fault", "why", failure.getMessage());
        }
    }

    /**
     * Applies the list in the takeover file if it is newer than this process's.
     *
     * @return false if the file has an older list than this process, which the other one must learn
     */
    private boolean exchangeList() {
        Takeover takeover = readTakeover();
        long otherRevision = takeover == null ? NO_REVISION : takeover.list().revision();
        if (otherRevision > backends.revision()) {
            otherProcessListListener.accept(takeover.list());
        }
        return otherRevision >= backends.revision();
    }

    private void writeTakeover() throws IOException {
        Takeover takeover =
                new Takeover(
                        backends.toBackendList(),
                        clock.now(),
                        pipeline.router().learnedState(),
                        knownBackendIds);
        takeoverFile.write(takeover.toBytes());
    }

    /** Reports each backend whose suspension began or ended to the load balancer. */
    private synchronized void applySuspensions() {
        Set<String> current = suspensions.all();
        Set<String> previous = appliedSuspensions;
        appliedSuspensions = current;
        for (Backend backend : backends.all()) {
            String backendId = backend.entry().uid();
            if (current.contains(backendId) != previous.contains(backendId)) {
                pipeline.router().suspensionChanged(backend);
            }
        }
    }

    /**
     * Moves clients off suspended backends, as such a backend is about to be restarted. Only a few
     * clients are moved at once.
     */
    private void moveClientsOffSuspended() {
        suspendedSince.keySet().retainAll(suspensions.all());
        Instant now = clock.now();
        for (String backendId : suspensions.all()) {
            Instant until = suspendedSince.computeIfAbsent(backendId, key -> now).plus(MOVE_PERIOD);
            Backend backend = backends.find(backendId);
            if (backend == null || backend.establishedAttempts().isEmpty()) {
                continue;
            }
            List<Attempt> established = List.copyOf(backend.establishedAttempts());
            long movesDue =
                    MovePacing.movesPerStep(
                            established.size(), Duration.between(now, until), POLL_INTERVAL);
            for (int i = 0; i < established.size() && movesDue > 0; i++) {
                movesDue -= pipeline.move(established.get(i), "suspended") ? 1 : 0;
            }
        }
    }

    /** Whether another process serves beside this one. */
    boolean hasSuccessor() {
        try {
            return slots != null && slots.isOtherProcessReady();
        } catch (IOException e) {
            Log.warn("handover.fault", "why", e.getMessage());
            return false;
        }
    }
}
