package org.redwingramp.cli.internal;

import java.io.PrintStream;
import java.util.List;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.redwingramp.records.Finding;

/**
 * Prints results to standard output, and findings and errors to standard error. Text from
 * instances is printed without control characters, so that it can't garble a terminal.
 * Not thread safe.
 */
final class Output {

	private static final Pattern CONTROL = Pattern.compile("[\\p{Cntrl}&&[^\\n\\t]]");

	private final PrintStream out;

	private final PrintStream err;

	private final boolean json;

	private final ObjectMapper mapper = new ObjectMapper();

	Output(PrintStream out, PrintStream err, boolean json) {
		this.out = out;
		this.err = err;
		this.json = json;
	}

	boolean json() {
		return this.json;
	}

	ObjectNode object() {
		return this.mapper.createObjectNode();
	}

	void line(String text) {
		this.out.println(printable(text));
		this.out.flush();
	}

	/**
	 * Prints an object as one line.
	 * @param node the object
	 */
	void object(JsonNode node) {
		this.out.println(node);
		this.out.flush();
	}

	void text(String text) {
		this.out.print(CONTROL.matcher(text).replaceAll("?"));
		this.out.flush();
	}

	void findings(List<Finding> findings) {
		findings.forEach((finding) -> this.err.println(printable(finding.text())));
	}

	void finding(JsonNode finding) {
		findings(List.of(new Finding(finding.path("file").asText(), finding.path("line").asInt(),
				finding.path("column").asInt(), finding.path("field").asText(), finding.path("message").asText())));
	}

	JsonNode tree(List<Finding> findings) {
		return this.mapper.valueToTree(findings);
	}

	void notice(String text) {
		this.err.println("redwingramp: " + printable(text));
	}

	void error(CliException failure) {
		if (this.json) {
			ObjectNode node = object();
			node.put("exitCode", failure.exitCode().code()).put("error", failure.getMessage());
			failure.problem().ifPresent((problem) -> node.set("problem", problem));
			this.err.println(node);
			return;
		}
		this.err.println("redwingramp: " + printable(failure.getMessage()));
		failure.problem().ifPresent((problem) -> problem.path("findings").forEach(this::finding));
	}

	private static String printable(String text) {
		return CONTROL.matcher(text).replaceAll("?").replace('\n', ' ');
	}

}
