/**
 * The client library for programs that use a group: sessions, and leases whose validity ends before
 * the group may grant them again.
 */
package saltstage.coordinator.client;
