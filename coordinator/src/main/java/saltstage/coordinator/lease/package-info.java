/**
 * Leases, which give a task exactly one holder at a time in the fleet. This package does no I/O and
 * has no threads or clocks.
 */
package saltstage.coordinator.lease;
