package saltstage.coordinator.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import saltstage.configuration.ConfigurationLimits;
import saltstage.configuration.EntryKey;
import saltstage.configuration.EntryKind;
import saltstage.configuration.EntryValue;
import saltstage.configuration.Mutation;
import saltstage.coordinator.configuration.ConfigurationCommands.ChangeConfiguration;

/**
 * The changes that restore all entries to their values at an earlier revision. A rollback that
 * exceeds the limits of one change is split into several, in an order in which each is valid by
 * itself: settings and new backends, then shards and suspensions, then deletions of backends.
 */
public final class RollbackPlan {
    /** The order of mutations within a rollback. */
    private enum Stage {
        SETTINGS_AND_BACKENDS,
        SHARDS_AND_SUSPENSIONS,
        DELETED_BACKENDS
    }

    private final Map<EntryKey, Mutation> undoByKey = new TreeMap<>();
    private final Map<EntryKey, EntryValue> newestValues = new HashMap<>();
    private final Map<EntryKey, Long> newestRevisions = new HashMap<>();

    private RollbackPlan(Collection<AcceptedChange> changes) {
        for (AcceptedChange change : changes) {
            change.undo().forEach(mutation -> undoByKey.putIfAbsent(mutation.key(), mutation));
            for (Mutation mutation : change.mutations()) {
                newestValues.put(mutation.key(), mutation.value());
                newestRevisions.put(mutation.key(), mutation.isDeletion() ? 0 : change.revision());
            }
        }
        undoByKey.values().removeIf(this::isNoOp);
    }

    private boolean isNoOp(Mutation mutation) {
        EntryValue newestValue = newestValues.get(mutation.key());
        return newestValue == null ? mutation.isDeletion() : newestValue.equals(mutation.value());
    }

    /**
     * Returns the changes of the rollback in order; the list is empty if nothing differs. Each
     * change expects its keys at the revisions that the given changes left them at, so that it is
     * rejected if another writer has changed them in the meantime.
     *
     * @param changes all accepted changes after the earlier revision, oldest first
     */
    public static List<ChangeConfiguration> of(Collection<AcceptedChange> changes, String author) {
        return new RollbackPlan(changes).toChanges(author);
    }

    private List<ChangeConfiguration> toChanges(String author) {
        List<Mutation> ordered = new ArrayList<>();
        for (Stage stage : Stage.values()) {
            undoByKey.values().stream()
                    .filter(mutation -> stageOf(mutation) == stage)
                    .forEach(ordered::add);
        }
        List<ChangeConfiguration> changes = new ArrayList<>();
        List<Mutation> batch = new ArrayList<>();
        int batchBytes = 0;
        for (Mutation mutation : ordered) {
            int mutationBytes = ConfigurationLimits.estimatedBytes(mutation);
            if (batch.size() == ConfigurationLimits.MAX_MUTATIONS_PER_CHANGE
                    || batchBytes + mutationBytes > ConfigurationLimits.MAX_BYTES_PER_CHANGE) {
                changes.add(newChange(batch, author));
                batch.clear();
                batchBytes = 0;
            }
            batch.add(mutation);
            batchBytes += mutationBytes;
        }
        if (!batch.isEmpty()) {
            changes.add(newChange(batch, author));
        }
        return changes;
    }

    private ChangeConfiguration newChange(List<Mutation> mutations, String author) {
        Map<String, Long> expected = new TreeMap<>();
        mutations.forEach(
                mutation ->
                        expected.put(mutation.key().text(), newestRevisions.get(mutation.key())));
        return new ChangeConfiguration(author, List.copyOf(mutations), expected);
    }

    private static Stage stageOf(Mutation mutation) {
        EntryKind kind = mutation.key().kind();
        if (kind == EntryKind.SHARD || kind == EntryKind.SUSPENSION) {
            return Stage.SHARDS_AND_SUSPENSIONS;
        }
        return kind == EntryKind.BACKEND && mutation.isDeletion()
                ? Stage.DELETED_BACKENDS
                : Stage.SETTINGS_AND_BACKENDS;
    }
}
