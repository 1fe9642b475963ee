/**
 * What a relay keeps over a restart, on {@link saltstage.store}: the list of backends, what its
 * module has learnt, and the configurations it has accepted. Written by a thread of its own, never
 * on a request's path; a store that is lost is told and done without.
 */
package saltstage.persistence;
