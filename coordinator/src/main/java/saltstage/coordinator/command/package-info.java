/** The command line of the coordinator. */
package saltstage.coordinator.command;
