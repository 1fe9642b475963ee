/** Maintenance windows across regions: which drain may begin when. No I/O, threads or clocks. */
package saltstage.coordinator.window;
