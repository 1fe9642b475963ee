/**
 * Recommends which tenants to move between nodes, based on snapshots that the nodes share. This
 * package does no I/O and has no threads or clocks.
 */
package saltstage.coordinator.advice;
