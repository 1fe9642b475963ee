/** What commands and replies have in common; no I/O. */
package saltstage.coordinator.model;
