package org.redwingramp.node.loop;

import java.nio.ByteBuffer;

/**
 * Receives the events of a {@link TcpConnection}. Called in the event loop's thread only.
 */
public interface TcpHandler {

	/**
	 * Called when the connection is established. Not called for accepted connections.
	 */
	default void connected() {
	}

	/**
	 * Called when bytes were received.
	 * @param data the bytes, valid only during the call; they must be consumed completely
	 */
	void received(ByteBuffer data);

	/**
	 * Called when the peer has closed its sending side.
	 */
	void endOfStream();

	/**
	 * Called when the connection was reset, failed or couldn't be established. Not called
	 * after this process has closed it.
	 * @param cause the cause
	 */
	void failed(Exception cause);

	/**
	 * Called once for a connection that is closed after its last write, when everything
	 * is written or the rest was given up.
	 */
	default void writesEnded() {
	}

}
