package saltstage.configuration.follower;

import java.util.ArrayList;
import java.util.List;
import saltstage.configuration.Change;
import saltstage.configuration.ChangesResponse;
import saltstage.configuration.ConfigurationView;
import saltstage.configuration.EntryKey;
import saltstage.configuration.EntryKind;
import saltstage.configuration.EntryValue;
import saltstage.configuration.Mutation;
import saltstage.configuration.SnapshotPage;
import saltstage.configuration.SnapshotPager;

/** A history of accepted changes, and the responses of a source at a given revision. */
final class ScriptedHistory {
    private final List<Change> changes = new ArrayList<>();
    private final List<ConfigurationView> views = new ArrayList<>();

    /** Creates changes of one shard each; the author is part of the values. */
    ScriptedHistory(int revisions, String author) {
        ConfigurationView view = new ConfigurationView();
        views.add(copy(view));
        for (int i = 1; i <= revisions; i++) {
            changes.add(view.accept(List.of(shardMutation("topic/" + i % 4, author + "-" + i))));
            views.add(copy(view));
        }
    }

    static Mutation shardMutation(String name, String backend) {
        return new Mutation(
                new EntryKey(EntryKind.SHARD, name),
                backend == null ? null : new EntryValue.Shard(backend));
    }

    static ConfigurationView copy(ConfigurationView view) {
        return new ConfigurationView(view.revision(), view.entries().values());
    }

    int newestRevision() {
        return changes.size();
    }

    Change change(long revision) {
        return changes.get((int) revision - 1);
    }

    ConfigurationView viewAt(long revision) {
        return views.get((int) Math.min(revision, newestRevision()));
    }

    /**
     * The response with the changes from one revision to another; empty if the first is the higher
     * one.
     */
    ChangesResponse changesResponse(long from, long to) {
        List<Change> responseChanges = new ArrayList<>();
        for (long revision = from; revision <= to; revision++) {
            responseChanges.add(change(revision));
        }
        return new ChangesResponse(to, viewAt(to).digest(), responseChanges);
    }

    /** The response without changes of a source at this revision. */
    ChangesResponse emptyResponse(long revision) {
        return new ChangesResponse(revision, viewAt(revision).digest(), List.of());
    }

    /** A snapshot page with at most this number of entries. */
    SnapshotPage page(long revision, EntryKey from, int limit) {
        return new SnapshotPager().page(viewAt(revision), 0, from, limit);
    }
}
