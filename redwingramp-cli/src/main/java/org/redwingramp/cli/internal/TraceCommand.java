package org.redwingramp.cli.internal;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.redwingramp.cli.ExitCode;

/**
 * Finds the cause of a request's outcome in the structured logs of a fleet's processes.
 * Lines that aren't events are counted and passed over. Stateless and thread safe.
 */
final class TraceCommand {

	/**
	 * How long before and after a request the beliefs of the fleet are shown, in
	 * milliseconds.
	 */
	private static final long CONTEXT_MILLIS = 2000;

	private static final long MILLIS_PER_SECOND = 1000;

	private static final Set<String> OUTCOMES = Set.of("request-answered", "request-refused", "request-failed");

	private TraceCommand() {
	}

	static ExitCode run(Session session) throws CliException {
		Invocation invocation = session.invocation();
		long from = invocation.number(CommandOptions.FROM, 0, Long.MAX_VALUE).orElse(0L);
		long to = invocation.number(CommandOptions.TO, 0, Long.MAX_VALUE).orElse(Long.MAX_VALUE);
		List<String> lines = read(invocation.arguments());
		List<LogLine> events = lines.stream()
			.map(LogLine::parse)
			.flatMap(Optional::stream)
			.filter((line) -> line.at() >= from && line.at() <= to)
			.sorted(Comparator.comparingLong(LogLine::at))
			.toList();
		if (events.size() < lines.size()) {
			session.output()
				.notice((lines.size() - events.size()) + " lines are no events of this time and are left out");
		}
		Optional<String> request = invocation.text(CommandOptions.REQUEST);
		List<LogLine> chosen = request.map((id) -> chain(events, id)).orElse(events);
		if (request.isPresent() && chosen.isEmpty()) {
			throw CliException.usage("no line mentions request " + request.get()
					+ "; give the logs of all entry instances of that time");
		}
		if (invocation.has(CommandOptions.SUMMARY)) {
			summarise(chosen, session.output());
		}
		else {
			chosen.forEach((line) -> print(line, session.output()));
		}
		return ExitCode.OK;
	}

	// The lines of the request, and what the fleet decided meanwhile about its target,
	// its
	// service's keys and the control leader.
	private static List<LogLine> chain(List<LogLine> events, String id) {
		List<LogLine> own = events.stream().filter((line) -> line.has("request", id)).toList();
		if (own.isEmpty()) {
			return own;
		}
		Set<String> instances = own.stream().map((line) -> line.text("instance")).collect(Collectors.toSet());
		Set<String> targets = own.stream()
			.map((line) -> line.text("target"))
			.filter((target) -> !target.isEmpty())
			.collect(Collectors.toSet());
		long key = own.stream().mapToLong((line) -> line.number("key").orElse(-1L)).max().orElse(-1);
		long first = own.get(0).at() - CONTEXT_MILLIS;
		long last = own.get(own.size() - 1).at() + CONTEXT_MILLIS;
		Predicate<LogLine> related = (line) -> line.has("request", id)
				|| (line.text("request").isEmpty() && (targets.contains(line.text("target")) || line.covers(key)
						|| (instances.contains(line.text("instance")) && !line.text("name").startsWith("control-call"))
						|| line.text("name").equals("role-changed")));
		return events.stream().filter((line) -> line.at() >= first && line.at() <= last).filter(related).toList();
	}

	private static void print(LogLine line, Output output) {
		if (output.json()) {
			output.object(line.tree());
		}
		else {
			output.line(line.readable());
		}
	}

	private static void summarise(List<LogLine> events, Output output) {
		Map<Long, Map<String, Long>> bySecond = events.stream()
			.filter((line) -> OUTCOMES.contains(line.text("name")))
			.collect(Collectors.groupingBy((line) -> line.at() / MILLIS_PER_SECOND, TreeMap::new,
					Collectors.groupingBy(LogLine::outcome, TreeMap::new, Collectors.counting())));
		bySecond.forEach((second,
				counts) -> output.line(second + " "
						+ counts.entrySet()
							.stream()
							.map((entry) -> entry.getKey() + "=" + entry.getValue())
							.collect(Collectors.joining(" "))));
	}

	private static List<String> read(List<String> files) throws CliException {
		List<String> lines = new ArrayList<>();
		if (files.isEmpty()) {
			lines.addAll(read("standard input", System.in));
		}
		for (String file : files) {
			try (InputStream content = Files.newInputStream(Path.of(file))) {
				lines.addAll(read(file, content));
			}
			catch (IOException ex) {
				throw CliException.usage("the log " + file + " can't be read (" + ex.getClass().getSimpleName() + ")");
			}
		}
		return lines;
	}

	private static List<String> read(String name, InputStream content) throws CliException {
		try {
			return new String(content.readAllBytes(), StandardCharsets.UTF_8).lines()
				.filter((line) -> !line.isBlank())
				.toList();
		}
		catch (IOException ex) {
			throw CliException.usage(name + " can't be read (" + ex.getClass().getSimpleName() + ")");
		}
	}

}
