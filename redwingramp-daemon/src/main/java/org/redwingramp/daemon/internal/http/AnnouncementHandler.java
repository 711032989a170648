package org.redwingramp.daemon.internal.http;

import java.io.IOException;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult;
import org.redwingramp.core.control.TargetPhase;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.model.Outcome;
import org.redwingramp.core.model.TargetSpec;
import org.redwingramp.daemon.internal.control.ControlClient;
import org.redwingramp.daemon.internal.control.ControlUnavailableException;
import org.redwingramp.daemon.internal.control.ControlUndecidedException;
import org.redwingramp.daemon.internal.entry.EntrySession;
import org.redwingramp.daemon.internal.events.Event;
import org.redwingramp.daemon.internal.events.EventLog;
import org.redwingramp.daemon.internal.route.RequestRefusedException;
import org.redwingramp.records.Settings;

/**
 * Serves the HTTP interface through which targets announce themselves, drain and leave.
 * Thread safe.
 *
 * <p>
 * Invariant: a target is announced only under the address that it sends from, unless the
 * settings allow foreign addresses.
 */
public final class AnnouncementHandler extends Handler.Abstract {

	/** The path prefix of all requests of targets; the name of the target follows. */
	public static final String PREFIX = "/.redwingramp/v1/targets/";

	private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9.-]{0,62}");

	private static final int MAX_BODY_BYTES = 4 * 1024;

	private static final int MAX_SLOTS_OR_CONNECTIONS = 100_000;

	private static final long PROPOSE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final EntrySession session;

	private final ControlClient control;

	private final Settings.Targets settings;

	private final ObjectMapper json = new ObjectMapper();

	public AnnouncementHandler(EntrySession session, ControlClient control, Settings.Targets settings) {
		this.session = session;
		this.control = control;
		this.settings = settings;
	}

	@Override
	public boolean handle(Request request, Response response, Callback callback) {
		String path = request.getHttpURI().getPath();
		if (!path.startsWith(PREFIX)) {
			return false;
		}
		if (!authorised(request)) {
			EventLog.log(Event.UNAUTHORISED, "targets", Request.getRemoteAddr(request), "no valid bearer token");
			refuse(response, callback, 401, "unauthorized", "no valid bearer token");
			return true;
		}
		String[] parts = path.substring(PREFIX.length()).split("/", -1);
		try {
			propose(command(request, parts), request, response, callback);
		}
		catch (AnnouncementException ex) {
			EventLog.log(Event.ANNOUNCEMENT_REFUSED, parts[0], Request.getRemoteAddr(request), ex.getMessage());
			refuse(response, callback, ex.status, "invalid-announcement", ex.getMessage());
		}
		return true;
	}

	private boolean authorised(Request request) {
		Optional<String> token = HttpMessages.bearerToken(request);
		return token.isPresent() && this.settings.token().filter((secret) -> secret.matches(token.get())).isPresent();
	}

	private Command command(Request request, String[] parts) throws AnnouncementException {
		String name = parts[0];
		if (!NAME.matcher(name).matches()) {
			throw new AnnouncementException(400, "the target name must match " + NAME.pattern());
		}
		boolean targetPath = parts.length == 1;
		if (targetPath && HttpMethod.PUT.is(request.getMethod())) {
			return new Command.AnnounceTarget(spec(name, request));
		}
		if (targetPath && HttpMethod.DELETE.is(request.getMethod())) {
			return new Command.TargetLeft(name, bootId(request));
		}
		if (parts.length == 2 && parts[1].equals("drain") && HttpMethod.POST.is(request.getMethod())) {
			return new Command.DrainTarget(name, bootId(request));
		}
		throw new AnnouncementException(405,
				"use PUT or DELETE on " + PREFIX + "NAME, or POST on " + PREFIX + "NAME/drain");
	}

	private static String bootId(Request request) throws AnnouncementException {
		Fields query = Request.extractQueryParameters(request);
		String bootId = query.getValue("bootId");
		if (bootId == null || bootId.isEmpty()) {
			throw new AnnouncementException(400, "the query parameter bootId is missing");
		}
		return bootId;
	}

	private TargetSpec spec(String name, Request request) throws AnnouncementException {
		JsonNode body = body(request);
		String address = requiredText(body, "address");
		checkAddress(address, Request.getRemoteAddr(request));
		return new TargetSpec(name, requiredText(body, "service"), address, requiredText(body, "failureDomain"),
				requiredNumber(body, "slots"), requiredNumber(body, "connections"), requiredText(body, "bootId"),
				body.path("checksFences").asBoolean(false));
	}

	private JsonNode body(Request request) throws AnnouncementException {
		try {
			return this.json.readTree(BoundedBody.read(request, MAX_BODY_BYTES));
		}
		catch (RequestRefusedException ex) {
			throw new AnnouncementException(400, ex.problem().title() + ": " + ex.getMessage());
		}
		catch (IOException ex) {
			throw new AnnouncementException(400, "the body is not valid JSON: " + ex.getMessage());
		}
	}

	private void checkAddress(String address, String remote) throws AnnouncementException {
		int colon = address.lastIndexOf(':');
		boolean ownAddress = colon > 0 && address.substring(0, colon).equals(remote);
		if (!ownAddress && !this.settings.allowForeignAddresses()) {
			throw new AnnouncementException(403,
					"the address " + address + " differs from the address " + remote + " of the sender");
		}
	}

	private static String requiredText(JsonNode body, String field) throws AnnouncementException {
		String value = body.path(field).asText("");
		if (value.isEmpty() || value.length() > 255 || value.chars().anyMatch((c) -> c <= ' ' || c == 127)) {
			throw new AnnouncementException(400,
					"the field " + field + " must have 1 to 255 characters without spaces or control characters");
		}
		return value;
	}

	private static int requiredNumber(JsonNode body, String field) throws AnnouncementException {
		int value = body.path(field).asInt(0);
		if (value < 1 || value > MAX_SLOTS_OR_CONNECTIONS) {
			throw new AnnouncementException(400,
					"the field " + field + " must be a number from 1 to " + MAX_SLOTS_OR_CONNECTIONS);
		}
		return value;
	}

	private void propose(Command command, Request request, Response response, Callback callback) {
		if (command instanceof Command.AnnounceTarget announce && alreadyAnnounced(announce.target())) {
			accept(response, callback);
			return;
		}
		try {
			CommandResult result = this.control.propose(command, PROPOSE_TIMEOUT_NANOS);
			if (result instanceof CommandResult.Refused refused) {
				EventLog.log(Event.ANNOUNCEMENT_REFUSED, command, Request.getRemoteAddr(request), refused.detail());
				refuse(response, callback, 409, refused.code().name().toLowerCase(Locale.ROOT), refused.detail());
				return;
			}
			if (command instanceof Command.AnnounceTarget announce) {
				TargetSpec target = announce.target();
				EventLog.log(Event.TARGET_ANNOUNCED, target.name(), target.service(), target.address(),
						target.failureDomain(), target.bootId());
			}
			accept(response, callback);
		}
		catch (ControlUnavailableException ex) {
			refuse(response, callback, 503, "no-leader", ex.getMessage());
		}
		catch (ControlUndecidedException ex) {
			HttpMessages.problem(response, callback, 504,
					ProblemBody.create(504, "outcome-unknown", "Unknown", Outcome.UNKNOWN, ex.getMessage()));
		}
	}

	private boolean alreadyAnnounced(TargetSpec spec) {
		Optional<TargetState> state = this.session.view().target(spec.name());
		return state.filter((target) -> target.spec().equals(spec) && target.phase() != TargetPhase.LOST).isPresent();
	}

	private static void accept(Response response, Callback callback) {
		HttpMessages.json(response, callback, 200, JsonNodeFactory.instance.objectNode().put("accepted", true));
	}

	private static void refuse(Response response, Callback callback, int status, String code, String detail) {
		HttpMessages.problem(response, callback, status,
				ProblemBody.create(status, code, "Refused", Outcome.NOT_RUN, detail));
	}

	/** Thrown when a request of a target is malformed or not allowed. */
	private static final class AnnouncementException extends Exception {

		private static final long serialVersionUID = 1L;

		private final int status;

		AnnouncementException(int status, String message) {
			super(message, null, false, false);
			this.status = status;
		}

	}

}
