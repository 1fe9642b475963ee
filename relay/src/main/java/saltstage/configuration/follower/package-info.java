/**
 * The follower of a configuration source: what to ask and when ({@link
 * saltstage.configuration.follower.FollowerState}, without I/O), how it is asked over HTTP ({@link
 * saltstage.configuration.follower.ConfigurationClient}), and how what was accepted outlives a
 * restart ({@link saltstage.configuration.follower.ConfigurationStore}). {@code
 * docs/design/configuration.md} describes the read API.
 */
package saltstage.configuration.follower;
