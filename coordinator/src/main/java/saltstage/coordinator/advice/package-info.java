/**
 * Which tenants to move between nodes: from snapshots that nodes share. No I/O, threads or clocks.
 */
package saltstage.coordinator.advice;
