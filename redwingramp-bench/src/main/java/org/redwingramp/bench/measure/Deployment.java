package org.redwingramp.bench.measure;

import java.util.List;

/**
 * A deployment with the sizes and costs that section 1.1 of docs/design.md states. Times
 * are in nanoseconds of virtual time. Immutable and thread safe.
 *
 * @param name the deployment's name
 * @param domains the failure domains
 * @param hopNanos the one-way latency between failure domains
 * @param callerNanos the one-way latency to callers
 * @param slots the number of requests that each target handles concurrently
 * @param connections the connections that each target accepts
 * @param connectNanos the time to open a connection
 * @param probeNanos the time that a probe occupies a target, 0 if none is stated
 * @param entries the number of entry instances
 * @param shardedService the service whose keys are owned by one target each
 * @param unshardedService the service that may send each request to any target
 */
public record Deployment(String name, List<String> domains, long hopNanos, long callerNanos, int slots, int connections,
		long connectNanos, long probeNanos, int entries, Service shardedService, Service unshardedService) {

	/** The deployment of the burner service company. */
	public static final Deployment GUATE_CENTRAL = new Deployment("guate-central",
			List.of("zona-capital", "zona-mixco", "zona-villanueva"), 500 * VirtualTime.MICROS, 3 * VirtualTime.MILLIS,
			3, 110, VirtualTime.MILLIS, 0, 10, new Service("taller-svc", 20, true), new Service("cobro-svc", 6, false));

	/** The deployment of the hive stand works. */
	public static final Deployment PIEDMONT = new Deployment("piedmont",
			List.of("piedmont-a", "piedmont-b", "piedmont-c", "piedmont-d"), VirtualTime.MILLIS, 3 * VirtualTime.MILLIS,
			6, 60, VirtualTime.MILLIS, 6 * VirtualTime.MILLIS, 10, new Service("catalog-desk", 25, true),
			new Service("freight-desk", 8, false));

	/** All deployments. */
	public static final List<Deployment> ALL = List.of(GUATE_CENTRAL, PIEDMONT);

	List<Service> services() {
		return List.of(this.unshardedService, this.shardedService);
	}

	String domain(int target) {
		return this.domains.get(target % this.domains.size());
	}

	/**
	 * Returns the requests per second that all warm targets of a service handle together.
	 * @param service the service
	 * @return the capacity in requests per second
	 */
	double capacity(Service service) {
		return (double) service.targets() * this.slots * VirtualTime.SECONDS / ModelTarget.MEAN_SERVICE_NANOS;
	}

	/**
	 * A service of the deployment.
	 *
	 * @param name the service's name
	 * @param targets the number of targets
	 * @param sharded whether the service is sharded by key
	 */
	record Service(String name, int targets, boolean sharded) {
	}

}
