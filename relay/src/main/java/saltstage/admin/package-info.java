/**
 * The listener for operator calls: one request line and one answer per connection, served by one
 * thread that never blocks. The package does not depend on the rest of the relay; it passes calls
 * to an {@link saltstage.admin.OperatorService}.
 */
package saltstage.admin;
