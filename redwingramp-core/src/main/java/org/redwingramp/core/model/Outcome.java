package org.redwingramp.core.model;

/**
 * What a caller may conclude about its request. Immutable and thread safe.
 */
public enum Outcome {

	/** The target answered and the whole answer is passed on. */
	ANSWERED("answered"),

	/** The request did not run and will not run. */
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
