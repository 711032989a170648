package org.redwingramp.wire;

/**
 * The limits of a {@link PeerServer}. Immutable and thread safe.
 *
 * @param maxFrameBytes the largest frame of an authenticated peer
 * @param maxConnections the number of authenticated connections that there is always room
 * for; each has a thread
 * @param maxPending the largest number of connections that are not authenticated; the
 * oldest gives way to a new one. It must be well above the number of connections that
 * peers open at once, for example after a restart
 * @param handshakeMillis the time in which a connection must authenticate itself
 * @param frameMillis the time in which a frame must arrive or leave as a whole
 * @param idleMillis the time after which a connection without messages is closed
 */
public record ServerSettings(int maxFrameBytes, int maxConnections, int maxPending, long handshakeMillis,
		long frameMillis, long idleMillis) {

	/** The settings used outside tests. */
	public static final ServerSettings DEFAULT = new ServerSettings(5 * 1024 * 1024, 1024, 512, 2_000, 10_000, 60_000);

}
