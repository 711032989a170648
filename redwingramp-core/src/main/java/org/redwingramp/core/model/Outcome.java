package org.redwingramp.core.model;

/**
 * The outcome of a request as reported to its caller. Immutable and thread safe.
 */
public enum Outcome {

	/** The target responded and its complete response is forwarded to the caller. */
	ANSWERED("answered"),

	/** The request has not run and will not run. */
	NOT_RUN("not-run"),

	/** The request may have run. */
	UNKNOWN("unknown");

	private final String headerValue;

	Outcome(String headerValue) {
		this.headerValue = headerValue;
	}

	/**
	 * Returns the value of the {@code Redwingramp-Outcome} header.
	 * @return the header value
	 */
	public String headerValue() {
		return this.headerValue;
	}

}
