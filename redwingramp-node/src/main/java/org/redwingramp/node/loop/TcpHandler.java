package org.redwingramp.node.loop;

import java.nio.ByteBuffer;

/**
 * Hears what happens on a connection. Called in the loop's thread only.
 */
public interface TcpHandler {

	/**
	 * The connection is established. Only called for connections opened by this side.
	 */
	default void connected() {
	}

	/**
	 * Bytes arrived.
	 * @param data the bytes; they are valid only during the call and must be consumed
	 */
	void received(ByteBuffer data);

	/**
	 * The other side sends nothing more.
	 */
	void endOfStream();

	/**
	 * The connection ended, was reset or couldn't be established. Not called after a
	 * close by this side.
	 * @param cause what happened
	 */
	void failed(Exception cause);

}
