package org.redwingramp.daemon.internal.http;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

import org.redwingramp.core.model.Outcome;
import org.redwingramp.daemon.internal.control.ControlUnavailableException;
import org.redwingramp.daemon.internal.control.ControlUndecidedException;
import org.redwingramp.daemon.internal.events.Event;
import org.redwingramp.daemon.internal.events.EventLog;
import org.redwingramp.records.Settings;

/**
 * Serves the operators' HTTP interface, see docs/OPERATOR-API.md: checks the token and
 * dispatches to the endpoints. Thread safe.
 *
 * <p>
 * Invariant: nothing is read or changed without a valid operator token.
 */
public final class OperatorHandler extends Handler.Abstract {

	private static final String PREFIX = "/v1/";

	private final Settings.Operators operators;

	private final RecordsEndpoint records;

	private final StatusEndpoint status;

	private final ExplainEndpoint explain;

	private final WatchEndpoint watch;

	public OperatorHandler(Settings.Operators operators, RecordsEndpoint records, StatusEndpoint status,
			ExplainEndpoint explain, WatchEndpoint watch) {
		this.operators = operators;
		this.records = records;
		this.status = status;
		this.explain = explain;
		this.watch = watch;
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) {
		String path = request.getHttpURI().getPath();
		if (!path.startsWith(PREFIX)) {
			return false;
		}
		Optional<String> operator = HttpMessages.bearerToken(request).flatMap(this.operators::find);
		if (operator.isEmpty()) {
			EventLog.log(Event.UNAUTHORISED, "operators", Request.getRemoteAddr(request), "no valid bearer token");
			writeProblem(response, callback,
					new OperatorException(401, "unauthorized", "a valid bearer token is required"));
			return true;
		}
		try {
			JsonNode body = dispatch(request, path.substring(PREFIX.length()), operator.get());
			HttpMessages.json(response, callback, 200, body);
		}
		catch (OperatorException ex) {
			writeProblem(response, callback, ex);
		}
		catch (ControlUnavailableException ex) {
			writeProblem(response, callback, new OperatorException(503, "no-leader", ex.getMessage()));
		}
		catch (ControlUndecidedException ex) {
			writeProblem(response, callback, new OperatorException(504, "outcome-unknown", ex.getMessage()));
		}
		return true;
	}

	private JsonNode dispatch(Request request, String path, String operator)
			throws OperatorException, ControlUnavailableException, ControlUndecidedException {
		String[] parts = path.split("/", -1);
		return switch (parts[0]) {
			case "records" -> this.records.answer(request, parts, operator);
			case "status" -> this.status.answer();
			case "explain" -> this.explain.answer(Request.extractQueryParameters(request));
			case "watch" -> this.watch.answer(Request.extractQueryParameters(request));
			default -> throw new OperatorException(404, "not-found", "no such path: /v1/" + path);
		};
	}

	private static void writeProblem(Response response, Callback callback, OperatorException ex) {
		Outcome outcome = ex.code().equals("outcome-unknown") ? Outcome.UNKNOWN : Outcome.NOT_RUN;
		ObjectNode body = ProblemBody.create(ex.status(), ex.code(), "Refused", outcome, ex.getMessage());
		body.set("findings", ex.findings());
		ex.extensions().properties().forEach((field) -> body.set(field.getKey(), field.getValue()));
		HttpMessages.problem(response, callback, ex.status(), body);
	}

}
