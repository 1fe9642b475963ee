package saltstage.lab.scale;

import saltstage.configuration.Change;
import saltstage.configuration.ConfigurationView;
import saltstage.configuration.Entry;
import saltstage.configuration.follower.ConfigurationClient;
import saltstage.configuration.follower.ConfigurationPersistence;
import saltstage.configuration.follower.FollowerListener;
import saltstage.configuration.follower.FollowerOptions;
import saltstage.configuration.follower.FollowerResources;

import java.net.URI;
import java.util.List;

/** One hollow relay: the real client, which tells when revisions come into force. */
final class HollowRelay implements FollowerListener {
    /** What was in force at one moment. */
    record Held(long revision, List<Entry> entries) {}

    private final int index;
    private final ConfigurationView view;
    private final HollowLines lines;
    private final Runnable onCurrent;
    private Held snapshot;
    private long revision;
    private long digest;

    HollowRelay(int index, ConfigurationView view, HollowLines lines, Runnable onCurrent) {
        this.index = index;
        this.view = view;
        this.lines = lines;
        this.onCurrent = onCurrent;
        snapshot = new Held(view.revision(), List.of());
        revision = view.revision();
        digest = view.digest();
    }

    void start(FollowerOptions options, FollowerResources resources) {
        lines.say(inForceLine());
        new ConfigurationClient(options, resources, ConfigurationPersistence.NONE, view, this)
                .start();
    }

    /** The snapshot that it took; nothing where it has taken none. */
    synchronized Held held() {
        return snapshot;
    }

    @Override
    public synchronized void changesApplied(List<Change> changes) {
        Change newest = changes.get(changes.size() - 1);
        inForce(newest.revision(), newest.digest());
    }

    @Override
    public synchronized void snapshotApplied(ConfigurationView taken) {
        snapshot = new Held(taken.revision(), List.copyOf(taken.entries().values()));
        inForce(taken.revision(), taken.digest());
    }

    private void inForce(long newRevision, long newDigest) {
        revision = newRevision;
        digest = newDigest;
        lines.say(inForceLine());
    }

    private String inForceLine() {
        return HollowHost.IN_FORCE + " " + index + " " + revision + " " + System.nanoTime();
    }

    @Override
    public void revisionConfirmed(long confirmedRevision) {
        onCurrent.run();
    }

    @Override
    public void sourceFailedOver(URI source, URI next, String reason) {
        System.err.println(index + " left " + source + " for " + next + ": " + reason);
    }

    @Override
    public void faultOccurred(RuntimeException fault) {
        fault.printStackTrace();
    }

    synchronized String digestLine() {
        return HollowHost.DIGEST + " " + index + " " + revision + " " + digest;
    }
}
