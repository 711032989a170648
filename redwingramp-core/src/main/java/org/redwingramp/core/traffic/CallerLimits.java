package org.redwingramp.core.traffic;

/**
 * What a caller may send and how long it may take. Immutable and thread safe.
 *
 * @param maxHeaderBytes the largest request head
 * @param maxBodyBytes the largest request body
 * @param headerTimeoutMillis the longest time for a request head
 * @param idleTimeoutMillis how long a connection without a request stays open
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

	/** In force until a configuration says otherwise. */
	public static final CallerLimits DEFAULT = new CallerLimits(16_384, 67_108_864, 3000, 15_000);

}
