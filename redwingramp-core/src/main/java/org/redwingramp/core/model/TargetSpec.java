package org.redwingramp.core.model;

/**
 * A target as it announces itself. Immutable and thread safe.
 *
 * @param name the target's name, unique within the deployment
 * @param service the service that it serves
 * @param address the address as {@code ip:port}
 * @param failureDomain the failure domain that it runs in
 * @param slots the number of requests that it runs at once
 * @param connections the number of connections that it accepts
 * @param bootId identifies one run of the target; a new value means that it lost its
 * grants and is cold
 * @param checksFences whether it refuses requests with a lower fence
 */
public record TargetSpec(String name, String service, String address, String failureDomain, int slots, int connections,
		String bootId, boolean checksFences) {
}
