package saltstage.configuration;

/** What an entry says; each kind of entry has one type of value. */
public sealed interface EntryValue {
    /** The kind of entry that takes this value. */
    EntryKind kind();

    /** All of the value as one line, the same in each process: what digests are made of. */
    String canonicalText();

    /** A setting's value, as it would stand in the operator's file. */
    record Setting(String text) implements EntryValue {
        @Override
        public EntryKind kind() {
            return EntryKind.SETTING;
        }

        @Override
        public String canonicalText() {
            return text;
        }
    }

    /** The states of a backend: takes new work, takes none, or is no more. */
    enum BackendState {
        READY,
        DRAINING,
        GONE
    }

    /**
     * A backend.
     *
     * @param address host in figures and port
     * @param zone the zone that it runs in, may be empty
     * @param cell the group of backends that it belongs to
     * @param weight its share of traffic relative to others, 0 or more
     * @param startedAtMs when it started, milliseconds since 1970; 0: long ago
     */
    record Backend(
            String address,
            String zone,
            int cell,
            BackendState state,
            double weight,
            long startedAtMs)
            implements EntryValue {
        @Override
        public EntryKind kind() {
            return EntryKind.BACKEND;
        }

        @Override
        public String canonicalText() {
            return String.join(
                    "|",
                    address,
                    zone,
                    Integer.toString(cell),
                    state.name(),
                    Double.toString(weight),
                    Long.toString(startedAtMs));
        }
    }

    /** Where a shard is placed: the identifier of the backend that serves it. */
    record Shard(String backend) implements EntryValue {
        @Override
        public EntryKind kind() {
            return EntryKind.SHARD;
        }

        @Override
        public String canonicalText() {
            return backend;
        }
    }

    /** Why a backend is suspended, for operators. */
    record Suspension(String reason) implements EntryValue {
        @Override
        public EntryKind kind() {
            return EntryKind.SUSPENSION;
        }

        @Override
        public String canonicalText() {
            return reason;
        }
    }
}
