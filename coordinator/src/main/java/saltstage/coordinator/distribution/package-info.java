/**
 * The distributor: a follower of the group's configuration that serves the read API to other
 * followers and sums up what they have confirmed. It has no vote.
 */
package saltstage.coordinator.distribution;
