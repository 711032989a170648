package org.redwingramp.cli.internal;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;

import org.redwingramp.cli.ExitCode;

/**
 * Prints what the system holds. Stateless and thread safe.
 */
final class ShowCommands {

	private static final List<String> RECORD_COLUMNS = List.of("kind", "name", "version", "schema", "revision",
			"viewVersion", "digest");

	private static final Map<String, List<String>> STATUS_TABLES = statusTables();

	private ShowCommands() {
	}

	private static Map<String, List<String>> statusTables() {
		Map<String, List<String>> tables = new LinkedHashMap<>();
		tables.put("replicas", List.of("name", "address", "role", "voter", "matchIndex", "silentMillis"));
		tables.put("entries",
				List.of("name", "address", "failureDomain", "leaving", "viewVersion", "silentMillis", "targets"));
		tables.put("services", List.of("name", "version", "targets", "shards", "unowned", "releasing"));
		tables.put("domains", List.of("name", "state", "targets"));
		tables.put("targets", List.of("name", "service", "failureDomain", "phase", "gate", "gateEpoch", "shards"));
		return tables;
	}

	static ExitCode list(Session session) throws CliException {
		Map<String, String> query = session.invocation().arguments().isEmpty() ? Map.of()
				: Map.of("kind", SubmitCommand.kind(session.argument(0)));
		Answer answer = get(session, "/v1/records", query);
		if (session.output().json()) {
			answer.body().path("records").forEach(session.output()::object);
		}
		else {
			table(session.output(), answer.body().path("records"), RECORD_COLUMNS);
		}
		return ExitCode.OK;
	}

	static ExitCode show(Session session) throws CliException {
		String path = "/v1/records/" + SubmitCommand.kind(session.argument(0)) + "/"
				+ SubmitCommand.name(session.argument(1));
		Answer answer = get(session, path, Map.of());
		if (session.output().json()) {
			session.output().object(answer.body());
		}
		else {
			session.output().text(answer.text("text"));
		}
		return ExitCode.OK;
	}

	static ExitCode status(Session session) throws CliException {
		Answer answer = get(session, "/v1/status", Map.of());
		Output output = session.output();
		if (output.json()) {
			output.object(answer.body());
			return ExitCode.OK;
		}
		output.line("cluster " + answer.text("clusterId"));
		output.line("leader " + (answer.text("leader").isEmpty() ? "none" : answer.text("leader")));
		output.line("view version " + answer.number("viewVersion") + ", in force everywhere up to "
				+ answer.number("versionInForce") + ", revision " + answer.number("revision"));
		STATUS_TABLES.forEach((name, columns) -> {
			if (!answer.body().path(name).isEmpty()) {
				output.line("");
				output.line(name);
				table(output, answer.body().path(name), columns);
			}
		});
		return ExitCode.OK;
	}

	static ExitCode explain(Session session) throws CliException {
		Map<String, String> query = new LinkedHashMap<>();
		query.put("service", SubmitCommand.name(session.argument(0)));
		if (session.invocation().arguments().size() > 1) {
			query.put("key", session.argument(1));
		}
		Answer answer = get(session, "/v1/explain", query);
		if (session.output().json()) {
			session.output().object(answer.body());
			return ExitCode.OK;
		}
		answer.body().properties().forEach((field) -> {
			if (field.getValue().isArray()) {
				field.getValue().forEach((item) -> session.output().line("- " + item.asText()));
			}
			else {
				session.output().line(field.getKey() + " " + field.getValue().asText());
			}
		});
		return ExitCode.OK;
	}

	private static Answer get(Session session, String path, Map<String, String> query) throws CliException {
		return session.client().send(Call.get(path, query, session.timeoutMillis()));
	}

	private static void table(Output output, JsonNode rows, List<String> columns) {
		List<List<String>> cells = StreamSupport.stream(rows.spliterator(), false)
			.map((row) -> columns.stream().map((column) -> cell(row.path(column).asText())).toList())
			.toList();
		List<Integer> widths = columns.stream()
			.map((column) -> cells.stream()
				.mapToInt((row) -> row.get(columns.indexOf(column)).length())
				.reduce(column.length(), Math::max))
			.toList();
		output.line(row(columns, widths));
		cells.forEach((row) -> output.line(row(row, widths)));
	}

	private static String cell(String text) {
		return text.isEmpty() ? "-" : text;
	}

	private static String row(List<String> cells, List<Integer> widths) {
		return IntStream.range(0, cells.size())
			.mapToObj((index) -> String.format("%-" + widths.get(index) + "s", cells.get(index)))
			.collect(Collectors.joining("  "))
			.stripTrailing();
	}

}
