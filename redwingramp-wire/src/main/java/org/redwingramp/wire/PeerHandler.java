package org.redwingramp.wire;

/**
 * Receives the messages of authenticated peers. Implementations must be thread safe: each
 * connection invokes the handler on a thread of its own.
 */
public interface PeerHandler {

	/**
	 * Takes a one-way message. Must not block, since it delays later messages of the same
	 * peer.
	 * @param sender the sender
	 * @param kind what the payload is
	 * @param payload the payload
	 */
	void delivered(Peer sender, Kind kind, byte[] payload);

	/**
	 * Answers a call. Any other exception than {@link CallRefusedException} is reported
	 * to the caller as an unknown outcome.
	 * @param sender the sender
	 * @param kind what the payload is
	 * @param payload the payload
	 * @param deadline the end of the caller's patience by {@link System#nanoTime()}
	 * @return the answer
	 * @throws CallRefusedException if the call had no effect and will have none
	 */
	byte[] called(Peer sender, Kind kind, byte[] payload, long deadline) throws CallRefusedException;

}
