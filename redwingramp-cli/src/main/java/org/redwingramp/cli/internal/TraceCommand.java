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
 * Prints the events in structured logs of several processes in order of time, or only
 * those that explain the outcome of one request or the owners of one key. Lines that
 * aren't events are skipped and counted. Stateless and thread safe.
 */
final class TraceCommand {

	/**
	 * The time before the first and after the last event of a request within which
	 * related events are printed.
	 */
	private static final long RELATED_EVENTS_MILLIS = 2000;

	private static final long MILLIS_PER_SECOND = 1000;

	private static final Set<String> OUTCOME_EVENTS = Set.of("request-answered", "request-refused", "request-failed");

	private TraceCommand() {
	}

	static ExitCode run(CommandContext context) throws CliException {
		Invocation invocation = context.invocation();
		long from = invocation.integerOption(CommandOptions.FROM, 0, Long.MAX_VALUE).orElse(0L);
		long to = invocation.integerOption(CommandOptions.TO, 0, Long.MAX_VALUE).orElse(Long.MAX_VALUE);
		List<String> lines = readLines(invocation.arguments());
		List<LogEvent> events = lines.stream()
			.map(LogEvent::parse)
			.flatMap(Optional::stream)
			.filter((event) -> event.atMillis() >= from && event.atMillis() <= to)
			.sorted(Comparator.comparingLong(LogEvent::atMillis))
			.toList();
		if (events.size() < lines.size()) {
			context.output()
				.printNotice(
						(lines.size() - events.size()) + " lines skipped: not an event, or outside --from and --to");
		}
		Optional<String> request = invocation.optionValue(CommandOptions.REQUEST);
		Optional<String> key = invocation.optionValue(CommandOptions.KEY);
		if (request.isPresent() && key.isPresent()) {
			throw CliException.usage("use --" + CommandOptions.REQUEST + " or --" + CommandOptions.KEY + ", not both");
		}
		List<LogEvent> all = key.isPresent() ? KeyFilter.parse(key.get()).select(events) : events;
		List<LogEvent> selected = request.map((id) -> relatedEvents(all, id)).orElse(all);
		if (request.isPresent() && selected.isEmpty()) {
			throw CliException.usage("no event mentions request " + request.get()
					+ "; pass the logs of all entry instances for the time of the request");
		}
		if (invocation.hasOption(CommandOptions.SUMMARY)) {
			printSummary(selected, context.output());
		}
		else {
			selected.forEach((event) -> print(event, context.output()));
		}
		return ExitCode.OK;
	}

	// Selects the events of the request and, close to them in time, the events without a
	// request id that are about its targets or its key, come from its instances (except
	// calls to the control replicas) or report a role change.
	private static List<LogEvent> relatedEvents(List<LogEvent> events, String id) {
		List<LogEvent> requestEvents = events.stream().filter((event) -> event.hasValue("request", id)).toList();
		if (requestEvents.isEmpty()) {
			return requestEvents;
		}
		Set<String> instances = requestEvents.stream()
			.map((event) -> event.text("instance"))
			.collect(Collectors.toSet());
		Set<String> targets = requestEvents.stream()
			.map((event) -> event.text("target"))
			.filter((target) -> !target.isEmpty())
			.collect(Collectors.toSet());
		long key = requestEvents.stream().mapToLong((event) -> event.number("key").orElse(-1L)).max().orElse(-1);
		long first = requestEvents.get(0).atMillis() - RELATED_EVENTS_MILLIS;
		long last = requestEvents.get(requestEvents.size() - 1).atMillis() + RELATED_EVENTS_MILLIS;
		Predicate<LogEvent> related = (event) -> event.hasValue("request", id)
				|| (event.text("request").isEmpty() && (targets.contains(event.text("target")) || event.coversKey(key)
						|| (instances.contains(event.text("instance"))
								&& !event.text("name").startsWith("control-call"))
						|| event.text("name").equals("role-changed")));
		return events.stream()
			.filter((event) -> event.atMillis() >= first && event.atMillis() <= last)
			.filter(related)
			.toList();
	}

	private static void print(LogEvent event, Output output) {
		if (output.json()) {
			output.printObject(event.fields());
		}
		else {
			output.printLine(event.toText());
		}
	}

	private static void printSummary(List<LogEvent> events, Output output) {
		Map<Long, Map<String, Long>> bySecond = events.stream()
			.filter((event) -> OUTCOME_EVENTS.contains(event.text("name")))
			.collect(Collectors.groupingBy((event) -> event.atMillis() / MILLIS_PER_SECOND, TreeMap::new,
					Collectors.groupingBy(LogEvent::outcomeLabel, TreeMap::new, Collectors.counting())));
		bySecond.forEach((second,
				counts) -> output.printLine(second + " "
						+ counts.entrySet()
							.stream()
							.map((entry) -> entry.getKey() + "=" + entry.getValue())
							.collect(Collectors.joining(" "))));
	}

	private static List<String> readLines(List<String> files) throws CliException {
		List<String> lines = new ArrayList<>();
		if (files.isEmpty()) {
			lines.addAll(readLines("standard input", System.in));
		}
		for (String file : files) {
			try (InputStream content = Files.newInputStream(Path.of(file))) {
				lines.addAll(readLines(file, content));
			}
			catch (IOException ex) {
				throw CliException.usage("log file " + file + " can't be read (" + ex.getClass().getSimpleName() + ")");
			}
		}
		return lines;
	}

	private static List<String> readLines(String name, InputStream content) throws CliException {
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
