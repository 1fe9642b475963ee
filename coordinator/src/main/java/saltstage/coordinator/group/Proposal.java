package saltstage.coordinator.group;

import saltstage.coordinator.model.Command;

/**
 * A command as it is stored in the log.
 *
 * @param client the session that sent the command; empty for commands of the group itself
 * @param seq the command's number in its session, starting at 1; a number that was already applied
 *     is not applied again
 * @param epoch identifies the process and leadership that stamped the command
 * @param stampMs that leader's monotonic clock when it received the command, in milliseconds from
 *     an arbitrary origin
 */
public record Proposal(String client, long seq, String epoch, long stampMs, Command command) {}
