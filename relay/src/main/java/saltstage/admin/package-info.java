/**
 * Where operators call: one line a connection, one answer, on a thread of its own that waits for
 * nobody. It knows nothing of the relay; {@link saltstage.admin.OperatorService} is what the calls
 * are asked of.
 */
package saltstage.admin;
