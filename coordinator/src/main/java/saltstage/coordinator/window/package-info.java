/**
 * Maintenance windows across regions: decides when the drain of a window may begin. The package
 * uses no I/O, no threads and no clocks.
 */
package saltstage.coordinator.window;
