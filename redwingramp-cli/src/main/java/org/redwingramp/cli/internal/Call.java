package org.redwingramp.cli.internal;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A request to the operators' interface. Immutable and thread safe as long as nobody
 * changes the body. Every call may be sent again: the record rules give an equal record
 * under an equal version the same acceptance.
 *
 * @param method the HTTP method
 * @param path the path
 * @param query the query parameters, not yet encoded
 * @param headers the headers
 * @param body the TOML body, empty for none
 * @param timeoutMillis the time for all attempts together
 * @param attemptMillis the least time for one attempt
 */
record Call(String method, String path, Map<String, String> query, Map<String, String> headers, Optional<byte[]> body,
		long timeoutMillis, long attemptMillis) {

	private static final long ATTEMPT_MILLIS = 500;

	static Call get(String path, Map<String, String> query, long timeoutMillis) {
		return new Call("GET", path, query, Map.of(), Optional.empty(), timeoutMillis, ATTEMPT_MILLIS);
	}

	static Call submit(String intent, String fileName, byte[] text, long timeoutMillis) {
		Map<String, String> headers = Map.of("Redwingramp-Intent", intent, "Redwingramp-File", fileName, "Content-Type",
				"application/toml");
		return new Call("POST", "/v1/records", Map.of(), headers, Optional.of(text), timeoutMillis, ATTEMPT_MILLIS);
	}

	static Call withdraw(String kind, String name, long version, long timeoutMillis) {
		return new Call("DELETE", "/v1/records/" + kind + "/" + name, Map.of("version", Long.toString(version)),
				Map.of(), Optional.empty(), timeoutMillis, ATTEMPT_MILLIS);
	}

	/**
	 * Creates a long poll.
	 * @param since the view version that is known
	 * @param inForce the version that must be in force, or empty to wait for changes only
	 * @param waitMillis the longest time that the instance holds the answer back
	 * @param timeoutMillis the time for all attempts together
	 * @return the call
	 */
	static Call watch(long since, Optional<Long> inForce, long waitMillis, long timeoutMillis) {
		Map<String, String> query = new LinkedHashMap<>();
		query.put("since", Long.toString(since));
		inForce.ifPresent((version) -> query.put("in_force", Long.toString(version)));
		query.put("wait_ms", Long.toString(waitMillis));
		return new Call("GET", "/v1/watch", query, Map.of(), Optional.empty(), timeoutMillis,
				waitMillis + ATTEMPT_MILLIS);
	}

	boolean changesState() {
		return !"GET".equals(this.method);
	}

}
