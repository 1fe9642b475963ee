/**
 * The replicated state of a group and the commands that change it. This package is deterministic,
 * does no I/O and has no threads or clocks.
 */
package saltstage.coordinator.group;
