package org.redwingramp.bench.measure;

import java.util.List;

/**
 * A user's deployment with the sizes and costs of section 1.1 of the design page. Times
 * are in nanoseconds of virtual time. Immutable and thread safe.
 *
 * @param name the deployment's name
 * @param domains the failure domains
 * @param hopNanos the one-way latency between failure domains
 * @param callerNanos the one-way latency to callers
 * @param slots the slots of each target
 * @param connections the connections that each target accepts
 * @param connectNanos the cost of a new connection
 * @param probeNanos what a probe costs a target, 0 if nothing is stated
 * @param entries the number of entry instances
 * @param keyed the service that is sharded by key
 * @param spread the service that isn't
 */
public record Deployment(String name, List<String> domains, long hopNanos, long callerNanos, int slots, int connections,
		long connectNanos, long probeNanos, int entries, Service keyed, Service spread) {

	/** The deployment of the burner service company. */
	public static final Deployment GUATE_CENTRAL = new Deployment("guate-central",
			List.of("zona-capital", "zona-mixco", "zona-villanueva"), 500 * VirtualTime.MICROS, 3 * VirtualTime.MILLIS,
			3, 110, VirtualTime.MILLIS, 0, 10, new Service("taller-svc", 20, true), new Service("cobro-svc", 6, false));

	/** The deployment of the hive stand works. */
	public static final Deployment PIEDMONT = new Deployment("piedmont",
			List.of("piedmont-a", "piedmont-b", "piedmont-c", "piedmont-d"), VirtualTime.MILLIS, 3 * VirtualTime.MILLIS,
			6, 60, VirtualTime.MILLIS, 6 * VirtualTime.MILLIS, 10, new Service("catalog-desk", 25, true),
			new Service("freight-desk", 8, false));

	/** Both deployments. */
	public static final List<Deployment> ALL = List.of(GUATE_CENTRAL, PIEDMONT);

	List<Service> services() {
		return List.of(this.spread, this.keyed);
	}

	String domain(int target) {
		return this.domains.get(target % this.domains.size());
	}

	/**
	 * Returns the requests per second that all targets of a service can answer.
	 * @param service the service
	 * @return the capacity in requests per second
	 */
	double capacity(Service service) {
		return (double) service.targets() * this.slots * VirtualTime.SECONDS / ModelTarget.SERVICE_NANOS;
	}

	/**
	 * A service.
	 *
	 * @param name the service's name
	 * @param targets the number of targets
	 * @param sharded whether the service is sharded by key
	 */
	record Service(String name, int targets, boolean sharded) {
	}

}
