package org.redwingramp.node.entry;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.redwingramp.core.fleet.LagReason;

/**
 * Records why and since when an entry instance doesn't follow the leader although it
 * hears it, and what follows from that for its callers. Invariant: while it doesn't
 * follow and another instance does, requests are refused before the platform requires a
 * change to be in force; while no instance follows, they are served by the last state
 * that could be applied. Reads no clock. Not thread safe.
 */
final class ViewLag {

	/**
	 * A leader that wasn't heard for this long doesn't count as heard. Without a leader
	 * there is nothing to follow.
	 */
	private static final long LEADER_LOST_NANOS = TimeUnit.SECONDS.toNanos(3);

	private final Map<LagReason, Long> since = new EnumMap<>(LagReason.class);

	private boolean followedByAny = true;

	// Records the beginning of a lag, unless it has begun before.
	void began(LagReason reason, long now) {
		this.since.putIfAbsent(reason, now);
	}

	void ended(LagReason reason) {
		this.since.remove(reason);
	}

	// Records that a leader is heard on a link on which it owes a view.
	void viewOwed(long formerContactAgeNanos, long now) {
		if (formerContactAgeNanos > LEADER_LOST_NANOS) {
			ended(LagReason.VIEW_MISSING);
		}
		began(LagReason.VIEW_MISSING, now);
	}

	// Records whether any entry instance follows, as the leader says.
	void followedByAny(boolean any) {
		this.followedByAny = any;
	}

	// Returns why the instance doesn't follow at present, if it doesn't.
	Optional<LagReason> reason(long contactAgeNanos, long now) {
		return this.since.entrySet()
			.stream()
			.filter((entry) -> counts(entry.getKey(), contactAgeNanos)
					&& now - entry.getValue() >= entry.getKey().notReadyAfterNanos())
			.map(Map.Entry::getKey)
			.findFirst();
	}

	// Returns the time since the oldest lag began.
	long ageMillis(long now) {
		return this.since.values()
			.stream()
			.mapToLong((begin) -> TimeUnit.NANOSECONDS.toMillis(now - begin))
			.max()
			.orElse(0);
	}

	// Returns whether callers should use other entry instances.
	boolean yieldsToOthers(long contactAgeNanos, long now) {
		return this.followedByAny && reason(contactAgeNanos, now).isPresent();
	}

	// Returns whether requests are refused.
	boolean refuses(long contactAgeNanos, long now) {
		return this.followedByAny && this.since.entrySet()
			.stream()
			.anyMatch((entry) -> counts(entry.getKey(), contactAgeNanos)
					&& now - entry.getValue() >= entry.getKey().refusedAfterNanos());
	}

	private static boolean counts(LagReason reason, long contactAgeNanos) {
		return !reason.requiresLeader() || contactAgeNanos <= LEADER_LOST_NANOS;
	}

}
