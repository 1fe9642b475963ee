/** The relay's counters and resource usage, which can be read at any time without blocking. */
package saltstage.metrics;
