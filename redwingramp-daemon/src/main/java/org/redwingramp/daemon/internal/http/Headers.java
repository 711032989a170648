package org.redwingramp.daemon.internal.http;

import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;

/**
 * The names of the headers that redwingramp defines, and the selection of the header
 * fields that are forwarded between callers and targets. Stateless and thread safe.
 */
public final class Headers {

	/** The outcome of a request: answered, not run or unknown. */
	public static final String OUTCOME = "Redwingramp-Outcome";

	/** The identity of a request. */
	public static final String REQUEST_ID = "Redwingramp-Request-Id";

	/** The time until the request's deadline in milliseconds. */
	public static final String DEADLINE = "Redwingramp-Deadline-Ms";

	/** The time when the request was first issued, in milliseconds since the epoch. */
	public static final String ISSUED = "Redwingramp-Issued";

	/** The fence of the request's shard: a fencing token that rises with each owner. */
	public static final String FENCE = "Redwingramp-Fence";

	/** The shard of the request's key. */
	public static final String SHARD = "Redwingramp-Shard";

	/** The target's gate epoch. */
	public static final String GATE_EPOCH = "Redwingramp-Gate-Epoch";

	/** The identity that the caller gives to a request, so that it runs at most once. */
	public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	private static final String OWN_PREFIX = "redwingramp-";

	private static final Set<String> NOT_FORWARDED = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "host",
			"content-length", "expect");

	private Headers() {
	}

	/**
	 * Returns the header fields to forward: all except hop-by-hop fields and the fields
	 * that redwingramp defines.
	 * @param fields the received fields
	 * @return the fields to forward, in the order received
	 */
	public static List<HeaderField> forwardedFields(HttpFields fields) {
		return fields.stream().filter((field) -> isForwarded(field.getLowerCaseName())).map(Headers::field).toList();
	}

	/**
	 * Returns all header fields.
	 * @param fields the received fields
	 * @return the fields in the order received
	 */
	public static List<HeaderField> all(HttpFields fields) {
		return fields.stream().map(Headers::field).toList();
	}

	private static boolean isForwarded(String lowerCaseName) {
		String name = lowerCaseName.toLowerCase(Locale.ROOT);
		return !NOT_FORWARDED.contains(name) && !name.startsWith(OWN_PREFIX);
	}

	private static HeaderField field(HttpField field) {
		return new HeaderField(field.getName(), (field.getValue() != null) ? field.getValue() : "");
	}

}
