/** The types that all commands and replies share. This package does no I/O. */
package saltstage.coordinator.model;
