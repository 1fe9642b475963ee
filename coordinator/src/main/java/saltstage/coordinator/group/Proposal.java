package saltstage.coordinator.group;

import saltstage.coordinator.model.Command;

/**
 * A command as it stands in the log.
 *
 * @param client the session that it is of; empty: of the group itself
 * @param seq its number in that session, from 1 on; a number that was carried out is not carried
 *     out again
 * @param epoch which leadership of which process has stamped it
 * @param stampMs that leader's monotonic clock when the command reached it, milliseconds from
 *     anywhere
 */
public record Proposal(String client, long seq, String epoch, long stampMs, Command command) {}
