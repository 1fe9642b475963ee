package saltstage.configuration;

/**
 * An entry as it is in force.
 *
 * @param revision the revision of the change that wrote it last
 */
public record Entry(EntryKey key, EntryValue value, long revision) {}
