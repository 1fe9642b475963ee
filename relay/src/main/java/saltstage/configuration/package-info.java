/**
 * Configuration that a fleet shares: typed entries by key, changed by numbered revisions. This
 * package does no I/O and uses no threads or clocks. The coordinator's replicas, distributors, and
 * relays whose settings name a configuration source use it; a relay without such settings loads
 * none of its classes.
 */
package saltstage.configuration;
