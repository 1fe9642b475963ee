/**
 * The configuration that a group keeps for a fleet: accepted changes, their checks and what
 * followers confirm. Deterministic, no I/O, threads or clocks. The entries themselves are {@code
 * saltstage.configuration}.
 */
package saltstage.coordinator.configuration;
