package org.redwingramp.core.fleet;

/**
 * What a target says of itself. Immutable and thread safe.
 *
 * @param target the target as it describes itself
 * @param coldLeftMillis how much longer it is cold, 0 if it is warm
 * @param sequence rises with each heartbeat of one life
 */
public record TargetHeartbeat(FleetTarget target, long coldLeftMillis, long sequence) {
}
