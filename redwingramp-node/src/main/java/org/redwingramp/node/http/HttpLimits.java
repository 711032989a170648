package org.redwingramp.node.http;

/**
 * The size limits and timeouts of an HTTP server. Immutable and thread safe.
 *
 * @param maxHeaderBytes the maximum size of a request head
 * @param maxBodyBytes the maximum size of a request body
 * @param headerTimeoutNanos the timeout for receiving a request head; a connection is
 * closed if it receives no bytes of an incomplete request for twice this time
 * @param idleTimeoutNanos how long a connection without a request is kept open
 */
public record HttpLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutNanos, long idleTimeoutNanos) {
}
