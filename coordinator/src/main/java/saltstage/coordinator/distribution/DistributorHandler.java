package saltstage.coordinator.distribution;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import saltstage.configuration.Change;
import saltstage.configuration.ChangeHistory;
import saltstage.configuration.ChangesResponse;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.ConfigurationView;
import saltstage.configuration.ErrorResponse;
import saltstage.configuration.SnapshotPage;
import saltstage.configuration.SnapshotPager;
import saltstage.coordinator.group.GroupCodec;
import saltstage.wire.MalformedException;

/**
 * Serves the read API from what this distributor has in force itself. An answer is encoded once,
 * however many followers get it; requests that have nothing to get wait in one set. Whatever a
 * follower says it has counts as confirmed once its digest agrees, and nothing else does. Thread
 * safe; without threads and sockets of its own.
 */
public final class DistributorHandler {
    /** A request may wait for so long at most, in milliseconds. */
    static final long MOST_WAIT_MS = 30_000;

    /** So many requests may wait at once. */
    static final int MOST_WAITING = 4_000;

    /** A follower that has not been heard for so long, in milliseconds, is not counted. */
    static final long SILENT_AFTER_MS = MOST_WAIT_MS + 15_000;

    /** So many followers may take a snapshot at once. */
    static final int MOST_SNAPSHOTS = 16;

    private static final long SNAPSHOT_MS = 400;
    private static final long BUSY_RETRY_MS = 500;
    private static final long CHANGES_CACHE_BYTES = 8L << 20;
    private static final long PAGES_CACHE_BYTES = 24L << 20;

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int DIVERGED = 409;
    private static final int TRUNCATED = 410;
    private static final int BEHIND = 421;
    private static final int BUSY = 503;

    /** What the body of a changes answer depends on while the newest revision stays. */
    private record ChangesKey(long after, int limit) {}

    private record PageKey(long digest, ReadRequest.Snapshot request) {}

    /** A waiting request together with what it is answered. */
    private record Due(WaitingRequests.Waiting waiting, HttpAnswer answer) {
        void send() {
            waiting.answer().complete(answer);
        }
    }

    private final String name;
    private final String zone;
    private final LongSupplier nowMs;
    private final FollowerRegistry registry = new FollowerRegistry(SILENT_AFTER_MS);
    private final SnapshotAdmission admission = new SnapshotAdmission(MOST_SNAPSHOTS, SNAPSHOT_MS);
    private final WaitingRequests waiting = new WaitingRequests(MOST_WAITING);
    private final SnapshotPager pager = new SnapshotPager();
    private final EncodedBodies<ChangesKey> changesBodies =
            new EncodedBodies<>(CHANGES_CACHE_BYTES);
    private final EncodedBodies<PageKey> pageBodies = new EncodedBodies<>(PAGES_CACHE_BYTES);
    private final ChangeHistory history;
    private ConfigurationView view;

    /**
     * A handler.
     *
     * @param name the distributor's
     * @param zone its zone, that followers count in which name none
     * @param held what the distributor has on its disk; copied
     * @param nowMs a monotonic clock, milliseconds
     */
    public DistributorHandler(
            String name, String zone, ConfigurationView held, LongSupplier nowMs) {
        this.name = name;
        this.zone = zone;
        this.nowMs = nowMs;
        view = copy(held);
        history = new ChangeHistory(view.revision(), view.digest());
        registry.advance(view.revision(), nowMs.getAsLong());
    }

    private static ConfigurationView copy(ConfigurationView of) {
        return new ConfigurationView(of.revision(), of.entries().values());
    }

    // ---- what comes into force

    /** Serves these changes from now on and wakes whoever waits for them; oldest first. */
    public void changesInForce(List<Change> changes) {
        wake(
                () -> {
                    for (Change change : changes) {
                        apply(change);
                    }
                });
    }

    private void apply(Change change) {
        ConfigurationView.Outcome outcome = view.apply(change);
        if (outcome != ConfigurationView.Outcome.APPLIED) {
            throw new IllegalStateException("change " + change.revision() + ": " + outcome);
        }
        history.append(change);
    }

    /** Serves these entries in place of all before; the view is copied. */
    public void snapshotInForce(ConfigurationView snapshot) {
        ConfigurationView copy = copy(snapshot);
        wake(
                () -> {
                    view = copy;
                    history.reset(copy.revision(), copy.digest());
                });
    }

    private void wake(Runnable update) {
        List<Due> due = new ArrayList<>();
        synchronized (this) {
            update.run();
            changesBodies.clear();
            registry.advance(view.revision(), nowMs.getAsLong());
            for (WaitingRequests.Waiting one : waiting.takeAll()) {
                due.add(new Due(one, answerNow(one.request())));
            }
        }
        due.forEach(Due::send);
    }

    /** Answers those whose wait is over and drops silent followers; to be called now and then. */
    public void sweep() {
        List<Due> due = new ArrayList<>();
        synchronized (this) {
            long now = nowMs.getAsLong();
            registry.sweep(now);
            for (WaitingRequests.Waiting one : waiting.takeDue(now)) {
                due.add(new Due(one, answerNow(one.request())));
            }
        }
        due.forEach(Due::send);
    }

    // ---- requests

    /**
     * Answers a GET; a cancelled answer is not waited for any more.
     *
     * @param uri path and query
     * @param client who asks, where the request does not say: its address
     */
    public CompletableFuture<HttpAnswer> handle(String uri, String client) {
        ReadRequest request;
        try {
            request = ReadRequest.parse(uri);
        } catch (MalformedException malformed) {
            return done(error(BAD_REQUEST, malformed.getMessage(), 0, 0));
        }
        if (request == null) {
            return done(error(NOT_FOUND, "no such call: " + uri, 0, 0));
        }
        synchronized (this) {
            if (request instanceof ReadRequest.Changes changes) {
                return changes(changes);
            }
            return done(
                    request instanceof ReadRequest.Snapshot snapshot
                            ? snapshot(snapshot, client)
                            : status((ReadRequest.Status) request));
        }
    }

    private static CompletableFuture<HttpAnswer> done(HttpAnswer answer) {
        return CompletableFuture.completedFuture(answer);
    }

    private static HttpAnswer error(int status, String error, long revision, long retryMs) {
        String body = ConfigurationJson.text(new ErrorResponse(error, revision, retryMs));
        return new HttpAnswer(status, utf8(body));
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private CompletableFuture<HttpAnswer> changes(ReadRequest.Changes request) {
        long now = nowMs.getAsLong();
        ChangeHistory.Answer answer = after(request);
        String countedIn = request.zone().isEmpty() ? zone : request.zone();
        if (isVerified(answer)) {
            registry.confirm(request.follower(), countedIn, request.after(), now);
        } else {
            registry.hear(request.follower(), countedIn, now);
        }
        boolean isNewest = answer instanceof ChangeHistory.Changes some && some.changes().isEmpty();
        return isNewest && request.waitMs() > 0
                ? hold(request, now + request.waitMs())
                : done(encode(request, answer));
    }

    private ChangeHistory.Answer after(ReadRequest.Changes request) {
        return history.after(request.after(), request.digest(), request.limit());
    }

    /** Whether what the follower says it has is known here, or is at least older than all here. */
    private static boolean isVerified(ChangeHistory.Answer answer) {
        return answer instanceof ChangeHistory.Changes || answer == ChangeHistory.Refusal.TRUNCATED;
    }

    private CompletableFuture<HttpAnswer> hold(ReadRequest.Changes request, long untilMs) {
        WaitingRequests.Waiting held = waiting.add(request, untilMs);
        if (held == null) {
            return done(error(BUSY, ErrorResponse.BUSY, 0, BUSY_RETRY_MS));
        }
        held.answer()
                .whenComplete(
                        (answer, cancelled) -> {
                            if (cancelled != null) {
                                forget(held);
                            }
                        });
        return held.answer();
    }

    private synchronized void forget(WaitingRequests.Waiting gone) {
        waiting.remove(gone);
    }

    private HttpAnswer answerNow(ReadRequest.Changes request) {
        return encode(request, after(request));
    }

    private HttpAnswer encode(ReadRequest.Changes request, ChangeHistory.Answer answer) {
        if (answer instanceof ChangeHistory.Changes some) {
            ChangesKey key = new ChangesKey(request.after(), request.limit());
            return new HttpAnswer(OK, changesBodies.get(key, () -> encode(some.changes())));
        }
        return switch ((ChangeHistory.Refusal) answer) {
            case DIVERGED -> error(DIVERGED, ErrorResponse.DIVERGED, view.revision(), 0);
            case TRUNCATED -> error(TRUNCATED, ErrorResponse.TRUNCATED, view.revision(), 0);
            case BEHIND -> error(BEHIND, ErrorResponse.BEHIND, view.revision(), 0);
        };
    }

    private byte[] encode(List<Change> changes) {
        return utf8(
                ConfigurationJson.text(
                        new ChangesResponse(view.revision(), view.digest(), changes)));
    }

    private HttpAnswer snapshot(ReadRequest.Snapshot request, String client) {
        String taker = request.follower().isEmpty() ? client : request.follower();
        long retryMs = admission.admit(taker, nowMs.getAsLong());
        if (retryMs > 0) {
            return error(BUSY, ErrorResponse.BUSY, 0, retryMs);
        }
        SnapshotPage page = pager.page(view, request.revision(), request.from(), request.limit());
        if (page == null || page.next() == null) {
            admission.finish(taker);
        }
        if (page == null) {
            return error(TRUNCATED, ErrorResponse.TRUNCATED, view.revision(), 0);
        }
        ReadRequest.Snapshot same =
                new ReadRequest.Snapshot(page.revision(), request.from(), request.limit(), "");
        PageKey key = new PageKey(page.digest(), same);
        return new HttpAnswer(OK, pageBodies.get(key, () -> utf8(ConfigurationJson.text(page))));
    }

    private HttpAnswer status(ReadRequest.Status request) {
        long asked = request.revision() == 0 ? view.revision() : request.revision();
        List<DistributorStatus.Zone> zones =
                registry.reports(asked, nowMs.getAsLong()).stream()
                        .map(DistributorStatus.Zone::of)
                        .toList();
        DistributorStatus status =
                new DistributorStatus(
                        name,
                        view.revision(),
                        ConfigurationJson.text(view.digest()),
                        asked,
                        waiting.size(),
                        admission.transfers(),
                        changesBodies.encodings() + pageBodies.encodings(),
                        zones);
        try {
            return new HttpAnswer(OK, GroupCodec.jsonMapper().writeValueAsBytes(status));
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    // ---- for the leader

    /** What followers have confirmed, by zone. */
    public synchronized List<ZoneConfirmations> confirmations() {
        return registry.reports(nowMs.getAsLong());
    }

    /** The newest revision that is served. */
    public synchronized long revision() {
        return view.revision();
    }
}
