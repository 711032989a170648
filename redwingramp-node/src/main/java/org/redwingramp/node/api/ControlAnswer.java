package org.redwingramp.node.api;

import java.util.Optional;

import org.redwingramp.core.ownership.LeaseRenewal;

/**
 * The reply of a control replica to a {@link ControlRequest}. Thread safe, as long as the
 * document array isn't modified.
 *
 * @param kind the kind of reply
 * @param text the address of the leader or the reason, empty for other kinds
 * @param document the requested configuration, empty for other kinds
 * @param renewal the key ranges that the reply to a heartbeat grants; empty if the reply
 * renews nothing
 */
public record ControlAnswer(Kind kind, String text, byte[] document, Optional<LeaseRenewal> renewal) {

	/** The kinds of reply. */
	public enum Kind {

		/** The change is committed. */
		ACCEPTED,

		/** The reply contains the configuration as the operator sent it. */
		DOCUMENT,

		/** The change is based on a version that isn't the current one. */
		WRONG_VERSION,

		/** The request is invalid; the text states the reason. */
		INVALID,

		/** There is no such operation. */
		UNKNOWN_CALL,

		/** Another replica is the leader; the text is its address. */
		LEADER_IS,

		/** The request can't be answered at present, or its outcome is unknown. */
		UNAVAILABLE

	}

	/**
	 * Creates a reply without a document or a renewal.
	 * @param kind the kind of reply
	 * @param text the address of the leader or the reason
	 * @return the reply
	 */
	public static ControlAnswer of(Kind kind, String text) {
		return new ControlAnswer(kind, text, new byte[0], Optional.empty());
	}

	/**
	 * Creates a reply with a configuration.
	 * @param document the configuration
	 * @return the reply
	 */
	public static ControlAnswer ofDocument(byte[] document) {
		return new ControlAnswer(Kind.DOCUMENT, "", document, Optional.empty());
	}

	/**
	 * Returns a copy of this reply that grants key ranges.
	 * @param next the key ranges
	 * @return the copy
	 */
	public ControlAnswer with(Optional<LeaseRenewal> next) {
		return new ControlAnswer(this.kind, this.text, this.document, next);
	}

}
