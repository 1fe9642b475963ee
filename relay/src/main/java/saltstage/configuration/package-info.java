/**
 * Configuration that a fleet shares: typed entries by key, changed by revision. Free of I/O,
 * threads and clocks; used by the coordinator's replicas, by distributors and by relays whose
 * settings name a source. A relay without such settings loads nothing of it.
 */
package saltstage.configuration;
