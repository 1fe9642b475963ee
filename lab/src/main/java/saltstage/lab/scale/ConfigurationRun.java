package saltstage.lab.scale;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import picocli.CommandLine.Command;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.ConfigurationLimits;
import saltstage.configuration.SnapshotPage;
import saltstage.lab.scale.Topology.Zone;

/**
 * Measures what the number of entries costs: memory of replicas, distributors and followers, and
 * the size of snapshots.
 */
@Command(
        name = "configuration",
        mixinStandardHelpOptions = true,
        description =
                "Nine control processes and a growing number of entries; a follower with a"
                        + " relay's heap at each point.")
final class ConfigurationRun extends ScaleRun {
    private static final int[] ENTRY_COUNTS = {3_600, 7_400, 14_750, 29_500, 59_000};

    /** The heap that a relay is deployed with. */
    private static final int RELAY_HEAP_MEGABYTES = 48;

    private static final double SETTLE_SECONDS = 2;

    private static final int HTTP_OK = 200;
    private static final long NEWEST_REVISION = 0;

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private long snapshotBytes;

    ConfigurationRun() {
        super("configuration");
    }

    @Override
    boolean run(RunContext context) throws Exception {
        try (FleetEnvironment environment =
                new FleetEnvironment(context.folder(), context.transport(), context.seed(), 0)) {
            List<String> sources = environment.controlPlane().addRelaySources(Zone.A1);
            for (int entries : ENTRY_COUNTS) {
                printProgress("configuration: " + entries + " entries");
                environment.putShards(entries);
                awaitRevision(sources.get(0), environment.configurationLoad().newestRevision());
                context.file().beginPoint(entries);
                measureControlMemory(context.file(), environment);
                measureSnapshot(context.file(), sources.get(0));
                measureFollower(context, sources, entries);
            }
        }
        return true;
    }

    private static void measureControlMemory(MeasurementFile file, FleetEnvironment environment)
            throws Exception {
        file.addFigure(
                "leader_resident_mb",
                environment
                        .controlPlane()
                        .replica(environment.controlPlane().leader())
                        .statistics()
                        .residentMegabytes());
        file.addFigure(
                "distributor_resident_mb",
                environment.controlPlane().distributor(Zone.A1).statistics().residentMegabytes());
    }

    private SnapshotPage fetchPage(String source, long revision, String fromParameter, int limit)
            throws Exception {
        URI uri =
                URI.create(
                        "http://"
                                + source
                                + "/v1/configuration/snapshot?revision="
                                + revision
                                + fromParameter
                                + "&limit="
                                + limit);
        HttpRequest request = HttpRequest.newBuilder(uri).build();
        HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() != HTTP_OK) {
            throw new IOException(
                    "snapshot request was answered with status " + response.statusCode());
        }
        snapshotBytes += response.body().length();
        return ConfigurationJson.parseSnapshotPage(response.body());
    }

    /** Waits until a source serves this revision; a source that just started may not listen yet. */
    private void awaitRevision(String source, long revision) throws Exception {
        while (!isServing(source, revision)) {
            sleepSeconds(SETTLE_SECONDS);
        }
    }

    private boolean isServing(String source, long revision) throws Exception {
        try {
            return fetchPage(source, NEWEST_REVISION, "", 1).revision() >= revision;
        } catch (IOException unavailable) {
            return false;
        }
    }

    /** Fetches a snapshot page by page, as a follower does. */
    private void measureSnapshot(MeasurementFile file, String source) throws Exception {
        snapshotBytes = 0;
        long startNanos = System.nanoTime();
        long revision = NEWEST_REVISION;
        String fromParameter = "";
        int pages = 0;
        while (fromParameter != null) {
            SnapshotPage page =
                    fetchPage(
                            source,
                            revision,
                            fromParameter,
                            ConfigurationLimits.MAX_ENTRIES_PER_PAGE);
            revision = page.revision();
            fromParameter = page.next() == null ? null : "&from=" + page.next().text();
            pages++;
        }
        file.addFigure("snapshot_s", (System.nanoTime() - startNanos) / 1e9);
        file.addFigure("snapshot_bytes", snapshotBytes);
        file.addFigure("snapshot_pages", pages);
    }

    private static void measureFollower(RunContext context, List<String> sources, int entries)
            throws Exception {
        long startNanos = System.nanoTime();
        try (SimulatedRelayHost host =
                new SimulatedRelayHost(
                        entries,
                        1,
                        "a1",
                        sources,
                        RELAY_HEAP_MEGABYTES,
                        context.folder(),
                        new AppliedRevisionLog())) {
            host.start();
            host.awaitReady();
            context.file().addFigure("follower_start_s", (System.nanoTime() - startNanos) / 1e9);
            sleepSeconds(1);
            ProcessStatistics statistics = host.process().statistics();
            context.file().addFigure("follower_resident_mb", statistics.residentMegabytes());
            context.file().addFigure("follower_start_processor_s", statistics.processorSeconds());
        }
    }
}
