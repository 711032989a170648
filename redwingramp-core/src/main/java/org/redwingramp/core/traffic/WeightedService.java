package org.redwingramp.core.traffic;

/**
 * A service with its part of a route's requests. Immutable and thread safe.
 *
 * @param service the service's name
 * @param weight the part, relative to the sum of the weights of the route
 */
public record WeightedService(String service, double weight) {
}
