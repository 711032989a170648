package org.redwingramp.core.traffic;

/**
 * A service and its weight in the split of the requests of a route. Immutable and thread
 * safe.
 *
 * @param service the service's name
 * @param weight the share of requests, relative to the sum of the weights in the route
 */
public record WeightedService(String service, double weight) {
}
