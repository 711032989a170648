package org.redwingramp.core.traffic;

/**
 * Distributes the requests of one route over its services in the proportion of their
 * weights, by smooth weighted round robin: after any number of requests each service is
 * within one request of its share. Not thread safe.
 */
public final class SplitCounter {

	private final Route route;

	private final double[] credit;

	/**
	 * Creates a counter.
	 * @param route the route
	 */
	public SplitCounter(Route route) {
		this.route = route;
		this.credit = new double[route.services().size()];
	}

	/**
	 * Chooses the service of the next request.
	 * @return the service's name
	 */
	public String next() {
		int best = 0;
		for (int i = 0; i < this.credit.length; i++) {
			this.credit[i] += this.route.services().get(i).weight();
			best = (this.credit[i] > this.credit[best]) ? i : best;
		}
		this.credit[best] -= this.route.services().stream().mapToDouble(WeightedService::weight).sum();
		return this.route.services().get(best).service();
	}

}
