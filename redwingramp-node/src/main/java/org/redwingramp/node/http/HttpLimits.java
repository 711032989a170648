package org.redwingramp.node.http;

/**
 * What an HTTP server accepts. Immutable and thread safe.
 *
 * @param maxHeaderBytes the largest request head
 * @param maxBodyBytes the largest request body
 * @param headerTimeoutNanos the longest time for a request head
 * @param idleTimeoutNanos how long a connection without a request stays open
 */
public record HttpLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutNanos, long idleTimeoutNanos) {
}
