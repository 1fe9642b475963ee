/**
 * An embedded store: ordered byte keys to byte values on an append-only log with an index in
 * memory, checkpoints, compaction and recovery. It knows nothing of the relay. {@code
 * docs/design/store.md} has the reasons and the format of every file, byte by byte.
 *
 * <p>What decides stands free of I/O: {@link saltstage.store.TailClassifier} says what an
 * unreadable end of the log is, {@link saltstage.store.MaintenancePolicy} when to checkpoint and
 * what to compact. Everything that touches a file does so through {@link saltstage.store.Disk}.
 */
package saltstage.store;
