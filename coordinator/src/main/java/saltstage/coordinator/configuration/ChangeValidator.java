package saltstage.coordinator.configuration;

import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.regex.Pattern;
import saltstage.configuration.ConfigurationLimits;
import saltstage.configuration.Entry;
import saltstage.configuration.EntryKey;
import saltstage.configuration.EntryKind;
import saltstage.configuration.EntryValue;
import saltstage.configuration.Mutation;
import saltstage.configuration.ValueRules;
import saltstage.coordinator.configuration.ConfigurationReplies.Rejected;
import saltstage.wire.BackendList;
import saltstage.wire.MalformedException;

/**
 * Validates one change against the entries in force: each value by itself, and the references
 * between entries as they would be after the change. The cost grows with the number of mutations,
 * not with the number of entries.
 */
final class ChangeValidator {
    /** The form of a backend identifier that the discovery service accepts. */
    private static final Pattern BACKEND_ID_PATTERN = Pattern.compile("[!-~]{1,128}");

    /** A lower bound of all names, for finding the first key of a kind. */
    private static final String SMALLEST_NAME = "!";

    private final NavigableMap<EntryKey, Entry> entries;
    private final ShardCounts shardCounts;
    private final Map<EntryKey, Mutation> mutations;

    /**
     * Creates a validator for one change.
     *
     * @param entries the entries in force
     * @param shardCounts the number of shards that refer to each backend now
     * @param mutations the mutations by key, without those that would change nothing
     */
    ChangeValidator(
            NavigableMap<EntryKey, Entry> entries,
            ShardCounts shardCounts,
            Map<EntryKey, Mutation> mutations) {
        this.entries = entries;
        this.shardCounts = shardCounts;
        this.mutations = mutations;
    }

    /** Returns the first rejection in the order of keys, or null if the change is valid. */
    Rejected rejection() {
        boolean hasSettings = false;
        for (Mutation mutation : mutations.values()) {
            Rejected fault =
                    mutation.isDeletion()
                            ? deletionRejection(mutation.key())
                            : valueRejection(mutation);
            if (fault != null) {
                return fault;
            }
            hasSettings |= mutation.key().kind() == EntryKind.SETTING;
        }
        Rejected settingsFault = hasSettings ? settingsRejection() : null;
        return settingsFault != null ? settingsFault : countRejection();
    }

    private Rejected valueRejection(Mutation mutation) {
        EntryKey key = mutation.key();
        String valueError = ValueRules.validationError(mutation.value());
        if (valueError != null) {
            return rejected(
                    RejectionCode.INVALID_VALUE, key, displayText(mutation.value()), valueError);
        }
        return switch (key.kind()) {
            case SETTING -> settingRejection(key, (EntryValue.Setting) mutation.value());
            case BACKEND -> backendRejection(key, (EntryValue.Backend) mutation.value());
            case SHARD ->
                    unknownBackendRejection(key, ((EntryValue.Shard) mutation.value()).backend());
            case SUSPENSION -> unknownBackendRejection(key, key.name());
        };
    }

    private static Rejected settingRejection(EntryKey key, EntryValue.Setting setting) {
        if (!SettingRules.isReloadable(key.name())) {
            return rejected(
                    RejectionCode.UNKNOWN_SETTING,
                    key,
                    setting.text(),
                    "relays take while they run: " + SettingRules.reloadableNames());
        }
        TreeMap<String, String> single = new TreeMap<>(Map.of(key.name(), setting.text()));
        String fault = SettingRules.validationError(single);
        return fault == null
                ? null
                : rejected(RejectionCode.INVALID_VALUE, key, setting.text(), fault);
    }

    private static Rejected backendRejection(EntryKey key, EntryValue.Backend backend) {
        if (!BACKEND_ID_PATTERN.matcher(key.name()).matches()) {
            return rejected(
                    RejectionCode.INVALID_VALUE,
                    key,
                    key.name(),
                    "an identifier of 1 to 128 visible ASCII characters would do");
        }
        try {
            BackendList.parseAddress(backend.address());
            return null;
        } catch (MalformedException malformed) {
            return rejected(
                    RejectionCode.INVALID_VALUE,
                    key,
                    backend.address(),
                    "an address in figures with a port, as 10.0.0.7:4100, would do");
        }
    }

    private Rejected unknownBackendRejection(EntryKey key, String backend) {
        if (BACKEND_ID_PATTERN.matcher(backend).matches()
                && isPresentAfterChange(new EntryKey(EntryKind.BACKEND, backend))) {
            return null;
        }
        return rejected(
                RejectionCode.UNKNOWN_BACKEND,
                key,
                backend,
                "the identifier of a backend that there is would do, or one that this change puts");
    }

    private Rejected deletionRejection(EntryKey key) {
        if (key.kind() != EntryKind.BACKEND) {
            return null;
        }
        int remainingShards = shardCounts.countOf(key.name()) + shardsAddedTo(key.name());
        if (remainingShards > 0) {
            return rejected(
                    RejectionCode.IN_USE,
                    key,
                    "deleted",
                    "place its "
                            + remainingShards
                            + " shards elsewhere first, or in the same change");
        }
        return isPresentAfterChange(new EntryKey(EntryKind.SUSPENSION, key.name()))
                ? rejected(
                        RejectionCode.IN_USE,
                        key,
                        "deleted",
                        "delete suspension/" + key.name() + " with it")
                : null;
    }

    /** Returns by how much this change raises the number of shards that refer to a backend. */
    private int shardsAddedTo(String backend) {
        int added = 0;
        for (Mutation mutation : mutations.values()) {
            if (mutation.key().kind() == EntryKind.SHARD) {
                Entry before = entries.get(mutation.key());
                added -= before != null && isPlacedOn(before.value(), backend) ? 1 : 0;
                added += !mutation.isDeletion() && isPlacedOn(mutation.value(), backend) ? 1 : 0;
            }
        }
        return added;
    }

    private static boolean isPlacedOn(EntryValue value, String backend) {
        return value instanceof EntryValue.Shard shard && shard.backend().equals(backend);
    }

    private boolean isPresentAfterChange(EntryKey key) {
        Mutation mutation = mutations.get(key);
        return mutation == null ? entries.containsKey(key) : !mutation.isDeletion();
    }

    /** Checks all settings together: settings that are valid alone may contradict each other. */
    private Rejected settingsRejection() {
        TreeMap<String, String> after = new TreeMap<>();
        EntryKey first = new EntryKey(EntryKind.SETTING, SMALLEST_NAME);
        for (Entry entry : entries.tailMap(first, true).values()) {
            if (entry.key().kind() != EntryKind.SETTING) {
                break;
            }
            after.put(entry.key().name(), ((EntryValue.Setting) entry.value()).text());
        }
        Mutation reported = null;
        for (Mutation mutation : mutations.values()) {
            if (mutation.key().kind() == EntryKind.SETTING) {
                reported = reported == null || reported.isDeletion() ? mutation : reported;
                if (mutation.isDeletion()) {
                    after.remove(mutation.key().name());
                } else {
                    after.put(
                            mutation.key().name(), ((EntryValue.Setting) mutation.value()).text());
                }
            }
        }
        String fault = SettingRules.validationError(after);
        String value =
                reported == null || reported.isDeletion()
                        ? "deleted"
                        : displayText(reported.value());
        return fault == null
                ? null
                : rejected(
                        RejectionCode.INVALID_VALUE,
                        reported.key(),
                        value,
                        "with the other settings in force: " + fault);
    }

    private Rejected countRejection() {
        int after = entries.size();
        for (Mutation mutation : mutations.values()) {
            boolean before = entries.containsKey(mutation.key());
            after += (mutation.isDeletion() ? 0 : 1) - (before ? 1 : 0);
        }
        return after <= ConfigurationLimits.MAX_ENTRIES
                ? null
                : new Rejected(
                        RejectionCode.FULL,
                        "",
                        after + " entries",
                        ConfigurationLimits.MAX_ENTRIES + " are kept; delete some first");
    }

    private static Rejected rejected(
            RejectionCode code, EntryKey key, String value, String wanted) {
        return new Rejected(code, key.text(), value, wanted);
    }

    private static String displayText(EntryValue value) {
        return value.canonicalText();
    }
}
