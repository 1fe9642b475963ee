/**
 * The API of a replica for clients and operators: HTTP/1.1 and JSON, on loopback unless configured
 * otherwise.
 */
package saltstage.coordinator.api;
