package org.redwingramp.core.control;

/**
 * A target's reply to a grant. Immutable and thread safe.
 *
 * @param clockMillis the reading of the target's monotonic clock in milliseconds
 * @param bootId identifies the incarnation of the target
 * @param epoch the highest gate epoch that the target has seen
 * @param inFlight the number of requests that the target reports as running
 * @param number the sequence number of the last grant that the target accepted in that
 * epoch
 */
public record GrantReply(long clockMillis, String bootId, long epoch, int inFlight, long number) {
}
