package saltstage.process;

import saltstage.configuration.EntryKey;
import saltstage.configuration.EntryKind;
import saltstage.configuration.EntryValue;
import saltstage.configuration.EntryValue.BackendState;
import saltstage.configuration.Mutation;
import saltstage.process.RelayTestEnvironment.TestServer;

/** Mutations of the shared configuration; null as the value deletes the entry. */
final class TestMutations {
    private TestMutations() {}

    static Mutation backend(String id, TestServer server, BackendState state) {
        return new Mutation(
                new EntryKey(EntryKind.BACKEND, id),
                state == null
                        ? null
                        : new EntryValue.Backend(server.endpoint(), "a", 0, state, 1, 0));
    }

    static Mutation suspension(String id, String reason) {
        return new Mutation(
                new EntryKey(EntryKind.SUSPENSION, id),
                reason == null ? null : new EntryValue.Suspension(reason));
    }

    static Mutation setting(String name, String text) {
        return new Mutation(
                new EntryKey(EntryKind.SETTING, name),
                text == null ? null : new EntryValue.Setting(text));
    }
}
