package org.redwingramp.wire;

/**
 * An event on a connection that is of interest to operators. Immutable and thread safe.
 *
 * @param type the type of the event, logged under its own name
 * @param address the peer's address as {@code ip:port}
 * @param detail a description of the event
 */
public record WireEvent(Type type, String address, String detail) {

	/** The types of event. */
	public enum Type {

		/** Data that violate the protocol were received and the connection was closed. */
		GARBAGE,

		/** A message had a wrong MAC: the sender has another key, or it was altered. */
		STRANGER,

		/**
		 * A message had an unexpected sequence number, for example a replayed message.
		 */
		REPLAY,

		/** A frame exceeded the size limit. */
		OVERSIZED,

		/** A peer belongs to another cluster. */
		OTHER_CLUSTER,

		/** A connection was not authenticated within the handshake timeout. */
		HANDSHAKE_TIMEOUT,

		/** A connection was refused or evicted because too many are open. */
		TOO_MANY_CONNECTIONS,

		/** A message handler or a sender thread failed with an exception. */
		HANDLER_FAILED,

		/** A peer was reached for the first time or again after a failure. */
		PEER_REACHED,

		/** A connection to a peer could not be opened or authenticated. */
		PEER_UNREACHABLE,

		/** A connection became unresponsive and was closed, to be replaced on demand. */
		SILENT_CONNECTION,

		/**
		 * One-way messages were dropped: the queue was full, the connection failed, or a
		 * message was too large.
		 */
		MESSAGES_DROPPED

	}

}
