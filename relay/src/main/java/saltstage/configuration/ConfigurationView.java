package saltstage.configuration;

import java.util.Collection;
import java.util.Collections;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The entries at one revision. A change is applied as a whole, in order and exactly once, or not at
 * all. Not thread safe.
 */
public final class ConfigurationView {
    /** The outcome of applying a change. */
    public enum Outcome {
        /** The change is applied. */
        APPLIED,
        /** This change or a newer one was applied before; nothing changed. */
        ALREADY_APPLIED,
        /** Changes before this one are missing; nothing changed. */
        GAP,
        /** The resulting digest would differ from the writer's digest; nothing changed. */
        DIVERGED
    }

    private final NavigableMap<EntryKey, Entry> entries = new TreeMap<>();
    private long revision;
    private long digest = EntryDigest.EMPTY;

    /** Creates a view without entries at revision 0. */
    public ConfigurationView() {}

    /** Creates a view of these entries at this revision. */
    public ConfigurationView(long revision, Collection<Entry> entries) {
        this.revision = revision;
        entries.forEach(this::putEntry);
    }

    /** Applies a change that the writer has accepted. */
    public Outcome apply(Change change) {
        if (change.revision() <= revision) {
            return Outcome.ALREADY_APPLIED;
        }
        if (change.revision() != revision + 1) {
            return Outcome.GAP;
        }
        if (digestAfter(change) != change.digest()) {
            return Outcome.DIVERGED;
        }
        for (Mutation mutation : change.mutations()) {
            applyMutation(mutation, change.revision());
        }
        revision = change.revision();
        return Outcome.APPLIED;
    }

    /**
     * Creates the next change from these mutations and applies it. If several mutations have the
     * same key, the last one is used.
     */
    public Change accept(Collection<Mutation> mutations) {
        TreeMap<EntryKey, Mutation> byKey = new TreeMap<>();
        mutations.forEach(mutation -> byKey.put(mutation.key(), mutation));
        revision++;
        byKey.values().forEach(mutation -> applyMutation(mutation, revision));
        return new Change(revision, digest, new java.util.ArrayList<>(byKey.values()));
    }

    private long digestAfter(Change change) {
        long newDigest = digest;
        for (Mutation mutation : change.mutations()) {
            Entry previous = entries.get(mutation.key());
            newDigest -= previous == null ? 0 : EntryDigest.of(previous);
            newDigest +=
                    mutation.isDeletion()
                            ? 0
                            : EntryDigest.of(
                                    new Entry(mutation.key(), mutation.value(), change.revision()));
        }
        return newDigest;
    }

    private void applyMutation(Mutation mutation, long newRevision) {
        Entry previous = entries.remove(mutation.key());
        digest -= previous == null ? 0 : EntryDigest.of(previous);
        if (!mutation.isDeletion()) {
            putEntry(new Entry(mutation.key(), mutation.value(), newRevision));
        }
    }

    private void putEntry(Entry entry) {
        entries.put(entry.key(), entry);
        digest += EntryDigest.of(entry);
    }

    /** The newest applied revision. */
    public long revision() {
        return revision;
    }

    /** The digest of all entries. */
    public long digest() {
        return digest;
    }

    /** The entries by key, as an unmodifiable view that reflects later changes. */
    public NavigableMap<EntryKey, Entry> entries() {
        return Collections.unmodifiableNavigableMap(entries);
    }
}
