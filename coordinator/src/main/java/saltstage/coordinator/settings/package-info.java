/** The settings files of the coordinator, its distributors and its agents, in HCL. */
package saltstage.coordinator.settings;
