/** The operators' settings of a group, in HCL. */
package saltstage.coordinator.settings;
