package org.redwingramp.cli.internal;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A request to the operator API. Every call is idempotent and may be sent again: a record
 * that is submitted again with the same version and content is accepted with the same
 * result. Thread safe as long as the body isn't modified.
 *
 * @param method the HTTP method
 * @param path the path
 * @param query the query parameters, not percent-encoded
 * @param headers the headers
 * @param body the TOML body, empty for none
 * @param timeoutMillis the time limit for all attempts together
 * @param attemptMillis the minimum timeout of a single attempt
 */
record ApiCall(String method, String path, Map<String, String> query, Map<String, String> headers,
		Optional<byte[]> body, long timeoutMillis, long attemptMillis) {

	private static final long MIN_ATTEMPT_MILLIS = 500;

	static ApiCall get(String path, Map<String, String> query, long timeoutMillis) {
		return new ApiCall("GET", path, query, Map.of(), Optional.empty(), timeoutMillis, MIN_ATTEMPT_MILLIS);
	}

	static ApiCall submit(String intent, String fileName, byte[] text, long timeoutMillis) {
		Map<String, String> headers = Map.of("Redwingramp-Intent", intent, "Redwingramp-File", fileName, "Content-Type",
				"application/toml");
		return new ApiCall("POST", "/v1/records", Map.of(), headers, Optional.of(text), timeoutMillis,
				MIN_ATTEMPT_MILLIS);
	}

	static ApiCall withdraw(String kind, String name, long version, long timeoutMillis) {
		return new ApiCall("DELETE", "/v1/records/" + kind + "/" + name, Map.of("version", Long.toString(version)),
				Map.of(), Optional.empty(), timeoutMillis, MIN_ATTEMPT_MILLIS);
	}

	/**
	 * Creates a long poll for changes after a view version.
	 * @param since the latest view version that the caller has
	 * @param inForce the view version to wait for until it is in force everywhere, or
	 * empty to wait only for changes
	 * @param waitMillis the maximum time that the instance may delay the response
	 * @param timeoutMillis the time limit for all attempts together
	 * @return the call
	 */
	static ApiCall watch(long since, Optional<Long> inForce, long waitMillis, long timeoutMillis) {
		Map<String, String> query = new LinkedHashMap<>();
		query.put("since", Long.toString(since));
		inForce.ifPresent((version) -> query.put("in_force", Long.toString(version)));
		query.put("wait_ms", Long.toString(waitMillis));
		return new ApiCall("GET", "/v1/watch", query, Map.of(), Optional.empty(), timeoutMillis,
				waitMillis + MIN_ATTEMPT_MILLIS);
	}

	boolean changesState() {
		return !"GET".equals(this.method);
	}

}
