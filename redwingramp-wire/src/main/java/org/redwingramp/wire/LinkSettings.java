package org.redwingramp.wire;

/**
 * The limits and timeouts of outgoing connections. Immutable and thread safe.
 *
 * @param maxFrameBytes the maximum size of a frame in bytes
 * @param queueLength the maximum number of one-way messages queued for a peer; when it is
 * exceeded, the oldest message is dropped
 * @param controlConnections the maximum number of connections to a peer for control calls
 * @param forwardConnections the maximum number of connections to a peer for forwarded
 * requests, which is also the maximum number of such requests in flight
 * @param connectMillis the time within which a connection must be opened and
 * authenticated
 * @param pingMillis the interval of pings on a connection for one-way messages
 * @param testAfterMillis how long a connection for calls may be idle before a ping checks
 * it ahead of its next use; longer than the heartbeat interval, so that heartbeats need
 * no ping
 * @param silentMillis the ping timeout, after which the connection counts as
 * unresponsive; also the maximum time that sending a one-way message may take
 * @param idleMillis the time after which an unused connection is closed
 * @param minBackoffMillis the delay after the second consecutive failed connection
 * attempt
 * @param maxBackoffMillis the maximum delay between connection attempts
 */
public record LinkSettings(int maxFrameBytes, int queueLength, int controlConnections, int forwardConnections,
		long connectMillis, long pingMillis, long testAfterMillis, long silentMillis, long idleMillis,
		long minBackoffMillis, long maxBackoffMillis) {

	/**
	 * The settings used in production. An unresponsive connection is replaced within 300
	 * ms, which is less than the gate lease of 700 ms.
	 */
	public static final LinkSettings DEFAULT = new LinkSettings(5 * 1024 * 1024, 256, 8, 64, 300, 100, 250, 200, 15_000,
			20, 500);

}
