package org.redwingramp.daemon.internal.route;

import java.util.concurrent.TimeUnit;

import org.redwingramp.daemon.internal.gate.GateReply;

/**
 * Decides whether a request that reached no target waits for a newer view, and how long.
 * Stateless and thread safe.
 */
final class Rerouting {

	private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

	// A new gate's first grant takes some round trips; each attempt before it costs a
	// call and a log line.
	private static final long LONGEST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

	// A target that can't be connected to is lost after 400 ms; a booking's attempt costs
	// two commits, so there are few of them until then.
	private static final long UNREACHABLE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private Rerouting() {
	}

	// Nothing was sent in these cases. A key has one owner, so a request whose owner
	// can't be reached waits for the next owner and needs no part of the retry budget;
	// without keys another target can take it at once, which is a retry.
	static boolean waits(GateReply reply, boolean keyed) {
		return reply.problem().filter(Problem::reroutable).isPresent() && (keyed || !reply.targetFailed());
	}

	static long firstPause() {
		return FIRST_PAUSE_NANOS;
	}

	// Returns the pause after another attempt. A newer view ends each pause at once.
	static long nextPause(long pause, GateReply last) {
		return last.targetFailed() ? UNREACHABLE_PAUSE_NANOS : Math.min(LONGEST_PAUSE_NANOS, pause * 2);
	}

}
