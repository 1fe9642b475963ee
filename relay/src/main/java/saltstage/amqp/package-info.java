/**
 * AMQP 1.0 beside the lines, under the same decisions: an attach is a request, a link that stands
 * is a connection at a backend, and each unsettled delivery is owed one outcome. The codec and the
 * engine are Qpid protonj2's; {@link saltstage.amqp.DeliveryForwarder} and {@link
 * saltstage.amqp.AttachMapper} decide without I/O; the rest joins the engine to {@link
 * saltstage.net} and to the stages. docs/design/amqp.md has the table.
 */
package saltstage.amqp;
