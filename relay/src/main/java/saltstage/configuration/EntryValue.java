package saltstage.configuration;

/** The value of an entry; each kind of entry has one type of value. */
public sealed interface EntryValue {
    /** The kind of entry that has values of this type. */
    EntryKind kind();

    /** The whole value as one line, identical in each process. Digests are computed from it. */
    String canonicalText();

    /** The value of a setting, in the form used in the operator's settings file. */
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

    /** The state of a backend: it takes new requests, takes none, or no longer exists. */
    enum BackendState {
        READY,
        DRAINING,
        GONE
    }

    /**
     * A backend.
     *
     * @param address the numeric host address and the port
     * @param zone the zone that the backend runs in; may be empty
     * @param cell the group of backends that the backend belongs to
     * @param weight the backend's share of traffic relative to other backends, 0 or more
     * @param startedAtMs when the backend started, in milliseconds since 1970; 0 means long ago
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

    /** The placement of a shard: the identifier of the backend that serves it. */
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

    /** The suspension of a backend, with a reason for operators. */
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
