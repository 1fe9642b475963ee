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
 * Serves the read API from the configuration that this distributor has in force. A response is
 * encoded once, however many followers receive it. Requests of followers that are up to date wait
 * in one set. A revision counts as confirmed only when a follower names it in a request and its
 * digest agrees. Thread safe; uses no threads or sockets of its own.
 */
public final class DistributorHandler {
    /** The longest time for which a request may wait, in milliseconds. */
    static final long MAX_WAIT_MS = 30_000;

    /** The maximum number of requests that wait at once. */
    static final int MAX_WAITING_REQUESTS = 4_000;

    /** A follower without a request for this time, in milliseconds, is not counted. */
    static final long SILENT_AFTER_MS = MAX_WAIT_MS + 15_000;

    /** The maximum number of followers that transfer a snapshot at once. */
    static final int MAX_SNAPSHOT_TRANSFERS = 16;

    private static final long EXPECTED_TRANSFER_MS = 400;
    private static final long BUSY_RETRY_MS = 500;
    private static final long CHANGES_CACHE_BYTES = 8L << 20;
    private static final long PAGES_CACHE_BYTES = 24L << 20;

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int MISDIRECTED_REQUEST = 421;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Identifies the body of a changes response as long as the newest revision is the same. */
    private record ChangesKey(long after, int limit) {}

    private record PageKey(long digest, ReadRequest.Snapshot request) {}

    /** A waiting request together with its response. */
    private record DueResponse(WaitingRequests.WaitingRequest request, EncodedResponse response) {
        void send() {
            request.response().complete(response);
        }
    }

    private final String name;
    private final String zone;
    private final LongSupplier nowMs;
    private final FollowerRegistry registry = new FollowerRegistry(SILENT_AFTER_MS);
    private final SnapshotAdmission admission =
            new SnapshotAdmission(MAX_SNAPSHOT_TRANSFERS, EXPECTED_TRANSFER_MS);
    private final WaitingRequests waitingRequests = new WaitingRequests(MAX_WAITING_REQUESTS);
    private final SnapshotPager pager = new SnapshotPager();
    private final EncodedBodyCache<ChangesKey> changesBodies =
            new EncodedBodyCache<>(CHANGES_CACHE_BYTES);
    private final EncodedBodyCache<PageKey> pageBodies = new EncodedBodyCache<>(PAGES_CACHE_BYTES);
    private final ChangeHistory history;
    private ConfigurationView view;

    /**
     * Creates a handler.
     *
     * @param name the distributor's name
     * @param zone the distributor's zone, in which followers without a zone are counted
     * @param persisted the configuration that the distributor has persisted; copied
     * @param nowMs a monotonic clock, in milliseconds
     */
    public DistributorHandler(
            String name, String zone, ConfigurationView persisted, LongSupplier nowMs) {
        this.name = name;
        this.zone = zone;
        this.nowMs = nowMs;
        view = copy(persisted);
        history = new ChangeHistory(view.revision(), view.digest());
        registry.advance(view.revision(), nowMs.getAsLong());
    }

    private static ConfigurationView copy(ConfigurationView source) {
        return new ConfigurationView(source.revision(), source.entries().values());
    }

    /** Applies these changes, oldest first, and answers the requests that wait for them. */
    public void applyChanges(List<Change> changes) {
        updateAndWake(
                () -> {
                    for (Change change : changes) {
                        applyChange(change);
                    }
                });
    }

    private void applyChange(Change change) {
        ConfigurationView.Outcome outcome = view.apply(change);
        if (outcome != ConfigurationView.Outcome.APPLIED) {
            throw new IllegalStateException("change " + change.revision() + ": " + outcome);
        }
        history.append(change);
    }

    /** Replaces all entries by those of a snapshot; the view is copied. */
    public void applySnapshot(ConfigurationView snapshot) {
        ConfigurationView copy = copy(snapshot);
        updateAndWake(
                () -> {
                    view = copy;
                    history.reset(copy.revision(), copy.digest());
                });
    }

    private void updateAndWake(Runnable update) {
        List<DueResponse> due = new ArrayList<>();
        synchronized (this) {
            update.run();
            changesBodies.clear();
            registry.advance(view.revision(), nowMs.getAsLong());
            for (WaitingRequests.WaitingRequest waitingRequest : waitingRequests.takeAll()) {
                due.add(new DueResponse(waitingRequest, currentResponse(waitingRequest.request())));
            }
        }
        due.forEach(DueResponse::send);
    }

    /** Answers requests whose wait has expired and drops silent followers; call periodically. */
    public void sweep() {
        List<DueResponse> due = new ArrayList<>();
        synchronized (this) {
            long now = nowMs.getAsLong();
            registry.sweep(now);
            for (WaitingRequests.WaitingRequest waitingRequest : waitingRequests.takeDue(now)) {
                due.add(new DueResponse(waitingRequest, currentResponse(waitingRequest.request())));
            }
        }
        due.forEach(DueResponse::send);
    }

    /**
     * Answers a GET request. Cancelling the returned future ends the wait of the request.
     *
     * @param uri path and query
     * @param client the client's address, which identifies a client that names no follower
     */
    public CompletableFuture<EncodedResponse> handle(String uri, String client) {
        ReadRequest request;
        try {
            request = ReadRequest.parse(uri);
        } catch (MalformedException malformed) {
            return completed(error(BAD_REQUEST, malformed.getMessage(), 0, 0));
        }
        if (request == null) {
            return completed(error(NOT_FOUND, "no such call: " + uri, 0, 0));
        }
        synchronized (this) {
            if (request instanceof ReadRequest.Changes changes) {
                return handleChanges(changes);
            }
            return completed(
                    request instanceof ReadRequest.Snapshot snapshot
                            ? handleSnapshot(snapshot, client)
                            : handleStatus((ReadRequest.Status) request));
        }
    }

    private static CompletableFuture<EncodedResponse> completed(EncodedResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    private static EncodedResponse error(int status, String error, long revision, long retryMs) {
        String body = ConfigurationJson.toJson(new ErrorResponse(error, revision, retryMs));
        return new EncodedResponse(status, utf8(body));
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private CompletableFuture<EncodedResponse> handleChanges(ReadRequest.Changes request) {
        long now = nowMs.getAsLong();
        ChangeHistory.Result result = changesAfter(request);
        String countedZone = request.zone().isEmpty() ? zone : request.zone();
        if (isVerified(result)) {
            registry.confirm(request.follower(), countedZone, request.after(), now);
        } else {
            registry.recordUnverifiedRequest(request.follower(), countedZone, now);
        }
        boolean isUpToDate =
                result instanceof ChangeHistory.Changes found && found.changes().isEmpty();
        return isUpToDate && request.waitMs() > 0
                ? holdRequest(request, now + request.waitMs())
                : completed(encode(request, result));
    }

    private ChangeHistory.Result changesAfter(ReadRequest.Changes request) {
        return history.changesAfter(request.after(), request.digest(), request.limit());
    }

    /** Returns whether the follower's revision is known here or older than the whole history. */
    private static boolean isVerified(ChangeHistory.Result result) {
        return result instanceof ChangeHistory.Changes || result == ChangeHistory.Failure.TRUNCATED;
    }

    private CompletableFuture<EncodedResponse> holdRequest(
            ReadRequest.Changes request, long deadlineMs) {
        WaitingRequests.WaitingRequest waitingRequest = waitingRequests.add(request, deadlineMs);
        if (waitingRequest == null) {
            return completed(error(SERVICE_UNAVAILABLE, ErrorResponse.BUSY, 0, BUSY_RETRY_MS));
        }
        waitingRequest
                .response()
                .whenComplete(
                        (response, cancelled) -> {
                            if (cancelled != null) {
                                removeWaiting(waitingRequest);
                            }
                        });
        return waitingRequest.response();
    }

    private synchronized void removeWaiting(WaitingRequests.WaitingRequest request) {
        waitingRequests.remove(request);
    }

    private EncodedResponse currentResponse(ReadRequest.Changes request) {
        return encode(request, changesAfter(request));
    }

    private EncodedResponse encode(ReadRequest.Changes request, ChangeHistory.Result result) {
        if (result instanceof ChangeHistory.Changes found) {
            ChangesKey key = new ChangesKey(request.after(), request.limit());
            return new EncodedResponse(
                    OK, changesBodies.getOrEncode(key, () -> encode(found.changes())));
        }
        return switch ((ChangeHistory.Failure) result) {
            case DIVERGED -> error(CONFLICT, ErrorResponse.DIVERGED, view.revision(), 0);
            case TRUNCATED -> error(GONE, ErrorResponse.TRUNCATED, view.revision(), 0);
            case BEHIND -> error(MISDIRECTED_REQUEST, ErrorResponse.BEHIND, view.revision(), 0);
        };
    }

    private byte[] encode(List<Change> changes) {
        return utf8(
                ConfigurationJson.toJson(
                        new ChangesResponse(view.revision(), view.digest(), changes)));
    }

    private EncodedResponse handleSnapshot(ReadRequest.Snapshot request, String client) {
        String recipient = request.follower().isEmpty() ? client : request.follower();
        long retryMs = admission.admit(recipient, nowMs.getAsLong());
        if (retryMs > 0) {
            return error(SERVICE_UNAVAILABLE, ErrorResponse.BUSY, 0, retryMs);
        }
        SnapshotPage page = pager.page(view, request.revision(), request.from(), request.limit());
        if (page == null || page.next() == null) {
            admission.finish(recipient);
        }
        if (page == null) {
            return error(GONE, ErrorResponse.TRUNCATED, view.revision(), 0);
        }
        ReadRequest.Snapshot sharedRequest =
                new ReadRequest.Snapshot(page.revision(), request.from(), request.limit(), "");
        PageKey key = new PageKey(page.digest(), sharedRequest);
        return new EncodedResponse(
                OK, pageBodies.getOrEncode(key, () -> utf8(ConfigurationJson.toJson(page))));
    }

    private EncodedResponse handleStatus(ReadRequest.Status request) {
        long measuredRevision = request.revision() == 0 ? view.revision() : request.revision();
        List<DistributorStatus.Zone> zones =
                registry.reports(measuredRevision, nowMs.getAsLong()).stream()
                        .map(DistributorStatus.Zone::of)
                        .toList();
        DistributorStatus status =
                new DistributorStatus(
                        name,
                        view.revision(),
                        ConfigurationJson.formatDigest(view.digest()),
                        measuredRevision,
                        waitingRequests.size(),
                        admission.activeTransfers(),
                        changesBodies.encodingCount() + pageBodies.encodingCount(),
                        zones);
        try {
            return new EncodedResponse(OK, GroupCodec.jsonMapper().writeValueAsBytes(status));
        } catch (JsonProcessingException failure) {
            throw new IllegalStateException(failure);
        }
    }

    /** Returns which revisions the followers have confirmed, by zone. */
    public synchronized List<ZoneConfirmations> confirmations() {
        return registry.reports(nowMs.getAsLong());
    }

    /** Returns the newest revision that is served. */
    public synchronized long revision() {
        return view.revision();
    }
}
