package org.redwingramp.daemon.internal.http;

import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.server.Request;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult;
import org.redwingramp.core.control.RecordState;
import org.redwingramp.core.control.RefusalCode;
import org.redwingramp.core.model.OperatorRecord;
import org.redwingramp.core.model.RecordKind;
import org.redwingramp.daemon.internal.control.ControlClient;
import org.redwingramp.daemon.internal.control.ControlUnavailableException;
import org.redwingramp.daemon.internal.control.ControlUndecidedException;
import org.redwingramp.daemon.internal.events.Event;
import org.redwingramp.daemon.internal.events.EventLog;
import org.redwingramp.daemon.internal.route.RequestRefusedException;
import org.redwingramp.records.Finding;
import org.redwingramp.records.RecordParseResult;
import org.redwingramp.records.RecordParser;

/**
 * Lets operators submit, withdraw, list and read configuration records. Thread safe.
 */
public final class RecordsEndpoint {

	private static final long PROPOSE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

	private static final String INTENT = "Redwingramp-Intent";

	private static final String FILE = "Redwingramp-File";

	private static final int MAX_FILE_NAME_LENGTH = 255;

	private final ControlClient control;

	private final ControlReader reader;

	public RecordsEndpoint(ControlClient control, ControlReader reader) {
		this.control = control;
		this.reader = reader;
	}

	JsonNode answer(Request request, String[] path, String operator)
			throws OperatorException, ControlUnavailableException, ControlUndecidedException {
		String method = request.getMethod();
		if (path.length == 1 && HttpMethod.POST.is(method)) {
			return submit(request, operator);
		}
		if (path.length == 1 && HttpMethod.GET.is(method)) {
			return list(Request.extractQueryParameters(request).getValue("kind"));
		}
		if (path.length == 3 && HttpMethod.GET.is(method)) {
			return show(kind(path[1]), path[2]);
		}
		if (path.length == 3 && HttpMethod.DELETE.is(method)) {
			return withdraw(kind(path[1]), path[2], Request.extractQueryParameters(request).getValue("version"),
					operator);
		}
		if (path.length == 1 || path.length == 3) {
			throw new OperatorException(405, "method-not-allowed",
					"the method " + method + " is not allowed on this path");
		}
		throw new OperatorException(404, "not-found", "no such path; use /v1/records or /v1/records/KIND/NAME");
	}

	private JsonNode submit(Request request, String operator)
			throws OperatorException, ControlUnavailableException, ControlUndecidedException {
		String type = String.valueOf(request.getHeaders().get(HttpHeader.CONTENT_TYPE)).toLowerCase(Locale.ROOT);
		if (!type.startsWith("application/toml") && !type.startsWith("text/toml")) {
			throw new OperatorException(415, "unsupported-media-type", "send the record as application/toml");
		}
		OperatorRecord record = parse(request);
		checkIntent(Optional.ofNullable(request.getHeaders().get(INTENT)), record);
		CommandResult result = this.control.propose(new Command.SubmitRecord(record, operator), PROPOSE_TIMEOUT_NANOS);
		return toResponse(result, record.kind(), record.name(), record.version(), operator);
	}

	private OperatorRecord parse(Request request) throws OperatorException {
		RecordParseResult result = RecordParser.parse(fileName(request), body(request));
		if (result.record().isPresent()) {
			return result.record().get();
		}
		OperatorException refusal = new OperatorException(422, "invalid-record",
				result.findings().size() + " findings in the record");
		result.findings().forEach((finding) -> refusal.findings().add(json(finding)));
		throw refusal;
	}

	private static byte[] body(Request request) throws OperatorException {
		try {
			return BoundedBody.read(request, RecordParser.MAX_BYTES);
		}
		catch (RequestRefusedException ex) {
			boolean tooLarge = ex.problem().status() == 413;
			throw new OperatorException(tooLarge ? 413 : 400, tooLarge ? "too-large" : "malformed-request",
					ex.problem().title() + ": " + ex.getMessage());
		}
	}

	private static String fileName(Request request) {
		String name = request.getHeaders().get(FILE);
		boolean usable = name != null && name.length() <= MAX_FILE_NAME_LENGTH
				&& name.chars().allMatch((c) -> c >= ' ' && c < 127);
		return usable ? name : "request";
	}

	private void checkIntent(Optional<String> intent, OperatorRecord record)
			throws OperatorException, ControlUnavailableException, ControlUndecidedException {
		if (intent.isEmpty()) {
			return;
		}
		Optional<RecordState> current = ControlReader.view(this.reader.read(0)).record(record.kind(), record.name());
		boolean sameVersion = current.filter((state) -> state.record().version() == record.version()).isPresent();
		if (intent.get().equals("submit") && current.isPresent() && !sameVersion) {
			long version = current.get().record().version();
			RefusalCode code = (record.version() > version) ? RefusalCode.VERSION_GAP : RefusalCode.VERSION_OUTDATED;
			throw refusal(code, label(record.kind(), record.name()) + " is already in force at version " + version
					+ "; revise it with version " + (version + 1), current);
		}
		if (intent.get().equals("revise") && current.isEmpty()) {
			throw refusal(RefusalCode.NOT_FOUND,
					label(record.kind(), record.name()) + " is not in force; submit it first", current);
		}
	}

	private JsonNode withdraw(RecordKind kind, String name, String version, String operator)
			throws OperatorException, ControlUnavailableException, ControlUndecidedException {
		long number = parseVersion(version);
		CommandResult result = this.control.propose(new Command.WithdrawRecord(kind, name, number, operator),
				PROPOSE_TIMEOUT_NANOS);
		return toResponse(result, kind, name, number, operator);
	}

	private static long parseVersion(String version) throws OperatorException {
		try {
			return Long.parseLong(String.valueOf(version));
		}
		catch (NumberFormatException ex) {
			throw new OperatorException(400, "malformed-request",
					"the query parameter version must be the version to withdraw, not \"" + version + "\"");
		}
	}

	private JsonNode toResponse(CommandResult result, RecordKind kind, String name, long version, String operator)
			throws OperatorException, ControlUnavailableException, ControlUndecidedException {
		if (result instanceof CommandResult.RecordAccepted accepted) {
			EventLog.log(Event.RECORD_ACCEPTED, kind.label(), name, version, accepted.revision(), operator);
			return JsonNodeFactory.instance.objectNode()
				.put("kind", kind.label())
				.put("name", name)
				.put("version", version)
				.put("revision", accepted.revision())
				.put("viewVersion", accepted.viewVersion())
				.put("repeated", accepted.repeated());
		}
		if (result instanceof CommandResult.Refused refused) {
			EventLog.log(Event.RECORD_REFUSED, kind.label(), name, refused.code(), operator);
			throw refusal(refused.code(), refused.detail(), ControlReader.view(this.reader.read(0)).record(kind, name));
		}
		throw new ControlUndecidedException(
				"unexpected reply of the control leader for " + label(kind, name) + ": " + result);
	}

	private static OperatorException refusal(RefusalCode code, String detail, Optional<RecordState> current) {
		int status = switch (code) {
			case NOT_FOUND -> 404;
			case INCONSISTENT, LIMIT_REACHED -> 422;
			default -> 409;
		};
		OperatorException refusal = new OperatorException(status,
				code.name().toLowerCase(Locale.ROOT).replace('_', '-'), detail);
		current.ifPresent((state) -> refusal.extensions()
			.put("currentVersion", state.record().version())
			.put("digest", state.record().digest()));
		return refusal;
	}

	private JsonNode list(String kind)
			throws OperatorException, ControlUnavailableException, ControlUndecidedException {
		Optional<RecordKind> filter = (kind != null) ? Optional.of(kind(kind)) : Optional.empty();
		Collection<RecordState> records = ControlReader.view(this.reader.read(0)).records();
		ArrayNode list = JsonNodeFactory.instance.arrayNode();
		List<RecordState> listed = records.stream()
			.filter((state) -> filter.isEmpty() || state.record().kind() == filter.get())
			.toList();
		listed.forEach((state) -> list.add(json(state)));
		ObjectNode body = JsonNodeFactory.instance.objectNode();
		body.set("records", list);
		return body;
	}

	private JsonNode show(RecordKind kind, String name)
			throws OperatorException, ControlUnavailableException, ControlUndecidedException {
		Optional<RecordState> state = ControlReader.view(this.reader.read(0)).record(kind, name);
		return json(state
			.orElseThrow(() -> new OperatorException(404, "not-found", label(kind, name) + " is not in force")))
			.put("text", state.get().record().text());
	}

	private static RecordKind kind(String label) throws OperatorException {
		return RecordKind.find(label)
			.orElseThrow(() -> new OperatorException(404, "not-found", "no such kind of record: " + label));
	}

	private static String label(RecordKind kind, String name) {
		return kind.label() + " " + name;
	}

	private static ObjectNode json(RecordState state) {
		return JsonNodeFactory.instance.objectNode()
			.put("kind", state.record().kind().label())
			.put("name", state.record().name())
			.put("version", state.record().version())
			.put("schema", state.record().schema())
			.put("revision", state.revision())
			.put("viewVersion", state.viewVersion())
			.put("digest", state.record().digest());
	}

	private static ObjectNode json(Finding finding) {
		return JsonNodeFactory.instance.objectNode()
			.put("file", finding.file())
			.put("line", finding.line())
			.put("column", finding.column())
			.put("field", finding.field())
			.put("message", finding.message());
	}

}
