package org.redwingramp.cli.internal;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;

import org.redwingramp.cli.ExitCode;

/**
 * Prints changes of the view as they are accepted, using long polls. Stateless and thread
 * safe.
 */
final class WatchCommand {

	private static final long MAX_LONG_POLL_MILLIS = 5_000;

	/** Leaves time for the election of a control leader between two polls. */
	private static final long POLL_TIMEOUT_MILLIS = 10_000;

	/** Limits the request rate while changes end each long poll early. */
	private static final long POLL_DELAY_MILLIS = 20;

	private WatchCommand() {
	}

	static ExitCode run(CommandContext context) throws CliException {
		boolean untilInForce = context.invocation().hasOption(CommandOptions.UNTIL_IN_FORCE);
		Optional<Long> from = context.invocation().integerOption(CommandOptions.SINCE, 0, Long.MAX_VALUE);
		ApiResponse status = context.client().send(ApiCall.get("/v1/status", Map.of(), POLL_TIMEOUT_MILLIS));
		long current = status.number("viewVersion");
		Optional<Long> awaitedVersion = untilInForce ? Optional.of(current) : Optional.empty();
		return watch(context, from.orElse(current), awaitedVersion);
	}

	private static ExitCode watch(CommandContext context, long from, Optional<Long> awaitedVersion)
			throws CliException {
		long timeoutMillis = context.invocation().hasOption(CommandOptions.TIMEOUT) ? context.timeoutMillis()
				: Long.MAX_VALUE;
		long startNanos = System.nanoTime();
		long since = from;
		while (true) {
			long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
			long waitMillis = Math.max(0, Math.min(MAX_LONG_POLL_MILLIS, timeoutMillis - elapsedMillis));
			ApiResponse response = context.client()
				.send(ApiCall.watch(since, awaitedVersion, waitMillis, POLL_TIMEOUT_MILLIS));
			response.body().path("changes").forEach((change) -> printChange(context.output(), change));
			if (!response.body().path("complete").asBoolean(true)) {
				context.output()
					.printNotice("removals before view version " + response.number("viewVersion")
							+ " may be missing, since --since is older than the history that the instances keep");
			}
			since = Math.max(since, response.number("viewVersion"));
			long inForce = response.number("versionInForce");
			if (awaitedVersion.isPresent() && inForce >= awaitedVersion.get()) {
				printInForce(context.output(), awaitedVersion.get());
				return ExitCode.OK;
			}
			if (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) >= timeoutMillis) {
				return endAfterTimeout(awaitedVersion, inForce, timeoutMillis);
			}
			if (!Sleeper.sleep(POLL_DELAY_MILLIS)) {
				return ExitCode.OK;
			}
		}
	}

	private static ExitCode endAfterTimeout(Optional<Long> awaitedVersion, long inForce, long timeoutMillis)
			throws CliException {
		if (awaitedVersion.isPresent()) {
			throw CliException.notInForce(awaitedVersion.get(), inForce, timeoutMillis);
		}
		return ExitCode.OK;
	}

	private static void printChange(Output output, JsonNode change) {
		if (output.json()) {
			output.printObject(change);
			return;
		}
		String detail = change.path("detail").asText();
		output.printLine(change.path("viewVersion").asLong() + " " + change.path("resource").asText() + " "
				+ change.path("name").asText() + " " + change.path("change").asText()
				+ (detail.isEmpty() ? "" : ": " + detail));
	}

	private static void printInForce(Output output, long awaitedVersion) {
		if (output.json()) {
			output.printObject(output.newObject().put("inForce", awaitedVersion));
		}
		else {
			output.printLine("view version " + awaitedVersion + " is in force everywhere");
		}
	}

}
