/** For programs that use a group: sessions, and leases that stop in time. */
package saltstage.coordinator.client;
