package org.redwingramp.wire;

/**
 * The limits and timeouts of a {@link PeerServer}. Immutable and thread safe.
 *
 * @param maxFrameBytes the maximum size of a frame from an authenticated peer in bytes
 * @param maxConnections the number of authenticated connections for which capacity is
 * reserved; each uses a thread
 * @param maxPending the maximum number of connections that are not yet authenticated;
 * when it is reached, a new connection evicts the oldest. It must be well above the
 * number of connections that peers open at the same time, for example after a restart
 * @param handshakeMillis the time within which a connection must be authenticated
 * @param frameMillis the time within which a frame must be received or sent completely
 * @param idleMillis the time after which a connection without messages is closed
 */
public record ServerSettings(int maxFrameBytes, int maxConnections, int maxPending, long handshakeMillis,
		long frameMillis, long idleMillis) {

	/** The settings used in production. */
	public static final ServerSettings DEFAULT = new ServerSettings(5 * 1024 * 1024, 1024, 512, 2_000, 10_000, 60_000);

}
