package org.redwingramp.node.control;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;

import org.redwingramp.core.fleet.FleetTarget;
import org.redwingramp.core.fleet.TargetHeartbeat;
import org.redwingramp.core.ownership.GrantOutcome;
import org.redwingramp.core.ownership.KeyReport;
import org.redwingramp.core.traffic.CallerLimits;
import org.redwingramp.core.traffic.GrantMode;
import org.redwingramp.core.traffic.ServiceSpec;
import org.redwingramp.core.traffic.TrafficConfig;
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
 * A platform dialect for tests in which a call to a control replica is a line of text:
 * {@code replace BASE VERSION TEXT}, {@code read}, {@code out DOMAIN} or
 * {@code heartbeat NAME [PORT]}. A configuration whose text ends in {@code broken} is
 * invalid; one that ends in {@code fails-once-committed} can be read only once; one that
 * ends in {@link #SHARDED} has a service with keys.
 */
final class TextDialect implements PlatformDialect {

	/** The fence of a grant that this dialect can't write. */
	static final long UNWRITABLE_FENCE = 13;

	/** The end of a configuration whose service has keys. */
	static final String SHARDED = "sharded";

	/** The end of a configuration whose service has a long cold period. */
	static final String COLD = "cold";

	static final long COLD_MILLIS = 60_000;

	private static final ServiceSpec COLD_SERVICE = new ServiceSpec("s", "/", 1, false, COLD_MILLIS, 1, 0,
			GrantMode.CALL);

	private static final ServiceSpec SHARDED_SERVICE = new ServiceSpec("s", "/", 1, true, 0, 0, 0, GrantMode.CALL);

	/** The header of a grant or release that bears its fence. */
	static final String FENCE = "Fence";

	private static final ServiceSpec SERVICE = new ServiceSpec("s", "/", 1, false, 0, 0, 0, GrantMode.CALL);

	private final Map<String, Boolean> failingTexts = new ConcurrentHashMap<>();

	@Override
	public void warmUp() {
	}

	@Override
	public RequestFields requestFields(HttpRequest request) {
		return new RequestFields(Optional.empty(), OptionalLong.empty(), OptionalInt.empty(), "");
	}

	@Override
	public HttpRequest targetRequest(HttpRequest request, String target, long deadlineMillis) {
		return request;
	}

	@Override
	public ResponseFields responseFields(List<Header> headers) {
		return new ResponseFields(Optional.empty(), false, false, false, Optional.empty(), OptionalLong.empty(),
				OptionalDouble.empty(), false, OptionalLong.empty());
	}

	@Override
	public HttpResponse callerResponse(HttpResponse response) {
		return response;
	}

	@Override
	public HttpResponse routerResponse(int status, String requestId, long retryAfterMillis) {
		return HttpResponse.empty(status);
	}

	@Override
	public HttpRequest grantRequest(GrantCall call) {
		if (call.fence() == UNWRITABLE_FENCE) {
			throw new IllegalStateException("a call with the fence " + UNWRITABLE_FENCE + " can't be written");
		}
		return new HttpRequest("POST", call.release() ? "/release" : "/grant",
				List.of(new Header(FENCE, Long.toString(call.fence()))), new byte[0]);
	}

	@Override
	public GrantReply grantReply(GrantCall call, HttpResponse response) {
		GrantOutcome outcome = switch (response.status()) {
			case 200 -> GrantOutcome.CONFIRMED;
			case 421 -> GrantOutcome.OTHER_TARGET;
			default -> GrantOutcome.UNKNOWN;
		};
		return new GrantReply(outcome, Header.find(response.headers(), "Handover"));
	}

	@Override
	public ControlRequest controlRequest(HttpRequest request) {
		String[] words = new String(request.body(), StandardCharsets.UTF_8).split(" ", 4);
		return switch (words[0]) {
			case "replace" ->
				new ControlRequest.ReplaceConfig(Long.parseLong(words[1]), Long.parseLong(words[2]), request.body());
			case "read" -> new ControlRequest.ReadConfig();
			case "out" -> new ControlRequest.SetDomainOut(words[1], true);
			case "in" -> new ControlRequest.SetDomainOut(words[1], false);
			case "heartbeat" -> heartbeat(words, 0);
			case "cold-heartbeat" -> heartbeat(words, COLD_MILLIS);
			default -> new ControlRequest.Unknown();
		};
	}

	private static ControlRequest heartbeat(String[] words, long coldMillis) {
		FleetTarget target = new FleetTarget(words[1], 1, "s", "127.0.0.1:" + ((words.length > 2) ? words[2] : "1"),
				"d", 1, FleetTarget.Stage.SERVING);
		return new ControlRequest.Heartbeat(
				new TargetHeartbeat(target, coldMillis, System.nanoTime(), KeyReport.EMPTY));
	}

	@Override
	public HttpResponse controlResponse(ControlRequest call, ControlAnswer answer, HttpRequest request) {
		String document = new String(answer.document(), StandardCharsets.UTF_8);
		String text = answer.kind() + " " + (document.isEmpty() ? answer.text() : document);
		return new HttpResponse(200, List.of(), text.getBytes(StandardCharsets.UTF_8));
	}

	@Override
	public TrafficConfig config(byte[] document) throws InvalidDocumentException {
		String text = new String(document, StandardCharsets.UTF_8);
		if (text.endsWith("broken")) {
			throw new InvalidDocumentException("the configuration's text ends in \"broken\"");
		}
		if (text.endsWith("fails-once-committed") && this.failingTexts.putIfAbsent(text, true) != null) {
			throw new IllegalStateException("the configuration is read for the second time");
		}
		ServiceSpec service = text.endsWith(SHARDED) ? SHARDED_SERVICE : text.endsWith(COLD) ? COLD_SERVICE : SERVICE;
		return new TrafficConfig(1, List.of(), List.of(service), CallerLimits.DEFAULT);
	}

	@Override
	public boolean isReadinessRequest(HttpRequest request) {
		return false;
	}

}
