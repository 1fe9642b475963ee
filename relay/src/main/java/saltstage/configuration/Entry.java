package saltstage.configuration;

/**
 * An entry of a configuration.
 *
 * @param revision the revision of the change that last wrote the entry
 */
public record Entry(EntryKey key, EntryValue value, long revision) {}
