package saltstage.configuration;

/**
 * One key's part of a change.
 *
 * @param value what the key says from then on; null: the entry is deleted
 */
public record Mutation(EntryKey key, EntryValue value) {
    /** Checks that the value is of the key's kind; throws IllegalArgumentException otherwise. */
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

    /** Whether the entry is deleted. */
    public boolean isDeletion() {
        return value == null;
    }
}
