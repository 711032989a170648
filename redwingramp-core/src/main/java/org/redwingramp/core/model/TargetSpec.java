package org.redwingramp.core.model;

/**
 * The announcement of a target. Immutable and thread safe.
 *
 * @param name the target's name, unique within the deployment
 * @param service the service that the target serves
 * @param address the address as {@code ip:port}
 * @param failureDomain the failure domain in which the target runs
 * @param slots the number of requests that the target runs at once
 * @param connections the number of connections that the target accepts
 * @param bootId identifies one incarnation of the target; a new value means that the
 * target has lost its grants and is cold
 * @param checksFences whether the target refuses requests with a lower fence
 */
public record TargetSpec(String name, String service, String address, String failureDomain, int slots, int connections,
		String bootId, boolean checksFences) {
}
