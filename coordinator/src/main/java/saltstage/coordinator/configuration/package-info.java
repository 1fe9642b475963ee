/**
 * The configuration that a group stores for a fleet: accepted changes, their validation and the
 * revisions that followers have confirmed. The code is deterministic and uses no I/O, threads or
 * clocks. The entries themselves are defined in {@code saltstage.configuration}.
 */
package saltstage.coordinator.configuration;
