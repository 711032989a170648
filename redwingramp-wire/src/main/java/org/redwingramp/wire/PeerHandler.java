package org.redwingramp.wire;

/**
 * Handles the messages and calls of authenticated peers. Implementations must be thread
 * safe: each connection invokes the handler on its own thread.
 */
public interface PeerHandler {

	/**
	 * Handles a one-way message. Must not block, since that would delay later messages on
	 * the same connection.
	 * @param sender the peer that sent it
	 * @param kind the type of the payload
	 * @param payload the encoded payload
	 */
	void messageReceived(Peer sender, Kind kind, byte[] payload);

	/**
	 * Handles a call and returns its reply. Any exception other than
	 * {@link CallRefusedException} is reported to the caller as an unknown outcome.
	 * @param sender the peer that sent it
	 * @param kind the type of the payload
	 * @param payload the encoded payload
	 * @param deadline the {@link System#nanoTime()} at which the caller stops waiting
	 * @return the encoded reply
	 * @throws CallRefusedException if the call had no effect and will have none
	 */
	byte[] handleCall(Peer sender, Kind kind, byte[] payload, long deadline) throws CallRefusedException;

}
