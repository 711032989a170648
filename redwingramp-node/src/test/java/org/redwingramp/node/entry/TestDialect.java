package org.redwingramp.node.entry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.redwingramp.core.traffic.CallerLimits;
import org.redwingramp.core.traffic.GrantMode;
import org.redwingramp.core.traffic.RequestKind;
import org.redwingramp.core.traffic.Route;
import org.redwingramp.core.traffic.ServiceSpec;
import org.redwingramp.core.traffic.TrafficConfig;
import org.redwingramp.core.traffic.WeightedService;
import org.redwingramp.node.api.ControlAnswer;
import org.redwingramp.node.api.ControlRequest;
import org.redwingramp.node.api.GrantCall;
import org.redwingramp.node.api.GrantReply;
import org.redwingramp.node.api.InvalidDocumentException;
import org.redwingramp.node.api.PlatformDialect;
import org.redwingramp.node.api.RequestFields;
import org.redwingramp.node.api.ResponseFields;
import org.redwingramp.node.http.Header;
import org.redwingramp.node.http.HttpRequest;
import org.redwingramp.node.http.HttpResponse;

/**
 * A platform dialect for tests, with simple header names and a fixed configuration:
 * idempotent lookups below {@code /lookup/} and non-idempotent bookings below
 * {@code /book/}, both on the sharded service {@code s}; lookups below {@code /plain/} on
 * the service {@code p}, which isn't sharded. Names that end with {@code -long} are of
 * the same kind and have a long timeout.
 */
final class TestDialect implements PlatformDialect {

	/** A configuration that this dialect can't read. */
	static final byte[] UNREADABLE_DOCUMENT = { 0 };

	/** The identifier of a request that this dialect can't pass on. */
	static final String UNUSABLE_ID = "unusable";

	/** The identifier of a request for which this dialect runs out of memory. */
	static final String EXHAUSTING_ID = "exhausting";

	static final long TIMEOUT_MILLIS = 600;

	static final long LONG_TIMEOUT_MILLIS = 10_000;

	static final double COLD_PER_SECOND = 20;

	@Override
	public void warmUp() {
	}

	@Override
	public RequestFields requestFields(HttpRequest request) {
		if (Header.find(request.headers(), "Id").filter(EXHAUSTING_ID::equals).isPresent()) {
			throw new OutOfMemoryError("no memory for a request with the identifier " + EXHAUSTING_ID);
		}
		return new RequestFields(Header.find(request.headers(), "Id"), OptionalLong.empty(),
				Header.find(request.headers(), "Key")
					.map((key) -> OptionalInt.of(Integer.parseInt(key)))
					.orElse(OptionalInt.empty()),
				"h");
	}

	@Override
	public HttpRequest targetRequest(HttpRequest request, String target, long deadlineMillis) {
		if (Header.find(request.headers(), "Id").filter(UNUSABLE_ID::equals).isPresent()) {
			throw new IllegalStateException("a request with the identifier " + UNUSABLE_ID + " can't be passed on");
		}
		List<Header> headers = new ArrayList<>();
		headers.add(new Header("Id", Header.find(request.headers(), "Id").orElse("")));
		headers.add(new Header("Target", target));
		return new HttpRequest(request.method(), request.target(), headers, request.body());
	}

	@Override
	public ResponseFields responseFields(List<Header> headers) {
		return new ResponseFields(Header.find(headers, "Id"), Header.find(headers, "Signed").isPresent(),
				Header.find(headers, "Not-Run").isPresent(), false, Optional.empty(), OptionalLong.empty(),
				Header.find(headers, "Limit")
					.map((value) -> OptionalDouble.of(Double.parseDouble(value)))
					.orElse(OptionalDouble.empty()),
				Header.find(headers, "Leaving").isPresent(),
				Header.find(headers, "Pause-Millis")
					.map((value) -> OptionalLong.of(Long.parseLong(value)))
					.orElse(OptionalLong.empty()));
	}

	@Override
	public HttpResponse callerResponse(HttpResponse response) {
		return new HttpResponse(response.status(), List.of(), response.body());
	}

	@Override
	public HttpResponse routerResponse(int status, String requestId, long retryAfterMillis) {
		return HttpResponse.empty(status, new Header("Retry-Millis", Long.toString(retryAfterMillis)));
	}

	@Override
	public HttpRequest grantRequest(GrantCall call) {
		return new HttpRequest("POST", "/grant", List.of(), new byte[0]);
	}

	@Override
	public GrantReply grantReply(GrantCall call, HttpResponse response) {
		return GrantReply.UNKNOWN;
	}

	@Override
	public ControlRequest controlRequest(HttpRequest request) {
		return new ControlRequest.Unknown();
	}

	@Override
	public HttpResponse controlResponse(ControlRequest call, ControlAnswer answer, HttpRequest request) {
		return HttpResponse.empty(200);
	}

	@Override
	public TrafficConfig config(byte[] document) throws InvalidDocumentException {
		if (Arrays.equals(document, UNREADABLE_DOCUMENT)) {
			throw new InvalidDocumentException("the configuration has a form that this build doesn't know");
		}
		return new TrafficConfig(1,
				List.of(route("lookup", RequestKind.IDEMPOTENT, "s", TIMEOUT_MILLIS),
						route("book", RequestKind.NON_IDEMPOTENT, "s", TIMEOUT_MILLIS),
						route("lookup-long", RequestKind.IDEMPOTENT, "s", LONG_TIMEOUT_MILLIS),
						route("book-long", RequestKind.NON_IDEMPOTENT, "s", LONG_TIMEOUT_MILLIS),
						route("plain", RequestKind.IDEMPOTENT, "p", TIMEOUT_MILLIS),
						route("plain-long", RequestKind.IDEMPOTENT, "p", LONG_TIMEOUT_MILLIS)),
				List.of(new ServiceSpec("s", "/health", 10, true, 0, COLD_PER_SECOND, 0, GrantMode.CALL),
						new ServiceSpec("p", "/health", 10, false, 0, COLD_PER_SECOND, 0, GrantMode.CALL)),
				CallerLimits.DEFAULT);
	}

	@Override
	public boolean isReadinessRequest(HttpRequest request) {
		return request.path().equals("/ready");
	}

	private static Route route(String name, RequestKind kind, String service, long timeoutMillis) {
		return new Route(name, "h", "/" + name + "/", kind, timeoutMillis, 300, 0, 2,
				List.of(new WeightedService(service, 1)));
	}

}
