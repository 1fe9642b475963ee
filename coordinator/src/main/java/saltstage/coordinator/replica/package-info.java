/**
 * A replica of a group: consensus by MicroRaft, the log in the embedded store, and links to peers
 * on the relay's transport.
 */
package saltstage.coordinator.replica;
