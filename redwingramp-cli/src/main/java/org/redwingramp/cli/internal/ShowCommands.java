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
 * The subcommands that print state: records, status and routing explanations. Stateless
 * and thread safe.
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

	static ExitCode list(CommandContext context) throws CliException {
		Map<String, String> query = context.invocation().arguments().isEmpty() ? Map.of()
				: Map.of("kind", SubmitCommand.requireKind(context.argument(0)));
		ApiResponse response = get(context, "/v1/records", query);
		if (context.output().json()) {
			response.body().path("records").forEach(context.output()::printObject);
		}
		else {
			printTable(context.output(), response.body().path("records"), RECORD_COLUMNS);
		}
		return ExitCode.OK;
	}

	static ExitCode show(CommandContext context) throws CliException {
		String path = "/v1/records/" + SubmitCommand.requireKind(context.argument(0)) + "/"
				+ SubmitCommand.requireName(context.argument(1));
		ApiResponse response = get(context, path, Map.of());
		if (context.output().json()) {
			context.output().printObject(response.body());
		}
		else {
			context.output().printText(response.text("text"));
		}
		return ExitCode.OK;
	}

	static ExitCode status(CommandContext context) throws CliException {
		ApiResponse response = get(context, "/v1/status", Map.of());
		Output output = context.output();
		if (output.json()) {
			output.printObject(response.body());
			return ExitCode.OK;
		}
		output.printLine("cluster " + response.text("clusterId"));
		output.printLine("leader " + (response.text("leader").isEmpty() ? "none" : response.text("leader")));
		output.printLine("view version " + response.number("viewVersion") + ", in force everywhere up to "
				+ response.number("versionInForce") + ", revision " + response.number("revision"));
		STATUS_TABLES.forEach((name, columns) -> {
			if (!response.body().path(name).isEmpty()) {
				output.printLine("");
				output.printLine(name);
				printTable(output, response.body().path(name), columns);
			}
		});
		return ExitCode.OK;
	}

	static ExitCode explain(CommandContext context) throws CliException {
		Map<String, String> query = new LinkedHashMap<>();
		query.put("service", SubmitCommand.requireName(context.argument(0)));
		if (context.invocation().arguments().size() > 1) {
			query.put("key", context.argument(1));
		}
		ApiResponse response = get(context, "/v1/explain", query);
		if (context.output().json()) {
			context.output().printObject(response.body());
			return ExitCode.OK;
		}
		response.body().properties().forEach((field) -> {
			if (field.getValue().isArray()) {
				field.getValue().forEach((item) -> context.output().printLine("- " + item.asText()));
			}
			else {
				context.output().printLine(field.getKey() + " " + field.getValue().asText());
			}
		});
		return ExitCode.OK;
	}

	private static ApiResponse get(CommandContext context, String path, Map<String, String> query) throws CliException {
		return context.client().send(ApiCall.get(path, query, context.timeoutMillis()));
	}

	private static void printTable(Output output, JsonNode rows, List<String> columns) {
		List<List<String>> cells = StreamSupport.stream(rows.spliterator(), false)
			.map((row) -> columns.stream().map((column) -> cellText(row.path(column).asText())).toList())
			.toList();
		List<Integer> widths = columns.stream()
			.map((column) -> cells.stream()
				.mapToInt((row) -> row.get(columns.indexOf(column)).length())
				.reduce(column.length(), Math::max))
			.toList();
		output.printLine(formatRow(columns, widths));
		cells.forEach((row) -> output.printLine(formatRow(row, widths)));
	}

	private static String cellText(String text) {
		return text.isEmpty() ? "-" : text;
	}

	private static String formatRow(List<String> cells, List<Integer> widths) {
		return IntStream.range(0, cells.size())
			.mapToObj((index) -> String.format("%-" + widths.get(index) + "s", cells.get(index)))
			.collect(Collectors.joining("  "))
			.stripTrailing();
	}

}
