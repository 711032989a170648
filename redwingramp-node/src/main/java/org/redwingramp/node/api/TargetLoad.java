package org.redwingramp.node.api;

/**
 * The load that a target reports about itself. Immutable and thread safe.
 *
 * @param running the number of requests being processed
 * @param waiting the number of queued requests
 * @param slots the maximum number of requests processed at once
 * @param processingTimePercent the current processing time as a percentage of the usual
 * one
 */
public record TargetLoad(int running, int waiting, int slots, int processingTimePercent) {
}
