package org.redwingramp.core.traffic;

/**
 * Distributes the requests of one route over its services in proportion to their weights,
 * by smooth weighted round robin: after any number of requests each service is within one
 * request of its share. Not thread safe.
 */
public final class WeightedRoundRobin {

	private final Route route;

	private final double[] currentWeights;

	/**
	 * Creates a round robin over the services of a route.
	 * @param route the route
	 */
	public WeightedRoundRobin(Route route) {
		this.route = route;
		this.currentWeights = new double[route.services().size()];
	}

	/**
	 * Selects the service for the next request.
	 * @return the service's name
	 */
	public String next() {
		int best = 0;
		for (int i = 0; i < this.currentWeights.length; i++) {
			this.currentWeights[i] += this.route.services().get(i).weight();
			best = (this.currentWeights[i] > this.currentWeights[best]) ? i : best;
		}
		this.currentWeights[best] -= this.route.services().stream().mapToDouble(WeightedService::weight).sum();
		return this.route.services().get(best).service();
	}

}
