package org.redwingramp.daemon.internal.route;

import java.util.concurrent.TimeUnit;

import org.redwingramp.daemon.internal.gate.GateReply;

/**
 * Decides whether a request that reached no target is routed again with a newer view, and
 * how long it pauses before that. Stateless and thread safe.
 */
final class Rerouting {

	private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

	// A new gate can't send before its first grant, which takes some round trips; each
	// attempt before that costs a call and a log line.
	private static final long MAX_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

	// A target that can't be connected to is declared lost after 400 ms. Each attempt of
	// an at-most-once request costs two commits, so few attempts are made until then.
	private static final long UNREACHABLE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private Rerouting() {
	}

	// In these cases the request was not sent. A key has a single owner, so a request
	// whose owner is unreachable has to wait for the next owner, which costs no retry
	// budget. Without a key another target can serve the request at once, which counts
	// as a retry.
	static boolean awaitsNewerView(GateReply reply, boolean keyed) {
		return reply.problem().filter(Problem::reroutable).isPresent() && (keyed || !reply.targetFailed());
	}

	static long firstPause() {
		return FIRST_PAUSE_NANOS;
	}

	// Returns the pause after the next attempt. A newer view ends any pause early.
	static long nextPause(long pause, GateReply last) {
		return last.targetFailed() ? UNREACHABLE_PAUSE_NANOS : Math.min(MAX_PAUSE_NANOS, pause * 2);
	}

}
