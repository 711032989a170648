package org.redwingramp.cli.internal;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.redwingramp.cli.ExitCode;
import org.redwingramp.core.model.RecordKind;

/**
 * Submits, revises and withdraws records. All files are checked before the first one is
 * sent. Stateless and thread safe.
 */
final class SubmitCommand {

	private SubmitCommand() {
	}

	static ExitCode run(Session session, String intent) throws CliException {
		List<RecordFile> files = session.invocation().arguments().stream().map(RecordFile::readRecord).toList();
		if (!files.stream().allMatch(RecordFile::valid)) {
			files.forEach((file) -> session.output().findings(file.findings()));
			return ExitCode.FINDINGS;
		}
		for (RecordFile file : files) {
			change(session, Call.submit(intent, file.shortName(), file.text(), session.timeoutMillis()), "accepted",
					file.label());
		}
		return ExitCode.OK;
	}

	static ExitCode withdraw(Session session) throws CliException {
		String kind = kind(session.argument(0));
		String name = name(session.argument(1));
		Optional<Long> version = session.invocation().number(CommandOptions.VERSION, 1, Long.MAX_VALUE);
		if (version.isEmpty()) {
			throw CliException.usage("withdraw needs --version, the version in force, so that no newer one is lost");
		}
		change(session, Call.withdraw(kind, name, version.get(), session.timeoutMillis()), "withdrew",
				kind + " " + name + " version " + version.get());
		return ExitCode.OK;
	}

	static String kind(String label) throws CliException {
		if (RecordKind.find(label).isEmpty()) {
			throw CliException.usage("\"" + label + "\" is no kind of record; known are service, domain, pin");
		}
		return label;
	}

	static String name(String name) throws CliException {
		if (!name.matches("[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?")) {
			throw CliException.usage("\"" + name + "\" is no name of a record; allowed are 1 to 63 lower-case letters,"
					+ " digits, hyphens, dots and underscores that start and end with a letter or digit");
		}
		return name;
	}

	private static void change(Session session, Call call, String verb, String label) throws CliException {
		long sent = System.nanoTime();
		Answer answer = session.client().send(call);
		checkSubject(answer, label);
		long viewVersion = answer.number("viewVersion");
		Output output = session.output();
		if (!output.json()) {
			output.line(verb + " " + label + " as revision " + answer.number("revision") + ", view version "
					+ viewVersion + (answer.body().path("repeated").asBoolean() ? " (it had been done before)" : ""));
		}
		Optional<Long> inForceMillis = Optional.empty();
		try {
			if (session.invocation().has(CommandOptions.WAIT)) {
				new InForceWaiter(session.client()).await(viewVersion, session.timeoutMillis());
				inForceMillis = Optional.of(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sent));
			}
		}
		finally {
			print(output, answer, inForceMillis);
		}
	}

	/**
	 * Checks that an answer belongs to the record that was sent, before it is taken for
	 * its acceptance.
	 * @param answer the answer
	 * @param label the record's kind, name and version
	 * @throws CliException if the answer is about something else
	 */
	private static void checkSubject(Answer answer, String label) throws CliException {
		String subject = answer.text("kind") + " " + answer.text("name") + " version " + answer.number("version");
		if (!subject.equals(label) || answer.number("revision") < 1 || answer.number("viewVersion") < 1) {
			throw CliException.unknown("the answer isn't an acceptance of " + label);
		}
	}

	private static void print(Output output, Answer answer, Optional<Long> inForceMillis) {
		if (output.json()) {
			ObjectNode node = answer.body().deepCopy();
			inForceMillis.ifPresent((millis) -> node.put("inForceMillis", millis));
			output.object(node);
		}
		else {
			inForceMillis.ifPresent((millis) -> output.line("in force everywhere after " + millis + " ms"));
		}
	}

}
