package org.redwingramp.cli.internal;

import java.io.PrintStream;
import java.util.List;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.redwingramp.records.Finding;

/**
 * Prints results to standard output, and findings, notices and errors to standard error.
 * Control characters in text are replaced, so that text from an instance can't send
 * escape sequences to the terminal. Not thread safe.
 */
final class Output {

	private static final Pattern CONTROL_CHARACTERS = Pattern.compile("[\\p{Cntrl}&&[^\\n\\t]]");

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

	ObjectNode newObject() {
		return this.mapper.createObjectNode();
	}

	void printLine(String text) {
		this.out.println(printable(text));
		this.out.flush();
	}

	/**
	 * Prints a JSON object on one line.
	 * @param node the object
	 */
	void printObject(JsonNode node) {
		this.out.println(node);
		this.out.flush();
	}

	/**
	 * Prints text of several lines as it is, without adding a line break.
	 * @param text the text
	 */
	void printText(String text) {
		this.out.print(CONTROL_CHARACTERS.matcher(text).replaceAll("?"));
		this.out.flush();
	}

	void printFindings(List<Finding> findings) {
		findings.forEach((finding) -> this.err.println(printable(finding.text())));
	}

	void printFinding(JsonNode finding) {
		printFindings(List.of(new Finding(finding.path("file").asText(), finding.path("line").asInt(),
				finding.path("column").asInt(), finding.path("field").asText(), finding.path("message").asText())));
	}

	JsonNode toJson(List<Finding> findings) {
		return this.mapper.valueToTree(findings);
	}

	void printNotice(String text) {
		this.err.println("redwingramp: " + printable(text));
	}

	void printError(CliException failure) {
		if (this.json) {
			ObjectNode node = newObject();
			node.put("exitCode", failure.exitCode().code()).put("error", failure.getMessage());
			failure.problem().ifPresent((problem) -> node.set("problem", problem));
			this.err.println(node);
			return;
		}
		this.err.println("redwingramp: " + printable(failure.getMessage()));
		failure.problem().ifPresent((problem) -> problem.path("findings").forEach(this::printFinding));
	}

	private static String printable(String text) {
		return CONTROL_CHARACTERS.matcher(text).replaceAll("?").replace('\n', ' ');
	}

}
