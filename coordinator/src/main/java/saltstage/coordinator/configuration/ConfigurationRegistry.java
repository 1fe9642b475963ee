package saltstage.coordinator.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;
import saltstage.configuration.Change;
import saltstage.configuration.ChangeHistory;
import saltstage.configuration.ConfigurationJson;
import saltstage.configuration.ConfigurationLimits;
import saltstage.configuration.ConfigurationView;
import saltstage.configuration.Entry;
import saltstage.configuration.EntryKey;
import saltstage.configuration.Mutation;
import saltstage.coordinator.configuration.ConfigurationCommands.ChangeConfiguration;
import saltstage.coordinator.configuration.ConfigurationReplies.Changed;
import saltstage.coordinator.configuration.ConfigurationReplies.Rejected;
import saltstage.coordinator.model.Reply;

/**
 * The group's configuration as built from its log: the entries in force, the newest changes with
 * their authors and times, and the number of shards that refer to each backend. A change is
 * accepted or rejected as a whole. Not thread safe.
 */
public final class ConfigurationRegistry {
    private static final Pattern AUTHOR_PATTERN = Pattern.compile("[!-~][ -~]{0,99}");

    /**
     * The configuration as a snapshot of the group stores it.
     *
     * @param digest the digest of all entries, 16 hexadecimal digits; a snapshot is rejected if its
     *     entries have another digest
     * @param baseRevision the revision before the oldest retained change
     * @param baseDigest the digest at the base revision
     * @param changes the retained changes, oldest first
     */
    public record Image(
            long revision,
            String digest,
            List<Entry> entries,
            long baseRevision,
            String baseDigest,
            List<AcceptedChange> changes) {}

    /**
     * Accepted changes as operators read them.
     *
     * @param revision the newest revision
     * @param oldest the oldest revision after which all changes are retained
     * @param changes the accepted changes, oldest first
     */
    public record History(long revision, long oldest, List<AcceptedChange> changes) {}

    private final ConfigurationView view;
    private final ChangeHistory history;
    private final TreeMap<Long, AcceptedChange> acceptedChanges = new TreeMap<>();
    private final ShardCounts shardCounts = new ShardCounts();

    /** Creates a registry without entries, at revision 0. */
    public ConfigurationRegistry() {
        view = new ConfigurationView();
        history = new ChangeHistory(view.revision(), view.digest());
    }

    /** Restores a registry; throws IllegalArgumentException if the image contradicts itself. */
    public ConfigurationRegistry(Image image) {
        view = new ConfigurationView(image.revision(), image.entries());
        if (view.digest() != AcceptedChange.parseDigest(image.digest())) {
            throw new IllegalArgumentException(
                    "the configuration's digest is not that of its entries");
        }
        image.entries().forEach(entry -> shardCounts.replace(null, entry.value()));
        history =
                new ChangeHistory(
                        image.baseRevision(), AcceptedChange.parseDigest(image.baseDigest()));
        image.changes().forEach(this::addToHistory);
        if (history.newestRevision() != view.revision()) {
            throw new IllegalArgumentException(
                    "the configuration's history ends at another revision");
        }
    }

    /** Returns the image for a snapshot; equal states have equal images. */
    public Image image() {
        return new Image(
                view.revision(),
                ConfigurationJson.formatDigest(view.digest()),
                List.copyOf(view.entries().values()),
                history.baseRevision(),
                ConfigurationJson.formatDigest(history.baseDigest()),
                List.copyOf(acceptedChanges.values()));
    }

    /**
     * Accepts or rejects a change. A rejected change, and one whose values are all in force
     * already, leaves the registry as it is.
     */
    public Reply applyChange(ChangeConfiguration request, long dayMs) {
        Rejected fault = boundsRejection(request);
        fault = fault != null ? fault : conflictRejection(request.expected());
        if (fault != null) {
            return fault;
        }
        TreeMap<EntryKey, Mutation> effective = effectiveMutations(request.mutations());
        fault = new ChangeValidator(view.entries(), shardCounts, effective).rejection();
        if (fault != null) {
            return fault;
        }
        if (!effective.isEmpty()) {
            accept(effective.values(), request.author(), dayMs);
        }
        return new Changed(
                view.revision(), ConfigurationJson.formatDigest(view.digest()), effective.size());
    }

    private static Rejected boundsRejection(ChangeConfiguration request) {
        if (!AUTHOR_PATTERN.matcher(request.author()).matches()) {
            return malformed(
                    request.author(), "an author of 1 to 100 visible ASCII characters would do");
        }
        int maxMutations = ConfigurationLimits.MAX_MUTATIONS_PER_CHANGE;
        int mutations = request.mutations().size();
        if (mutations == 0
                || mutations > maxMutations
                || request.expected().size() > maxMutations) {
            return malformed(
                    mutations + " mutations, " + request.expected().size() + " expected",
                    "1 to "
                            + maxMutations
                            + " mutations and up to "
                            + maxMutations
                            + " expected revisions would do");
        }
        int bytes = ConfigurationLimits.estimatedBytes(new Change(0, 0, request.mutations()));
        return bytes <= ConfigurationLimits.MAX_BYTES_PER_CHANGE
                ? null
                : malformed(
                        bytes + " bytes",
                        ConfigurationLimits.MAX_BYTES_PER_CHANGE + " bytes would do");
    }

    private static Rejected malformed(String value, String wanted) {
        return new Rejected(RejectionCode.MALFORMED, "", value, wanted);
    }

    private Rejected conflictRejection(Map<String, Long> expected) {
        for (Map.Entry<String, Long> condition : new TreeMap<>(expected).entrySet()) {
            EntryKey key;
            try {
                key = EntryKey.parse(condition.getKey());
            } catch (IllegalArgumentException invalid) {
                return malformed(condition.getKey(), invalid.getMessage());
            }
            Entry entry = view.entries().get(key);
            long revision = entry == null ? 0 : entry.revision();
            if (revision != condition.getValue()) {
                return new Rejected(
                        RejectionCode.CONFLICT,
                        key.text(),
                        "expected at revision " + condition.getValue(),
                        "it is at revision " + revision + "; read it again");
            }
        }
        return null;
    }

    /** Returns by key the mutations that differ from the entries in force. */
    private TreeMap<EntryKey, Mutation> effectiveMutations(List<Mutation> mutations) {
        TreeMap<EntryKey, Mutation> byKey = new TreeMap<>();
        mutations.forEach(mutation -> byKey.put(mutation.key(), mutation));
        byKey.values().removeIf(this::isNoOp);
        return byKey;
    }

    private boolean isNoOp(Mutation mutation) {
        Entry entry = view.entries().get(mutation.key());
        return entry == null ? mutation.isDeletion() : entry.value().equals(mutation.value());
    }

    private void accept(Collection<Mutation> mutations, String author, long dayMs) {
        List<Mutation> undo = new ArrayList<>(mutations.size());
        for (Mutation mutation : mutations) {
            Entry before = view.entries().get(mutation.key());
            undo.add(new Mutation(mutation.key(), before == null ? null : before.value()));
            shardCounts.replace(before == null ? null : before.value(), mutation.value());
        }
        Change change = view.accept(mutations);
        addToHistory(AcceptedChange.of(change, author, dayMs, List.copyOf(undo)));
    }

    private void addToHistory(AcceptedChange change) {
        history.append(change.toChange());
        acceptedChanges.put(change.revision(), change);
        acceptedChanges.headMap(history.baseRevision(), true).clear();
    }

    /**
     * Returns accepted changes after a revision, oldest first; changes that are no longer retained
     * are left out.
     */
    public History history(long after, int limit) {
        List<AcceptedChange> selected = new ArrayList<>();
        int bytes = 0;
        for (AcceptedChange change : acceptedChanges.tailMap(after, false).values()) {
            if (selected.size() >= limit || bytes >= ConfigurationLimits.RESPONSE_BYTES_THRESHOLD) {
                break;
            }
            selected.add(change);
            bytes += change.estimatedBytes();
        }
        return new History(view.revision(), history.baseRevision(), selected);
    }

    /** Returns the result for a follower that has this revision with this digest. */
    public ChangeHistory.Result changesAfter(long revision, long digest, int limit) {
        return history.changesAfter(revision, digest, limit);
    }

    /** Returns the entries in force as a live view, which later changes update. */
    public ConfigurationView view() {
        return view;
    }

    /** Returns the newest revision. */
    public long revision() {
        return view.revision();
    }

    /** Returns the digest of all entries. */
    public long digest() {
        return view.digest();
    }
}
