/**
 * State that a relay keeps across restarts, on top of {@link saltstage.store}: the backend list,
 * the learned state of the load balancer, and the accepted configurations. A separate thread writes
 * it, never the request path. If the store fails, the relay reports it and continues without
 * persistence.
 */
package saltstage.persistence;
