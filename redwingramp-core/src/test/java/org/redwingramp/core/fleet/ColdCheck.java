package org.redwingramp.core.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Fails at the first request by which a cold target got more of them in one second than
 * the users' rule FAILBACK allows. A request counts if it was sent and arrived within
 * that second and its sender had a reason to treat the target as cold. Not thread safe.
 */
final class ColdCheck {

	/** The requests that a cold target may get in one second. */
	static final double ALLOWED = ColdFleet.COLD_PER_SECOND * 1.5 + 5;

	private static final long SECOND = 1000 * SimulatedTime.MS;

	private final Map<String, Deque<Long>> sentNanosByTarget = new HashMap<>();

	// All requests, also those that don't count.
	private final Map<String, Integer> arrivals = new HashMap<>();

	private int excused;

	private int most;

	// Called when a request arrives at a cold target.
	void arrived(String target, long sentNanos, boolean isExcused, long now) {
		this.arrivals.merge(target, 1, Integer::sum);
		if (isExcused) {
			this.excused++;
			return;
		}
		Deque<Long> sent = this.sentNanosByTarget.computeIfAbsent(target, (name) -> new ArrayDeque<>());
		sent.removeIf((earlier) -> earlier <= now - SECOND);
		sent.add(sentNanos);
		this.most = Math.max(this.most, sent.size());
		if (sent.size() > ALLOWED) {
			throw new AssertionError("cold target " + target + " got " + sent.size() + " requests in the second before "
					+ now / SimulatedTime.MS + "; allowed " + ALLOWED);
		}
	}

	// Returns how many requests a target got while it was cold.
	int arrivals(String target) {
		return this.arrivals.getOrDefault(target, 0);
	}

	int excused() {
		return this.excused;
	}

	// Returns the most counted requests in a second.
	int most() {
		return this.most;
	}

}
