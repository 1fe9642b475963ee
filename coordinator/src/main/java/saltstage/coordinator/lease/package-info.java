/** Leases: for tasks of which the fleet wants one doer. No I/O, threads or clocks. */
package saltstage.coordinator.lease;
