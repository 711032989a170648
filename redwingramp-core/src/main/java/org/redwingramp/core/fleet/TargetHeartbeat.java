package org.redwingramp.core.fleet;

import org.redwingramp.core.ownership.KeyReport;

/**
 * Heartbeat with which a target reports its state. Immutable and thread safe.
 *
 * @param target the description that the target reports of itself
 * @param coldLeftMillis the remaining time for which the target is cold, that is, warming
 * up, in milliseconds; 0 if it is warm
 * @param sequence the sequence number, which rises with each heartbeat of one incarnation
 * @param keys the key ranges that the target reports; empty if it isn't granted keys by
 * heartbeat
 */
public record TargetHeartbeat(FleetTarget target, long coldLeftMillis, long sequence, KeyReport keys) {
}
