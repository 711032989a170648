package org.redwingramp.wire;

/**
 * The limits of outgoing connections. Immutable and thread safe.
 *
 * @param maxFrameBytes the largest frame
 * @param queueLength the number of one-way messages that wait for a peer; the oldest is
 * dropped
 * @param controlConnections the largest number of connections to a peer for control calls
 * @param forwardConnections the largest number of connections to a peer for forwarded
 * requests, which is also the number of them in flight
 * @param connectMillis the time in which a connection must be open and authenticated
 * @param pingMillis how often a connection for one-way messages is tested
 * @param testAfterMillis how long a connection for calls may be idle before it is tested
 * ahead of its next use; longer than the interval of heartbeats, which need no test
 * @param silentMillis how long the answer to a test may take
 * @param idleMillis the time after which an unused connection is closed
 * @param minBackoffMillis the pause after the second failed attempt to connect in a row
 * @param maxBackoffMillis the longest pause between attempts
 */
public record LinkSettings(int maxFrameBytes, int queueLength, int controlConnections, int forwardConnections,
		long connectMillis, long pingMillis, long testAfterMillis, long silentMillis, long idleMillis,
		long minBackoffMillis, long maxBackoffMillis) {

	/**
	 * The settings used outside tests. A silent connection is replaced within 300 ms,
	 * less than the gate lease of 700 ms.
	 */
	public static final LinkSettings DEFAULT = new LinkSettings(5 * 1024 * 1024, 256, 8, 64, 300, 100, 250, 200, 15_000,
			20, 500);

}
