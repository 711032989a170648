package org.redwingramp.core.control;

/**
 * A target's answer to a grant. Immutable and thread safe.
 *
 * @param clockMillis the target's monotonic clock in milliseconds
 * @param bootId the target's run
 * @param epoch the highest gate epoch that the target has seen
 * @param inFlight the number of requests that the target says it runs
 * @param number the number of the last grant that the target accepted in that epoch
 */
public record GrantReply(long clockMillis, String bootId, long epoch, int inFlight, long number) {
}
