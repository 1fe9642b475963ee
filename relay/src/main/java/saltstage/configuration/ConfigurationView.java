package saltstage.configuration;

import java.util.Collection;
import java.util.Collections;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The entries in force at one revision. A change is applied whole, in order and once, or not at
 * all. Not thread safe.
 */
public final class ConfigurationView {
    /** What became of a change that was offered. */
    public enum Outcome {
        /** It is in force. */
        APPLIED,
        /** It was in force before, or an even newer one is; nothing changed. */
        ALREADY_APPLIED,
        /** Changes before it are missing; nothing changed. */
        GAP,
        /** Applied, it would not give the digest that its writer had; nothing changed. */
        DIVERGED
    }

    private final NavigableMap<EntryKey, Entry> entries = new TreeMap<>();
    private long revision;
    private long digest = EntryDigest.EMPTY;

    /** No entries, at revision 0. */
    public ConfigurationView() {}

    /** These entries, at this revision. */
    public ConfigurationView(long revision, Collection<Entry> entries) {
        this.revision = revision;
        entries.forEach(this::putEntry);
    }

    /** Applies a change that others have accepted. */
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
     * Makes the next change of these mutations and applies it; of several with one key the last one
     * counts.
     */
    public Change accept(Collection<Mutation> mutations) {
        TreeMap<EntryKey, Mutation> byKey = new TreeMap<>();
        mutations.forEach(mutation -> byKey.put(mutation.key(), mutation));
        revision++;
        byKey.values().forEach(mutation -> applyMutation(mutation, revision));
        return new Change(revision, digest, new java.util.ArrayList<>(byKey.values()));
    }

    private long digestAfter(Change change) {
        long after = digest;
        for (Mutation mutation : change.mutations()) {
            Entry before = entries.get(mutation.key());
            after -= before == null ? 0 : EntryDigest.of(before);
            after +=
                    mutation.isDeletion()
                            ? 0
                            : EntryDigest.of(
                                    new Entry(mutation.key(), mutation.value(), change.revision()));
        }
        return after;
    }

    private void applyMutation(Mutation mutation, long at) {
        Entry before = entries.remove(mutation.key());
        digest -= before == null ? 0 : EntryDigest.of(before);
        if (!mutation.isDeletion()) {
            putEntry(new Entry(mutation.key(), mutation.value(), at));
        }
    }

    private void putEntry(Entry entry) {
        entries.put(entry.key(), entry);
        digest += EntryDigest.of(entry);
    }

    /** The newest revision in force. */
    public long revision() {
        return revision;
    }

    /** The digest of all entries. */
    public long digest() {
        return digest;
    }

    /** The entries, by key; a view that changes with this. */
    public NavigableMap<EntryKey, Entry> entries() {
        return Collections.unmodifiableNavigableMap(entries);
    }
}
