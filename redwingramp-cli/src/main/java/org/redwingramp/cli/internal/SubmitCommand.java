package org.redwingramp.cli.internal;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.redwingramp.cli.ExitCode;
import org.redwingramp.core.model.RecordKind;

/**
 * The subcommands that submit, revise and withdraw records. All files are validated
 * before the first one is sent. Stateless and thread safe.
 */
final class SubmitCommand {

	private SubmitCommand() {
	}

	static ExitCode run(CommandContext context, String intent) throws CliException {
		List<RecordFile> files = context.invocation().arguments().stream().map(RecordFile::readRecord).toList();
		if (!files.stream().allMatch(RecordFile::valid)) {
			files.forEach((file) -> context.output().printFindings(file.findings()));
			return ExitCode.FINDINGS;
		}
		for (RecordFile file : files) {
			sendChange(context, ApiCall.submit(intent, file.shortName(), file.text(), context.timeoutMillis()),
					"accepted", file.label());
		}
		return ExitCode.OK;
	}

	static ExitCode withdraw(CommandContext context) throws CliException {
		String kind = requireKind(context.argument(0));
		String name = requireName(context.argument(1));
		Optional<Long> version = context.invocation().integerOption(CommandOptions.VERSION, 1, Long.MAX_VALUE);
		if (version.isEmpty()) {
			throw CliException.usage(
					"withdraw requires --version with the version in force, so that it can't remove a newer version");
		}
		sendChange(context, ApiCall.withdraw(kind, name, version.get(), context.timeoutMillis()), "withdrew",
				kind + " " + name + " version " + version.get());
		return ExitCode.OK;
	}

	static String requireKind(String label) throws CliException {
		if (RecordKind.find(label).isEmpty()) {
			throw CliException.usage("unknown record kind \"" + label + "\"; known kinds: service, domain, pin");
		}
		return label;
	}

	static String requireName(String name) throws CliException {
		if (!name.matches("[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?")) {
			throw CliException.usage("invalid record name \"" + name + "\"; allowed: 1 to 63 lower-case letters,"
					+ " digits, hyphens, dots and underscores that start and end with a letter or digit");
		}
		return name;
	}

	private static void sendChange(CommandContext context, ApiCall call, String verb, String label)
			throws CliException {
		long sentNanos = System.nanoTime();
		ApiResponse response = context.client().send(call);
		checkConfirmation(response, label);
		long viewVersion = response.number("viewVersion");
		Output output = context.output();
		if (!output.json()) {
			output.printLine(verb + " " + label + " as revision " + response.number("revision") + ", view version "
					+ viewVersion + (response.body().path("repeated").asBoolean() ? " (it had been done before)" : ""));
		}
		Optional<Long> inForceMillis = Optional.empty();
		try {
			if (context.invocation().hasOption(CommandOptions.WAIT)) {
				new InForceWaiter(context.client()).await(viewVersion, context.timeoutMillis());
				inForceMillis = Optional.of(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos));
			}
		}
		finally {
			printResult(output, response, inForceMillis);
		}
	}

	/**
	 * Checks that a response confirms the change of the record that was sent. Without the
	 * check, a response about another record would be reported as acceptance.
	 * @param response the response
	 * @param label the kind, name and version of the record
	 * @throws CliException if the response doesn't confirm the change
	 */
	private static void checkConfirmation(ApiResponse response, String label) throws CliException {
		String subject = response.text("kind") + " " + response.text("name") + " version " + response.number("version");
		if (!subject.equals(label) || response.number("revision") < 1 || response.number("viewVersion") < 1) {
			throw CliException.unknown("the response doesn't confirm the change of " + label);
		}
	}

	private static void printResult(Output output, ApiResponse response, Optional<Long> inForceMillis) {
		if (output.json()) {
			ObjectNode node = response.body().deepCopy();
			inForceMillis.ifPresent((millis) -> node.put("inForceMillis", millis));
			output.printObject(node);
		}
		else {
			inForceMillis.ifPresent((millis) -> output.printLine("in force everywhere after " + millis + " ms"));
		}
	}

}
