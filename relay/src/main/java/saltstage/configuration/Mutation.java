package saltstage.configuration;

/**
 * The part of a change that affects one key.
 *
 * @param value the new value of the entry; null deletes the entry
 */
public record Mutation(EntryKey key, EntryValue value) {
    /** Checks that the value matches the key's kind; throws IllegalArgumentException otherwise. */
    public Mutation {
        if (value != null && value.kind() != key.kind()) {
            throw new IllegalArgumentException(
                    key.text()
                            + " takes a "
                            + key.kind().wireName()
                            + ", not a "
                            + value.kind().wireName());
        }
    }

    /** Whether this mutation deletes the entry. */
    public boolean isDeletion() {
        return value == null;
    }
}
