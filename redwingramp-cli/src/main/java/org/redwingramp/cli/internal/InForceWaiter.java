package org.redwingramp.cli.internal;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Waits until a view version is in force everywhere, which means that all live entry
 * instances have it. Not thread safe.
 */
final class InForceWaiter {

	private static final long MAX_LONG_POLL_MILLIS = 5_000;

	/** Limits the request rate while other changes end each long poll early. */
	private static final long POLL_DELAY_MILLIS = 20;

	private final OperatorClient client;

	InForceWaiter(OperatorClient client) {
		this.client = client;
	}

	/**
	 * Waits until the given view version is in force everywhere.
	 * @param viewVersion the view version that the change was accepted as
	 * @param timeoutMillis the maximum time to wait
	 * @throws CliException if the version isn't in force within the time limit or no
	 * instance can be reached; the exit code is UNKNOWN in both cases, since the change
	 * itself was accepted
	 */
	void await(long viewVersion, long timeoutMillis) throws CliException {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		long since = viewVersion;
		long inForce = 0;
		long remaining = timeoutMillis;
		while (remaining > 0) {
			ApiResponse response = poll(since, viewVersion, Math.min(MAX_LONG_POLL_MILLIS, remaining), remaining);
			inForce = response.number("versionInForce");
			if (inForce >= viewVersion) {
				return;
			}
			since = Math.max(since, response.number("viewVersion"));
			Sleeper.sleep(POLL_DELAY_MILLIS);
			remaining = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
		}
		throw CliException.notInForce(viewVersion, inForce, timeoutMillis);
	}

	private ApiResponse poll(long since, long viewVersion, long waitMillis, long timeoutMillis) throws CliException {
		try {
			return this.client.send(ApiCall.watch(since, Optional.of(viewVersion), waitMillis, timeoutMillis));
		}
		catch (CliException ex) {
			throw CliException.notObserved(viewVersion, ex);
		}
	}

}
