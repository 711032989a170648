package org.redwingramp.cli.internal;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;

import org.redwingramp.cli.ExitCode;

/**
 * Prints changes as they are accepted. Stateless and thread safe.
 */
final class WatchCommand {

	private static final long WAIT_MILLIS = 5_000;

	/** Leaves time for an election of a control leader between two polls. */
	private static final long POLL_TIMEOUT_MILLIS = 10_000;

	private static final long PAUSE_MILLIS = 20;

	private WatchCommand() {
	}

	static ExitCode run(Session session) throws CliException {
		boolean untilInForce = session.invocation().has(CommandOptions.UNTIL_IN_FORCE);
		Optional<Long> from = session.invocation().number(CommandOptions.SINCE, 0, Long.MAX_VALUE);
		Answer status = session.client().send(Call.get("/v1/status", Map.of(), POLL_TIMEOUT_MILLIS));
		long current = status.number("viewVersion");
		Optional<Long> goal = untilInForce ? Optional.of(current) : Optional.empty();
		return watch(session, from.orElse(current), goal);
	}

	private static ExitCode watch(Session session, long from, Optional<Long> goal) throws CliException {
		long timeoutMillis = session.invocation().has(CommandOptions.TIMEOUT) ? session.timeoutMillis()
				: Long.MAX_VALUE;
		long start = System.nanoTime();
		long since = from;
		while (true) {
			long spent = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
			long wait = Math.max(0, Math.min(WAIT_MILLIS, timeoutMillis - spent));
			Answer answer = session.client().send(Call.watch(since, goal, wait, POLL_TIMEOUT_MILLIS));
			answer.body().path("changes").forEach((change) -> print(session.output(), change));
			if (!answer.body().path("complete").asBoolean(true)) {
				session.output()
					.notice("removals before view version " + answer.number("viewVersion")
							+ " may be missing, since --since is older than what the instances keep");
			}
			since = Math.max(since, answer.number("viewVersion"));
			long inForce = answer.number("versionInForce");
			if (goal.isPresent() && inForce >= goal.get()) {
				printInForce(session.output(), goal.get());
				return ExitCode.OK;
			}
			if (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start) >= timeoutMillis) {
				return endOfTime(goal, inForce, timeoutMillis);
			}
			if (!Pauses.pause(PAUSE_MILLIS)) {
				return ExitCode.OK;
			}
		}
	}

	private static ExitCode endOfTime(Optional<Long> goal, long inForce, long timeoutMillis) throws CliException {
		if (goal.isPresent()) {
			throw CliException.notInForce(goal.get(), inForce, timeoutMillis);
		}
		return ExitCode.OK;
	}

	private static void print(Output output, JsonNode change) {
		if (output.json()) {
			output.object(change);
			return;
		}
		String detail = change.path("detail").asText();
		output.line(change.path("viewVersion").asLong() + " " + change.path("resource").asText() + " "
				+ change.path("name").asText() + " " + change.path("change").asText()
				+ (detail.isEmpty() ? "" : ": " + detail));
	}

	private static void printInForce(Output output, long goal) {
		if (output.json()) {
			output.object(output.object().put("inForce", goal));
		}
		else {
			output.line("view version " + goal + " is in force everywhere");
		}
	}

}
