/** What a group keeps and how a command changes it: deterministic, no I/O, threads or clocks. */
package saltstage.coordinator.group;
