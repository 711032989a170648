package org.redwingramp.daemon.internal.http;

import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;

/**
 * The names of our headers and the choice of the headers that are passed on. Stateless
 * and thread safe.
 */
public final class Headers {

	/** What became of a request. */
	public static final String OUTCOME = "Redwingramp-Outcome";

	/** The identity of a request. */
	public static final String REQUEST_ID = "Redwingramp-Request-Id";

	/** The remaining time of a request in milliseconds. */
	public static final String DEADLINE = "Redwingramp-Deadline-Ms";

	/** When a request was first issued, in milliseconds of the epoch. */
	public static final String ISSUED = "Redwingramp-Issued";

	/** The fence of the request's shard. */
	public static final String FENCE = "Redwingramp-Fence";

	/** The request's shard. */
	public static final String SHARD = "Redwingramp-Shard";

	/** The target's gate epoch. */
	public static final String GATE_EPOCH = "Redwingramp-Gate-Epoch";

	/** The caller's identity of a request that runs at most once. */
	public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	private static final String OUR_PREFIX = "redwingramp-";

	private static final Set<String> NOT_PASSED_ON = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "host",
			"content-length", "expect");

	private Headers() {
	}

	/**
	 * Returns the header fields that are passed on: all but those of the connection and
	 * ours.
	 * @param fields the received fields
	 * @return the fields to pass on in order
	 */
	public static List<HeaderField> passedOn(HttpFields fields) {
		return fields.stream().filter((field) -> passesOn(field.getLowerCaseName())).map(Headers::field).toList();
	}

	/**
	 * Returns all header fields.
	 * @param fields the received fields
	 * @return the fields in order
	 */
	public static List<HeaderField> all(HttpFields fields) {
		return fields.stream().map(Headers::field).toList();
	}

	private static boolean passesOn(String lowerCaseName) {
		String name = lowerCaseName.toLowerCase(Locale.ROOT);
		return !NOT_PASSED_ON.contains(name) && !name.startsWith(OUR_PREFIX);
	}

	private static HeaderField field(HttpField field) {
		return new HeaderField(field.getName(), (field.getValue() != null) ? field.getValue() : "");
	}

}
