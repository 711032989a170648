package org.redwingramp.wire.internal;

/**
 * The status of a reply to a call. The codes are part of the protocol and must not
 * change. Immutable and thread safe.
 */
enum AnswerStatus {

	/** The call was executed; the payload is its reply. */
	OK(0),

	/** The call had no effect; the payload is an error message in UTF-8. */
	REFUSED(1),

	/**
	 * The call failed and may have had an effect; the payload is an error message in
	 * UTF-8.
	 */
	FAILED(2);

	private final int code;

	AnswerStatus(int code) {
		this.code = code;
	}

	int code() {
		return this.code;
	}

}
