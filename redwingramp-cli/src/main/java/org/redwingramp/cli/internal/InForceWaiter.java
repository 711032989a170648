package org.redwingramp.cli.internal;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Waits until a view version is in force everywhere. Not thread safe.
 */
final class InForceWaiter {

	private static final long MAX_WAIT_MILLIS = 5_000;

	/** Bounds the number of requests while other changes end each long poll. */
	private static final long PAUSE_MILLIS = 20;

	private final OperatorClient client;

	InForceWaiter(OperatorClient client) {
		this.client = client;
	}

	/**
	 * Waits.
	 * @param viewVersion the version
	 * @param timeoutMillis the longest time
	 * @throws CliException if it isn't in force in time or nobody can be reached; its
	 * exit code says unknown in both cases, since the change itself was accepted
	 */
	void await(long viewVersion, long timeoutMillis) throws CliException {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		long since = viewVersion;
		long inForce = 0;
		long remaining = timeoutMillis;
		while (remaining > 0) {
			Answer answer = poll(since, viewVersion, Math.min(MAX_WAIT_MILLIS, remaining), remaining);
			inForce = answer.number("versionInForce");
			if (inForce >= viewVersion) {
				return;
			}
			since = Math.max(since, answer.number("viewVersion"));
			Pauses.pause(PAUSE_MILLIS);
			remaining = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
		}
		throw CliException.notInForce(viewVersion, inForce, timeoutMillis);
	}

	private Answer poll(long since, long goal, long waitMillis, long timeoutMillis) throws CliException {
		try {
			return this.client.send(Call.watch(since, Optional.of(goal), waitMillis, timeoutMillis));
		}
		catch (CliException ex) {
			throw CliException.notObserved(goal, ex);
		}
	}

}
