/**
 * An embedded key-value store: ordered byte keys and byte values in an append-only log, with an
 * in-memory index, checkpoints, compaction and recovery. The package does not depend on the rest of
 * the relay. {@code docs/design/store.md} explains the design and specifies the format of every
 * file byte by byte.
 *
 * <p>The decisions are kept free of I/O: {@link saltstage.store.TailClassifier} classifies an
 * unreadable end of the log, and {@link saltstage.store.MaintenancePolicy} decides when to write a
 * checkpoint and which segments to compact. All file access goes through {@link
 * saltstage.store.Disk}.
 */
package saltstage.store;
