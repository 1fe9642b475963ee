package saltstage.configuration.follower;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import saltstage.configuration.Change;
import saltstage.configuration.ConfigurationLimits;
import saltstage.configuration.ConfigurationView;

/**
 * A follower that requests its configuration from sources over HTTP. It performs the effects of
 * {@link FollowerState} and posts the results to it as events. It has no thread of its own: events
 * are processed one at a time, on one of the threads that post them. Thread safe.
 */
public final class ConfigurationClient implements AutoCloseable {
    /** The maximum size of the body of a response with changes, in bytes. */
    static final int MAX_CHANGES_BODY_BYTES = 8 * ConfigurationLimits.RESPONSE_BYTES_THRESHOLD;

    /** The maximum size of the body of a snapshot page, in bytes. */
    static final int MAX_PAGE_BODY_BYTES = 16 << 20;

    /** How long a source may take to respond after the requested wait has ended. */
    static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(2);

    /** How long a source may take to respond with a snapshot page. */
    static final Duration PAGE_TIMEOUT = Duration.ofSeconds(10);

    private final FollowerOptions options;
    private final FollowerResources resources;
    private final ConfigurationPersistence persistence;
    private final FollowerListener listener;
    private final SourceRequestBuilder requestBuilder;
    private final FollowerState state;
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private boolean processingTasks;
    private CompletableFuture<?> pendingRequest;
    private Future<?> retryTimer;
    private Future<?> preferredTimer;
    private volatile long revision;
    private volatile URI source;
    private volatile Instant confirmedAt;

    /**
     * Creates a follower without starting it.
     *
     * @param initialView the durable, applied view; owned by this follower from now on
     */
    public ConfigurationClient(
            FollowerOptions options,
            FollowerResources resources,
            ConfigurationPersistence persistence,
            ConfigurationView initialView,
            FollowerListener listener) {
        this.options = options;
        this.resources = resources;
        this.persistence = persistence;
        this.listener = listener;
        requestBuilder = new SourceRequestBuilder(options);
        revision = initialView.revision();
        source = options.sources().get(0);
        state =
                new FollowerState(
                        options.sources().size(),
                        ConfigurationLimits.MAX_ENTRIES,
                        options.timings(),
                        resources.random(),
                        initialView);
    }

    /** Starts to send requests; must be called once. */
    public void start() {
        enqueue(() -> perform(state.start()));
    }

    /**
     * Stops the follower. No request is sent and no listener called after the current call ends.
     */
    @Override
    public void close() {
        post(new FollowerEvent.Stopped());
    }

    /** The newest revision that is durable and applied. */
    public long revision() {
        return revision;
    }

    /** The source of the last request. */
    public URI source() {
        return source;
    }

    /** When a source last confirmed that it has nothing newer; null if never since the start. */
    public Instant confirmedAt() {
        return confirmedAt;
    }

    private void post(FollowerEvent event) {
        enqueue(() -> handleEvent(event));
    }

    private void enqueue(Runnable task) {
        synchronized (tasks) {
            tasks.add(task);
            if (processingTasks) {
                return;
            }
            processingTasks = true;
        }
        for (Runnable next = nextTask(); next != null; next = nextTask()) {
            runGuarded(next);
        }
    }

    /**
     * Runs a task and reports its exception, so that a failing listener does not stop the follower.
     */
    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException fault) {
            listener.faultOccurred(fault);
        }
    }

    private Runnable nextTask() {
        synchronized (tasks) {
            Runnable next = tasks.poll();
            processingTasks = next != null;
            return next;
        }
    }

    private void handleEvent(FollowerEvent event) {
        perform(state.handle(event));
        if (event instanceof FollowerEvent.Stopped) {
            cancel(retryTimer);
            cancel(preferredTimer);
        }
    }

    private static void cancel(Future<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void perform(List<FollowerEffect> effects) {
        for (FollowerEffect effect : effects) {
            runGuarded(() -> perform(effect));
        }
    }

    private void perform(FollowerEffect effect) {
        if (effect instanceof FollowerEffect.RequestChanges changes) {
            request(changes);
        } else if (effect instanceof FollowerEffect.RequestSnapshotPage page) {
            request(page);
        } else if (effect instanceof FollowerEffect.CancelRequest) {
            pendingRequest.cancel(true);
        } else if (effect instanceof FollowerEffect.WriteChanges write) {
            scheduleWrite(write.write(), () -> persistence.write(write.changes()));
        } else if (effect instanceof FollowerEffect.WriteSnapshot write) {
            scheduleWrite(write.write(), () -> persistence.replace(write.view()));
        } else if (effect instanceof FollowerEffect.ScheduleRetry retry) {
            retryTimer = schedule(retry.delay(), new FollowerEvent.RetryDue(retry.timer()));
        } else if (effect instanceof FollowerEffect.SchedulePreferredSourceRetry preferred) {
            preferredTimer =
                    schedule(
                            preferred.delay(),
                            new FollowerEvent.PreferredSourceRetryDue(preferred.timer()));
        } else {
            notifyListener(effect);
        }
    }

    private void notifyListener(FollowerEffect effect) {
        if (effect instanceof FollowerEffect.ChangesApplied applied) {
            List<Change> changes = applied.changes();
            listener.changesApplied(changes);
            revision = changes.get(changes.size() - 1).revision();
        } else if (effect instanceof FollowerEffect.SnapshotApplied applied) {
            listener.snapshotApplied(applied.view());
            revision = applied.view().revision();
        } else if (effect instanceof FollowerEffect.Confirmed confirmed) {
            handleConfirmed(confirmed.revision());
        } else if (effect instanceof FollowerEffect.SourceConnected connected) {
            listener.sourceConnected(options.sources().get(connected.source()));
        } else if (effect instanceof FollowerEffect.SourceFailover failover) {
            listener.sourceFailedOver(
                    options.sources().get(failover.source()),
                    options.sources().get(failover.next()),
                    failover.reason());
        } else if (effect instanceof FollowerEffect.WritePostponed postponed) {
            listener.writePostponed(postponed.reason());
        }
    }

    private void handleConfirmed(long confirmedRevision) {
        Instant now = resources.clock().instant();
        confirmedAt = now;
        resources.writer().execute(() -> persistConfirmation(now));
        listener.revisionConfirmed(confirmedRevision);
    }

    private void persistConfirmation(Instant time) {
        try {
            persistence.recordConfirmation(time);
        } catch (IOException | RuntimeException failure) {
            // A lost confirmation affects only the age that is reported after a restart.
            enqueue(() -> listener.writePostponed("confirmation: " + failure.getMessage()));
        }
    }

    private Future<?> schedule(Duration delay, FollowerEvent event) {
        return resources
                .scheduler()
                .schedule(() -> post(event), delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void request(FollowerEffect.RequestChanges changes) {
        source = options.sources().get(changes.source());
        long startNs = System.nanoTime();
        send(
                changes.request(),
                requestBuilder.build(changes),
                MAX_CHANGES_BODY_BYTES,
                changes.pollWait().plus(RESPONSE_TIMEOUT),
                response ->
                        SourceResponseParser.parseChanges(
                                changes.request(),
                                response,
                                Duration.ofNanos(System.nanoTime() - startNs)));
    }

    private void request(FollowerEffect.RequestSnapshotPage page) {
        send(
                page.request(),
                requestBuilder.build(page),
                MAX_PAGE_BODY_BYTES,
                PAGE_TIMEOUT,
                response -> SourceResponseParser.parseSnapshotPage(page.request(), response));
    }

    private void send(
            long requestId,
            HttpRequest request,
            int maxBodyBytes,
            Duration timeout,
            Function<HttpResponse<byte[]>, FollowerEvent> reader) {
        CompletableFuture<HttpResponse<byte[]>> pending =
                resources
                        .http()
                        .sendAsync(
                                request, responseInfo -> new BoundedBodySubscriber(maxBodyBytes));
        pendingRequest = pending;
        // This timeout covers the whole response; HttpRequest's own timeout covers only its
        // headers.
        Future<?> deadline =
                resources
                        .scheduler()
                        .schedule(
                                () -> timeOut(requestId, pending, timeout),
                                timeout.toMillis(),
                                TimeUnit.MILLISECONDS);
        pending.whenComplete(
                (response, failure) -> {
                    deadline.cancel(false);
                    post(
                            failure == null
                                    ? reader.apply(response)
                                    : failureEvent(requestId, failure));
                });
    }

    private void timeOut(long requestId, CompletableFuture<?> pending, Duration timeout) {
        post(
                new FollowerEvent.RequestFailed(
                        requestId, "no answer within " + timeout.toMillis() + " ms"));
        pending.cancel(true);
    }

    private static FollowerEvent failureEvent(long requestId, Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null
                        ? failure.getCause()
                        : failure;
        String reason =
                cause instanceof CancellationException || cause.getMessage() == null
                        ? cause.getClass().getSimpleName()
                        : cause.getMessage();
        return new FollowerEvent.RequestFailed(requestId, reason);
    }

    /** A write that blocks until it is durable. */
    private interface WriteOperation {
        void run() throws IOException;
    }

    private void scheduleWrite(long writeId, WriteOperation write) {
        resources.writer().execute(() -> post(executeWrite(writeId, write)));
    }

    private static FollowerEvent executeWrite(long writeId, WriteOperation write) {
        try {
            write.run();
            return new FollowerEvent.WriteCompleted(writeId);
        } catch (IOException | RuntimeException failure) {
            return new FollowerEvent.WriteFailed(writeId, String.valueOf(failure.getMessage()));
        }
    }
}
