package org.redwingramp.core.traffic;

/**
 * Limits on the size of requests from callers and on the time they may take. Immutable
 * and thread safe.
 *
 * @param maxHeaderBytes the maximum size of a request head
 * @param maxBodyBytes the maximum size of a request body
 * @param headerTimeoutMillis the maximum time in which a request head must arrive
 * @param idleTimeoutMillis the time after which a connection without a request is closed
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

	/** The limits in force until a configuration sets others. */
	public static final CallerLimits DEFAULT = new CallerLimits(16_384, 67_108_864, 3000, 15_000);

}
