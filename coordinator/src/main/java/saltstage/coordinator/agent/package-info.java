/** The agent of a region, which carries out maintenance windows under the region's lease. */
package saltstage.coordinator.agent;
