package saltstage.coordinator.api;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import saltstage.configuration.ChangeHistory;
import saltstage.configuration.ChangesResponse;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.ConfigurationLimits;
import saltstage.configuration.EntryKey;
import saltstage.configuration.ErrorResponse;
import saltstage.configuration.SnapshotPage;
import saltstage.configuration.SnapshotPager;
import saltstage.coordinator.configuration.ConfigurationRegistry;
import saltstage.coordinator.configuration.FollowerReport;
import saltstage.coordinator.configuration.FollowerReports;
import saltstage.coordinator.group.GroupCodec;
import saltstage.coordinator.group.GroupState;
import saltstage.coordinator.replica.Replica;
import saltstage.wire.MalformedException;

/**
 * The read API of the configuration. Any replica answers requests for changes and snapshots from
 * its own state, because their digests protect followers. Status, reports and history are answered
 * by the leader.
 */
final class ConfigurationRoutes {
    /**
     * The longest delay of a response; below the time within which each request must be answered.
     */
    private static final long MAX_WAIT_MS = 3_000;

    /** Further requests for snapshot pages are rejected as busy while this many are in progress. */
    private static final int MAX_CONCURRENT_SNAPSHOT_PAGES = 8;

    private static final long BUSY_RETRY_DELAY_MS = 250;
    private static final long MAX_REVISION = 999_999_999_999_999L;
    private static final int DEFAULT_HISTORY_LIMIT = 100;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int MISDIRECTED_REQUEST = 421;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** The response to a status request. The component names are part of the JSON. */
    record Status(long revision, String digest, long asked, List<FollowerReports.Zone> zones) {}

    /** The revision and digest that a follower has, and the limits of its request. */
    private record ChangesQuery(long revision, long digest, int limit, long deadlineNanos) {}

    /** The changes for a follower, and the newest revision and digest when they were read. */
    private record ChangesResult(ChangeHistory.Result answer, long revision, long digest) {
        boolean isEmpty() {
            return answer instanceof ChangeHistory.Changes found && found.changes().isEmpty();
        }
    }

    private final Replica replica;
    private final RevisionWatch revisionWatch;
    private final SnapshotPager pager = new SnapshotPager(); // used only on the replica's thread
    private final AtomicInteger activeSnapshotPages = new AtomicInteger();
    private final FollowerReports reports = new FollowerReports(); // guarded by itself

    ConfigurationRoutes(Replica replica) {
        this.replica = replica;
        revisionWatch =
                new RevisionWatch(
                        new RevisionWatch.RevisionSource() {
                            @Override
                            public boolean onNextChange(Runnable listener) {
                                return replica.onNextChange(listener);
                            }

                            @Override
                            public CompletableFuture<Long> revision() {
                                return replica.read(
                                        state -> state.configuration().revision(), true);
                            }
                        });
    }

    Map<String, Route> routes() {
        return Map.of(
                "GET /v1/configuration/changes", this::changes,
                "GET /v1/configuration/snapshot", this::snapshot,
                "GET /v1/configuration/status", this::status,
                "GET /v1/configuration/history", this::history,
                "POST /v1/configuration/reports", this::receiveReport);
    }

    private CompletableFuture<ApiResponse> changes(ApiRequest request) {
        long revision = request.integerParameter("after", 0, MAX_REVISION);
        long digest = parseDigest(request.parameter("digest", revision == 0 ? emptyDigest() : ""));
        int maximum = ConfigurationLimits.MAX_CHANGES_PER_RESPONSE;
        int limit = (int) request.integerParameter("limit", maximum, maximum);
        long waitMs = Math.min(MAX_WAIT_MS, request.integerParameter("waitMs", 0, MAX_REVISION));
        return readOrAwaitChanges(
                        new ChangesQuery(
                                revision, digest, limit, StateChanges.deadlineNanos(waitMs)))
                .thenApplyAsync(ConfigurationRoutes::toResponse);
    }

    private static String emptyDigest() {
        return ConfigurationJson.formatDigest(0L);
    }

    private static long parseDigest(String text) {
        try {
            return ConfigurationJson.parseDigest(text, "'digest'");
        } catch (MalformedException malformed) {
            throw new BadRequestException(malformed.getMessage());
        }
    }

    private CompletableFuture<ChangesResult> readOrAwaitChanges(ChangesQuery query) {
        return replica.read(state -> readChanges(state.configuration(), query), true)
                .thenCompose(
                        result ->
                                result.isEmpty()
                                        ? awaitChanges(query, result)
                                        : CompletableFuture.completedFuture(result));
    }

    private static ChangesResult readChanges(
            ConfigurationRegistry configuration, ChangesQuery query) {
        return new ChangesResult(
                configuration.changesAfter(query.revision(), query.digest(), query.limit()),
                configuration.revision(),
                configuration.digest());
    }

    private CompletableFuture<ChangesResult> awaitChanges(ChangesQuery query, ChangesResult empty) {
        return revisionWatch
                .awaitRevisionAfter(query.revision(), query.deadlineNanos())
                .thenCompose(
                        advanced ->
                                advanced
                                        ? readOrAwaitChanges(query)
                                        : CompletableFuture.completedFuture(empty));
    }

    private static ApiResponse toResponse(ChangesResult result) {
        if (result.answer() instanceof ChangeHistory.Changes found) {
            ChangesResponse body =
                    new ChangesResponse(result.revision(), result.digest(), found.changes());
            return ApiResponse.ok(new RawJson(ConfigurationJson.toJson(body)));
        }
        return switch ((ChangeHistory.Failure) result.answer()) {
            case DIVERGED -> errorResponse(CONFLICT, ErrorResponse.DIVERGED, result.revision(), 0);
            case TRUNCATED -> errorResponse(GONE, ErrorResponse.TRUNCATED, result.revision(), 0);
            case BEHIND ->
                    errorResponse(MISDIRECTED_REQUEST, ErrorResponse.BEHIND, result.revision(), 0);
        };
    }

    private static ApiResponse errorResponse(
            int status, String error, long revision, long retryMs) {
        ErrorResponse body = new ErrorResponse(error, revision, retryMs);
        return new ApiResponse(status, new RawJson(ConfigurationJson.toJson(body)));
    }

    private CompletableFuture<ApiResponse> snapshot(ApiRequest request) {
        long revision = request.integerParameter("revision", SnapshotPager.NEWEST, MAX_REVISION);
        int maximum = ConfigurationLimits.MAX_ENTRIES_PER_PAGE;
        int limit = (int) request.integerParameter("limit", maximum, maximum);
        EntryKey from = parseKey(request.parameter("from", ""));
        boolean current = request.integerParameter("current", 0, 1) == 1;
        if (activeSnapshotPages.incrementAndGet() > MAX_CONCURRENT_SNAPSHOT_PAGES) {
            activeSnapshotPages.decrementAndGet();
            return CompletableFuture.completedFuture(
                    errorResponse(SERVICE_UNAVAILABLE, ErrorResponse.BUSY, 0, BUSY_RETRY_DELAY_MS));
        }
        return replica.read(state -> readPage(state, revision, from, limit), !current)
                .thenApplyAsync(SnapshotPageResult::toResponse)
                .whenComplete((response, failure) -> activeSnapshotPages.decrementAndGet());
    }

    /** A page, or null if the snapshot is gone, and the newest revision. */
    private record SnapshotPageResult(SnapshotPage page, long newestRevision) {
        ApiResponse toResponse() {
            return page == null
                    ? errorResponse(GONE, ErrorResponse.TRUNCATED, newestRevision, 0)
                    : ApiResponse.ok(new RawJson(ConfigurationJson.toJson(page)));
        }
    }

    private SnapshotPageResult readPage(GroupState state, long revision, EntryKey from, int limit) {
        SnapshotPage page = pager.page(state.configuration().view(), revision, from, limit);
        return new SnapshotPageResult(page, state.configuration().revision());
    }

    private static EntryKey parseKey(String text) {
        try {
            return text.isEmpty() ? null : EntryKey.parse(text);
        } catch (IllegalArgumentException malformed) {
            throw new BadRequestException("'from': " + malformed.getMessage());
        }
    }

    private CompletableFuture<ApiResponse> status(ApiRequest request) {
        long requestedRevision = request.integerParameter("revision", 0, MAX_REVISION);
        return replica.read(
                        state -> configurationStatus(state.configuration(), requestedRevision),
                        false)
                .thenApply(ApiResponse::ok);
    }

    private Status configurationStatus(
            ConfigurationRegistry configuration, long requestedRevision) {
        long revision = requestedRevision == 0 ? configuration.revision() : requestedRevision;
        synchronized (reports) {
            return new Status(
                    configuration.revision(),
                    ConfigurationJson.formatDigest(configuration.digest()),
                    revision,
                    reports.zones(revision, nowMs()));
        }
    }

    /** Only the leader keeps reports, so a new leader begins with none. */
    private CompletableFuture<ApiResponse> receiveReport(ApiRequest request) {
        FollowerReport report;
        try {
            report = GroupCodec.decodeStrictly(request.body(), FollowerReport.class);
        } catch (JsonProcessingException malformed) {
            throw new BadRequestException("no report: " + ApiRequest.firstErrorLine(malformed));
        }
        if (report.validationError() != null) {
            throw new BadRequestException(report.validationError());
        }
        if (!replica.isLeader()) {
            return CompletableFuture.completedFuture(
                    ApiResponse.notLeader(replica.leaderClientAddress()));
        }
        synchronized (reports) {
            reports.update(report, nowMs());
        }
        return CompletableFuture.completedFuture(ApiResponse.ok(Map.of("taken", true)));
    }

    private CompletableFuture<ApiResponse> history(ApiRequest request) {
        long after = request.integerParameter("after", 0, MAX_REVISION);
        int maximum = ConfigurationLimits.MAX_CHANGES_PER_RESPONSE;
        int limit = (int) request.integerParameter("limit", DEFAULT_HISTORY_LIMIT, maximum);
        return replica.read(state -> state.configuration().history(after, limit), false)
                .thenApply(ApiResponse::ok);
    }

    private static long nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }
}
