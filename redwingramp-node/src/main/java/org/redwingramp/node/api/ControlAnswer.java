package org.redwingramp.node.api;

/**
 * The answer of the control replicas to a call. Immutable and thread safe.
 *
 * @param kind the kind of answer
 * @param text the address of the leader or the reason, else empty
 * @param document the configuration that was asked for, else empty
 */
public record ControlAnswer(Kind kind, String text, byte[] document) {

	/** The kinds of answer. */
	public enum Kind {

		/** The change is committed. */
		ACCEPTED,

		/** The configuration as it was sent. */
		DOCUMENT,

		/** Another version is in force than the one that the change builds on. */
		WRONG_VERSION,

		/** The call is invalid; the text says why. */
		INVALID,

		/** No such call exists. */
		UNKNOWN_CALL,

		/** Another replica leads; the text is its address. */
		LEADER_IS,

		/** Nothing certain can be said now. */
		UNAVAILABLE

	}

	/**
	 * Creates an answer without a document.
	 * @param kind the kind of answer
	 * @param text the address of the leader or the reason
	 * @return the answer
	 */
	public static ControlAnswer of(Kind kind, String text) {
		return new ControlAnswer(kind, text, new byte[0]);
	}

}
