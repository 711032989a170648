package org.redwingramp.wire;

/**
 * Something that operators should know about a connection. Immutable and thread safe.
 *
 * @param type what happened
 * @param address the other end as {@code ip:port}
 * @param detail more about it
 */
public record WireEvent(Type type, String address, String detail) {

	/** The types of event. */
	public enum Type {

		/** A connection sent something that is not the protocol and was closed. */
		GARBAGE,

		/** A connection's MAC was wrong; it has another key, or frames were altered. */
		STRANGER,

		/** A frame came out of sequence, for example for the second time. */
		REPLAY,

		/** A frame was over the size limit. */
		OVERSIZED,

		/** A peer belongs to another cluster. */
		OTHER_CLUSTER,

		/** A connection did not authenticate itself in time. */
		HANDSHAKE_TIMEOUT,

		/** A connection was refused since too many are open. */
		TOO_MANY_CONNECTIONS,

		/** A handler failed with an exception. */
		HANDLER_FAILED,

		/** The connections to a peer work. */
		PEER_REACHED,

		/** A peer can't be reached. */
		PEER_UNREACHABLE,

		/** A connection delivered nothing any more and was replaced. */
		SILENT_CONNECTION,

		/** One-way messages were dropped since the peer takes them too slowly. */
		MESSAGES_DROPPED

	}

}
