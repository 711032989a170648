package org.redwingramp.wire.internal;

/**
 * What became of a call. Codes are part of the protocol. Immutable and thread safe.
 */
enum AnswerStatus {

	/** The call ran and the payload is its answer. */
	OK(0),

	/** The call had no effect; the payload is a text that says why. */
	REFUSED(1),

	/** The call failed and may have had an effect; the payload is a text. */
	FAILED(2);

	private final int code;

	AnswerStatus(int code) {
		this.code = code;
	}

	int code() {
		return this.code;
	}

}
