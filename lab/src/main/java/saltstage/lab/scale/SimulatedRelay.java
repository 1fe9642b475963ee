package saltstage.lab.scale;

import java.net.URI;
import java.util.List;
import saltstage.configuration.Change;
import saltstage.configuration.ConfigurationView;
import saltstage.configuration.Entry;
import saltstage.configuration.follower.ConfigurationClient;
import saltstage.configuration.follower.ConfigurationPersistence;
import saltstage.configuration.follower.FollowerListener;
import saltstage.configuration.follower.FollowerOptions;
import saltstage.configuration.follower.FollowerResources;

/**
 * A simulated relay: it runs the real configuration client and reports when each revision is
 * applied.
 */
final class SimulatedRelay implements FollowerListener {
    /** The configuration entries that were in force at a revision. */
    record Snapshot(long revision, List<Entry> entries) {}

    private final int index;
    private final ConfigurationView view;
    private final AsyncLineWriter lineWriter;
    private final Runnable confirmedListener;
    private Snapshot snapshot;
    private long revision;
    private long digest;

    SimulatedRelay(
            int index,
            ConfigurationView view,
            AsyncLineWriter lineWriter,
            Runnable confirmedListener) {
        this.index = index;
        this.view = view;
        this.lineWriter = lineWriter;
        this.confirmedListener = confirmedListener;
        snapshot = new Snapshot(view.revision(), List.of());
        revision = view.revision();
        digest = view.digest();
    }

    /** Reports the initial revision and starts the configuration client. */
    void start(FollowerOptions options, FollowerResources resources) {
        lineWriter.enqueue(revisionLine());
        new ConfigurationClient(options, resources, ConfigurationPersistence.NONE, view, this)
                .start();
    }

    /** The last applied snapshot; without entries if no snapshot has been applied. */
    synchronized Snapshot snapshot() {
        return snapshot;
    }

    @Override
    public synchronized void changesApplied(List<Change> changes) {
        Change newest = changes.get(changes.size() - 1);
        revisionApplied(newest.revision(), newest.digest());
    }

    @Override
    public synchronized void snapshotApplied(ConfigurationView newView) {
        snapshot = new Snapshot(newView.revision(), List.copyOf(newView.entries().values()));
        revisionApplied(newView.revision(), newView.digest());
    }

    private void revisionApplied(long newRevision, long newDigest) {
        revision = newRevision;
        digest = newDigest;
        lineWriter.enqueue(revisionLine());
    }

    private String revisionLine() {
        return SimulatedRelayHost.REVISION_LINE
                + " "
                + index
                + " "
                + revision
                + " "
                + System.nanoTime();
    }

    @Override
    public void revisionConfirmed(long confirmedRevision) {
        confirmedListener.run();
    }

    @Override
    public void sourceFailedOver(URI source, URI next, String reason) {
        System.err.println(index + " left " + source + " for " + next + ": " + reason);
    }

    @Override
    public void faultOccurred(RuntimeException fault) {
        fault.printStackTrace();
    }

    /** The line that reports the current revision and its digest. */
    synchronized String digestLine() {
        return SimulatedRelayHost.DIGEST_LINE + " " + index + " " + revision + " " + digest;
    }
}
