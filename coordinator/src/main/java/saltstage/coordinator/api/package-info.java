/**
 * Where clients and operators call a replica: HTTP/1.1 and JSON, on loopback unless told otherwise.
 */
package saltstage.coordinator.api;
