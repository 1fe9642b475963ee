/** A region's agent: carries windows out, under the region's lease. */
package saltstage.coordinator.agent;
