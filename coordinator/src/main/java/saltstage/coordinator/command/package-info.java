/** The command line. */
package saltstage.coordinator.command;
