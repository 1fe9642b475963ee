package saltstage.lifecycle;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import saltstage.config.OperatorSettings;
import saltstage.configuration.Change;
import saltstage.configuration.ConfigurationView;
import saltstage.configuration.EntryKey;
import saltstage.configuration.EntryValue;
import saltstage.configuration.Mutation;
import saltstage.handover.Suspensions;
import saltstage.wire.BackendList;

/**
 * The entries of the shared configuration that are in force in this process. Backends are passed on
 * as discovery's lists are, and suspensions as those of operator calls. Thread safe.
 */
final class AppliedConfiguration {
    private final Suspensions suspensions;
    private final Consumer<BackendList> listListener;
    private final BackendEntries backends = new BackendEntries();
    private final ConfiguredSettings settings;
    private final Set<String> suspendedBackendIds = new TreeSet<>();
    private final Map<String, String> backendsByShard = new ConcurrentHashMap<>();
    private boolean listDelivered;

    /**
     * Applies the configuration that is in force at the start. Its list is not delivered: the relay
     * starts with it.
     */
    AppliedConfiguration(
            ConfigurationView initialView,
            OperatorSettings.Logging logging,
            Suspensions suspensions,
            Consumer<BackendList> listListener) {
        this.suspensions = suspensions;
        this.listListener = listListener;
        settings = new ConfiguredSettings(logging);
        replaceEntries(initialView);
        listDelivered = !backends.isEmpty();
    }

    /** Returns the list of backends at this revision, or empty if the entries name none. */
    synchronized Optional<BackendList> list(long revision) {
        return backends.isEmpty() ? Optional.empty() : Optional.of(backends.fullList(revision));
    }

    /** Returns the backend that a shard is placed on. */
    Optional<String> backendOfShard(String name) {
        return Optional.ofNullable(backendsByShard.get(name));
    }

    /** Replaces the logging settings of the operator's file. */
    void useLogging(OperatorSettings.Logging logging) {
        settings.setFileSettings(logging);
    }

    /** Applies changes, the oldest first, and delivers the list's changes. */
    synchronized void apply(List<Change> changes, long newRevision) {
        for (Change change : changes) {
            for (Mutation mutation : change.mutations()) {
                applyEntry(mutation.key(), mutation.value());
            }
        }
        applySettingsAndSuspensions();
        deliver(listDelivered ? backends.changesSinceLast(newRevision) : null);
    }

    /** Replaces all entries by those of a view, and delivers the whole list. */
    synchronized void replace(ConfigurationView view) {
        replaceEntries(view);
        boolean isListKnown = listDelivered || !backends.isEmpty();
        deliver(isListKnown ? backends.fullList(view.revision()) : null);
    }

    /**
     * Delivers the first list. The platform's list stays in force until a source has confirmed the
     * whole configuration and it names a backend.
     */
    synchronized void deliverFirstList(long revision) {
        if (!listDelivered && !backends.isEmpty()) {
            deliver(backends.fullList(revision));
        }
    }

    private void deliver(BackendList list) {
        if (list != null) {
            listDelivered = true;
            listListener.accept(list);
        }
    }

    private void replaceEntries(ConfigurationView view) {
        backends.clear();
        settings.clear();
        suspendedBackendIds.clear();
        backendsByShard.clear();
        view.entries().forEach((key, entry) -> applyEntry(key, entry.value()));
        applySettingsAndSuspensions();
    }

    private void applyEntry(EntryKey key, EntryValue value) {
        String name = key.name();
        switch (key.kind()) {
            case BACKEND -> backends.set(name, (EntryValue.Backend) value);
            case SETTING ->
                    settings.set(name, value == null ? null : ((EntryValue.Setting) value).text());
            case SUSPENSION -> setSuspended(name, value != null);
            case SHARD -> setShard(name, (EntryValue.Shard) value);
        }
    }

    private void setSuspended(String backendId, boolean suspend) {
        if (suspend) {
            suspendedBackendIds.add(backendId);
        } else {
            suspendedBackendIds.remove(backendId);
        }
    }

    private void setShard(String shard, EntryValue.Shard value) {
        if (value == null) {
            backendsByShard.remove(shard);
        } else {
            backendsByShard.put(shard, value.backend());
        }
    }

    private void applySettingsAndSuspensions() {
        settings.apply();
        // Applied before the list, as a new backend may be suspended from its first moment.
        suspensions.setSuspendedByConfiguration(suspendedBackendIds);
    }
}
