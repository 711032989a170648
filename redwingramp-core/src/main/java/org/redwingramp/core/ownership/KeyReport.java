package org.redwingramp.core.ownership;

import java.util.List;

/**
 * The key ranges of a target as it reports them in a heartbeat. Immutable and thread
 * safe.
 *
 * @param held the ranges that the target holds or whose requests are still running
 * @param released the ranges that it has released since its last acknowledged heartbeat
 */
public record KeyReport(List<HeldRange> held, List<ReleasedRange> released) {

	/** The report of a target that holds no keys. */
	public static final KeyReport EMPTY = new KeyReport(List.of(), List.of());

	/**
	 * Creates a report.
	 */
	public KeyReport {
		held = List.copyOf(held);
		released = List.copyOf(released);
	}

	/**
	 * Returns whether the target holds a whole range under a fence.
	 * @param keys the range
	 * @param fence the fence
	 * @return whether reported ranges with this fence cover the range
	 */
	public boolean holds(KeyRange keys, long fence) {
		return covers(this.held.stream().filter((range) -> range.fence() == fence).map(HeldRange::keys).toList(), keys);
	}

	/**
	 * Returns whether the target has released a whole range and holds no key of it.
	 * @param keys the range
	 * @return whether the range is released
	 */
	public boolean releases(KeyRange keys) {
		return this.held.stream().noneMatch((range) -> range.keys().overlaps(keys))
				&& covers(this.released.stream().map(ReleasedRange::keys).toList(), keys);
	}

	private static boolean covers(List<KeyRange> parts, KeyRange keys) {
		int next = keys.first();
		for (KeyRange part : parts.stream()
			.sorted((left, right) -> Integer.compare(left.first(), right.first()))
			.toList()) {
			if (part.first() <= next && part.last() >= next) {
				next = part.last() + 1;
			}
		}
		return next > keys.last();
	}

	/**
	 * A range that a target holds.
	 *
	 * @param keys the keys
	 * @param fence the fence under which the target was granted them
	 */
	public record HeldRange(KeyRange keys, long fence) {
	}

	/**
	 * A range that a target has released.
	 *
	 * @param keys the keys
	 * @param handover the token with which the next owner serves them without a warm-up
	 */
	public record ReleasedRange(KeyRange keys, String handover) {
	}

}
