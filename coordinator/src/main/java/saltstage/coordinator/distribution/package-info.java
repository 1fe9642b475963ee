/**
 * The distributor: a follower of the group's configuration that serves the read API to other
 * followers and reports the revisions that they have confirmed. A distributor has no vote.
 */
package saltstage.coordinator.distribution;
