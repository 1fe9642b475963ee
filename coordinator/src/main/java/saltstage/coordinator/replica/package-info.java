/**
 * A replica: consensus by MicroRaft, its log in the embedded store, its links on the relay's
 * transport.
 */
package saltstage.coordinator.replica;
