package org.redwingramp.cli.internal;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A complete response of the operator API. Thread safe as long as the body isn't
 * modified.
 *
 * @param status the HTTP status
 * @param body the JSON body; an empty object if an error response has no JSON object
 */
record ApiResponse(int status, JsonNode body) {

	private static final int FIRST_SUCCESS = 200;

	private static final int FIRST_REDIRECT = 300;

	private static final int FIRST_SERVER_ERROR = 500;

	boolean successful() {
		return this.status >= FIRST_SUCCESS && this.status < FIRST_REDIRECT;
	}

	/**
	 * Returns whether the instance failed to process the request, so that another
	 * instance may succeed.
	 * @return {@code true} for a server error (5xx)
	 */
	boolean serverError() {
		return this.status >= FIRST_SERVER_ERROR;
	}

	/**
	 * Returns whether the response states that the request was not run: it had no effect
	 * and will have none.
	 * @return {@code true} if the outcome is "not-run"
	 */
	boolean notRun() {
		return "not-run".equals(text("outcome"));
	}

	/**
	 * Returns the error code of the response.
	 * @return the code, or the HTTP status if the body has none
	 */
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
