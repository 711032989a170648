package org.redwingramp.wire;

/**
 * The limits of a {@link PeerServer}. Immutable and thread safe.
 *
 * @param maxFrameBytes the largest frame of an authenticated peer
 * @param maxConnections the largest number of connections; each has a thread
 * @param maxPending the largest number of connections that are not authenticated; the
 * oldest gives way to a new one
 * @param handshakeMillis the time in which a connection must authenticate itself
 * @param frameMillis the time in which a frame must arrive or leave as a whole
 * @param idleMillis the time after which a connection without messages is closed
 */
public record ServerSettings(int maxFrameBytes, int maxConnections, int maxPending, long handshakeMillis,
		long frameMillis, long idleMillis) {

	/** The settings used outside tests. */
	public static final ServerSettings DEFAULT = new ServerSettings(5 * 1024 * 1024, 1024, 64, 2_000, 10_000, 60_000);

}
