package saltstage.lab.scale;

import picocli.CommandLine.Command;

import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.ConfigurationLimits;
import saltstage.configuration.SnapshotPage;
import saltstage.lab.scale.Topology.Zone;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;

/**
 * What the number of entries costs: memory of replicas, distributors and followers; size of
 * snapshots.
 */
@Command(
        name = "configuration",
        mixinStandardHelpOptions = true,
        description =
                "Nine control processes and ever more entries; a follower with a relay's heap at"
                        + " each point.")
final class ConfigurationRun extends ScaleRun {
    private static final int[] ENTRIES = {3_600, 7_400, 14_750, 29_500, 59_000};

    /** The heap that a relay is deployed with. */
    private static final int RELAY_HEAP_MEGABYTES = 48;

    private static final double SETTLE_SECONDS = 2;

    private static final int OK = 200;
    private static final long NEWEST = 0;

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private long bytes;

    ConfigurationRun() {
        super("configuration");
    }

    @Override
    boolean run(Stage stage) throws Exception {
        try (FleetStage all = new FleetStage(stage.folder(), stage.transport(), stage.seed(), 0)) {
            List<String> sources = all.control().sourcesOfRelays(Zone.A1);
            for (int entries : ENTRIES) {
                progress("configuration: " + entries + " entries");
                all.putShards(entries);
                awaitRevision(sources.get(0), all.load().newestRevision());
                stage.file().begin(entries);
                control(stage.file(), all);
                snapshot(stage.file(), sources.get(0));
                follower(stage, sources, entries);
            }
        }
        return true;
    }

    private static void control(MeasurementFile file, FleetStage all) throws Exception {
        file.add(
                "leader_resident_mb",
                all.control().replica(all.control().leader()).figures().residentMegabytes());
        file.add(
                "distributor_resident_mb",
                all.control().distributor(Zone.A1).figures().residentMegabytes());
    }

    private SnapshotPage page(String source, long revision, String from, int limit)
            throws Exception {
        URI uri =
                URI.create(
                        "http://"
                                + source
                                + "/v1/configuration/snapshot?revision="
                                + revision
                                + from
                                + "&limit="
                                + limit);
        HttpRequest request = HttpRequest.newBuilder(uri).build();
        HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
        if (answer.statusCode() != OK) {
            throw new IOException("a snapshot was answered with " + answer.statusCode());
        }
        bytes += answer.body().length();
        return ConfigurationJson.parseSnapshotPage(answer.body());
    }

    /** Waits until a source serves this revision; one that has just started does not listen yet. */
    private void awaitRevision(String source, long revision) throws Exception {
        while (!serves(source, revision)) {
            seconds(SETTLE_SECONDS);
        }
    }

    private boolean serves(String source, long revision) throws Exception {
        try {
            return page(source, NEWEST, "", 1).revision() >= revision;
        } catch (IOException notYet) {
            return false;
        }
    }

    /** Takes a snapshot page by page, as a follower does. */
    private void snapshot(MeasurementFile file, String source) throws Exception {
        bytes = 0;
        long begun = System.nanoTime();
        long revision = NEWEST;
        String from = "";
        int pages = 0;
        while (from != null) {
            SnapshotPage page = page(source, revision, from, ConfigurationLimits.MAX_ENTRIES_PER_PAGE);
            revision = page.revision();
            from = page.next() == null ? null : "&from=" + page.next().text();
            pages++;
        }
        file.add("snapshot_s", (System.nanoTime() - begun) / 1e9);
        file.add("snapshot_bytes", bytes);
        file.add("snapshot_pages", pages);
    }

    private static void follower(Stage stage, List<String> sources, int entries) throws Exception {
        long begun = System.nanoTime();
        try (HollowHost host =
                new HollowHost(
                        entries,
                        1,
                        "a1",
                        sources,
                        RELAY_HEAP_MEGABYTES,
                        stage.folder(),
                        new InForceLog())) {
            host.start();
            host.awaitReady();
            stage.file().add("follower_start_s", (System.nanoTime() - begun) / 1e9);
            seconds(1);
            ProcessFigures figures = host.process().figures();
            stage.file().add("follower_resident_mb", figures.residentMegabytes());
            stage.file().add("follower_start_processor_s", figures.processorSeconds());
        }
    }
}
