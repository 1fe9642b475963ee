/**
 * The follower of a configuration source. {@link saltstage.configuration.follower.FollowerState}
 * decides, without I/O, which requests to send and when; {@link
 * saltstage.configuration.follower.ConfigurationClient} sends them over HTTP; {@link
 * saltstage.configuration.follower.ConfigurationStore} persists the accepted configuration across
 * restarts. {@code docs/design/configuration.md} describes the read API.
 */
package saltstage.configuration.follower;
