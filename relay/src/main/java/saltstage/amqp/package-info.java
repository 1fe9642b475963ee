/**
 * The AMQP 1.0 frontend, which serves clients next to the line protocol through the same pipeline.
 * An attach is a request, an established link is a connection to a backend, and each unsettled
 * delivery gets exactly one outcome. The codec and the engine are those of Qpid protonj2. {@link
 * saltstage.amqp.DeliveryForwarder} and {@link saltstage.amqp.AttachMapper} make decisions without
 * I/O; the other classes connect the engine to {@link saltstage.net} and to the pipeline. The table
 * in docs/design/amqp.md has the details.
 */
package saltstage.amqp;
