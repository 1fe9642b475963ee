/**
 * Transport: listeners, connections, bounded write buffers, backpressure and timers behind
 * interfaces that are small enough for a second implementation on a virtual clock. Nothing above
 * this package names Netty, and nothing that a loop calls may block.
 */
package saltstage.net;
