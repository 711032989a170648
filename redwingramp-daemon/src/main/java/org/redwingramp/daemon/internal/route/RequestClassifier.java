package org.redwingramp.daemon.internal.route;

import java.util.Arrays;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.eclipse.jetty.util.URIUtil;

import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.model.KeySource;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.core.model.RouteRule;
import org.redwingramp.daemon.internal.http.Headers;

/**
 * Determines the service, request class, key, identity and deadline of a request from its
 * path, its headers and the service record. Thread safe; has no state but the clock.
 */
final class RequestClassifier {

	private static final int MAX_KEY_LENGTH = 512;

	private static final int MAX_IDENTITY_LENGTH = 128;

	private final LongSupplier wallClockMillis;

	RequestClassifier(LongSupplier wallClockMillis) {
		this.wallClockMillis = wallClockMillis;
	}

	RoutedRequest classify(InboundRequest inbound, ControlView view) throws RequestRefusedException {
		String path = canonicalPath(inbound.path());
		String serviceName = segment(path, 0);
		RecordBody.Service service = view.service(serviceName)
			.orElseThrow(() -> new RequestRefusedException(Problem.UNKNOWN_SERVICE,
					"the first path segment \"" + serviceName + "\" names no service"));
		String servicePath = path.substring(serviceName.length() + 1);
		RouteRule rule = service.rule(inbound.method(), servicePath.isEmpty() ? "/" : servicePath);
		String key = key(inbound, path, service);
		String callerIdentity = inbound.header(Headers.IDEMPOTENCY_KEY).map(RequestClassifier::unquote).orElse("");
		String identity = callerIdentity.isEmpty() ? UUID.randomUUID().toString() : callerIdentity;
		long issuedMillis = callerIdentity.isEmpty() ? this.wallClockMillis.getAsLong()
				: issuedMillis(inbound, callerIdentity, rule);
		long deadlineNanos = inbound.arrivedNanos()
				+ TimeUnit.MILLISECONDS.toNanos(deadlineMillis(inbound, service, rule));
		return new RoutedRequest(inbound, service, rule.requestClass(), key, identity, !callerIdentity.isEmpty(),
				issuedMillis, deadlineNanos);
	}

	private String key(InboundRequest inbound, String path, RecordBody.Service service) throws RequestRefusedException {
		KeySource source = service.keySource();
		String key = switch (source.kind()) {
			case NONE -> "";
			case HEADER -> inbound.header(source.header()).orElse("");
			case PATH -> segment(path, source.pathSegment() + 1);
		};
		if (source.keyed() && key.isEmpty()) {
			throw new RequestRefusedException(Problem.NO_KEY,
					(source.kind() == KeySource.Kind.HEADER) ? "the header " + source.header() + " is missing"
							: "path segment " + source.pathSegment() + " after the service's name is missing");
		}
		if (key.length() > MAX_KEY_LENGTH) {
			throw new RequestRefusedException(Problem.NO_KEY,
					"the key must not exceed " + MAX_KEY_LENGTH + " characters (was " + key.length() + ")");
		}
		return key;
	}

	private long issuedMillis(InboundRequest inbound, String identity, RouteRule rule) throws RequestRefusedException {
		if (identity.length() > MAX_IDENTITY_LENGTH || !identity.chars().allMatch((c) -> c > ' ' && c < 127)) {
			throw new RequestRefusedException(Problem.BAD_IDENTITY, "an Idempotency-Key must have 1 to "
					+ MAX_IDENTITY_LENGTH + " printable ASCII characters without spaces");
		}
		OptionalLong uuidTime = UuidV7.timestampMillis(identity);
		if (uuidTime.isPresent()) {
			return uuidTime.getAsLong();
		}
		String header = inbound.header(Headers.ISSUED).orElse("");
		if (header.isEmpty() && !rule.requestClass().recorded()) {
			return this.wallClockMillis.getAsLong();
		}
		try {
			return Long.parseLong(header);
		}
		catch (NumberFormatException ex) {
			throw new RequestRefusedException(Problem.BAD_IDENTITY, "the Idempotency-Key is not a UUIDv7, so "
					+ Headers.ISSUED + " must give the time of first issue in milliseconds since the epoch");
		}
	}

	private long deadlineMillis(InboundRequest inbound, RecordBody.Service service, RouteRule rule)
			throws RequestRefusedException {
		String header = inbound.header(Headers.DEADLINE).orElse("");
		if (header.isEmpty()) {
			return (rule.deadlineMillis() > 0) ? rule.deadlineMillis() : service.defaultDeadlineMillis();
		}
		try {
			long millis = Long.parseLong(header);
			if (millis > 0) {
				return Math.min(millis, service.maxDeadlineMillis());
			}
		}
		catch (NumberFormatException ex) {
			// Refused below, like zero and negative values.
		}
		throw new RequestRefusedException(Problem.BAD_DEADLINE,
				Headers.DEADLINE + " must be a positive number of milliseconds (was \"" + header + "\")");
	}

	// Two spellings of a path must not denote the same key or rule: they would be routed
	// to different owners or get different request classes.
	private static String canonicalPath(String path) throws RequestRefusedException {
		String decoded = URIUtil.decodePath(path);
		boolean dots = Arrays.stream(decoded.split("/")).anyMatch((part) -> part.equals(".") || part.equals(".."));
		if (dots || decoded.contains("//") || path.contains(";")) {
			throw new RequestRefusedException(Problem.BAD_PATH,
					"the path must not have empty segments, dot segments or semicolons");
		}
		return decoded;
	}

	private static String segment(String path, int index) {
		String[] segments = path.split("/", index + 3);
		return (segments.length > index + 1) ? segments[index + 1] : "";
	}

	private static String unquote(String value) {
		boolean quoted = value.length() >= 2 && value.startsWith("\"") && value.endsWith("\"");
		return quoted ? value.substring(1, value.length() - 1) : value;
	}

}
