package org.redwingramp.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A complete answer of the operators' interface. Immutable by convention and thread safe
 * as long as nobody changes the body.
 *
 * @param status the HTTP status
 * @param body the JSON body, an empty object if the answer had another type
 */
record Answer(int status, JsonNode body) {

	private static final int FIRST_SUCCESS = 200;

	private static final int FIRST_REDIRECT = 300;

	private static final int FIRST_SERVER_ERROR = 500;

	boolean successful() {
		return this.status >= FIRST_SUCCESS && this.status < FIRST_REDIRECT;
	}

	/**
	 * Returns whether another instance may do better.
	 * @return {@code true} for failures of the instance rather than of the request
	 */
	boolean instanceFailed() {
		return this.status >= FIRST_SERVER_ERROR;
	}

	/**
	 * Returns whether the request certainly had and will have no effect.
	 * @return whether the answer says so
	 */
	boolean notRun() {
		return "not-run".equals(text("outcome"));
	}

	String code() {
		String code = text("code");
		return code.isEmpty() ? "status " + this.status : code;
	}

	String text(String field) {
		return this.body.path(field).asText("");
	}

	long number(String field) {
		return this.body.path(field).asLong();
	}

}
