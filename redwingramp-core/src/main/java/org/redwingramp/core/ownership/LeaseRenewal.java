package org.redwingramp.core.ownership;

import java.util.List;
import java.util.Optional;

/**
 * All key ranges that a target is to hold, as the reply to its heartbeat lists them.
 * Immutable and thread safe.
 *
 * @param ranges the ranges in key order
 * @param holdMillis how long the target may hold them, counted from when it sent the
 * heartbeat
 */
public record LeaseRenewal(List<GrantedRange> ranges, long holdMillis) {

	/**
	 * Creates a renewal.
	 */
	public LeaseRenewal {
		ranges = List.copyOf(ranges);
	}

	/**
	 * A range that a target is to hold.
	 *
	 * @param keys the keys
	 * @param fence the fencing token
	 * @param handover the handover token of the previous owner, if there is one
	 */
	public record GrantedRange(KeyRange keys, long fence, Optional<String> handover) {

		/**
		 * Returns whether another range continues this one, so that one range can
		 * describe both.
		 * @param next the other range
		 * @return whether it begins after this range and has the same fence
		 */
		public boolean continuedBy(GrantedRange next) {
			return this.keys.last() + 1 == next.keys().first() && this.fence == next.fence() && this.handover.isEmpty()
					&& next.handover().isEmpty();
		}

		/**
		 * Returns this range together with one that continues it.
		 * @param next the range that continues this one
		 * @return the joined range
		 */
		public GrantedRange extendedBy(GrantedRange next) {
			return new GrantedRange(new KeyRange(this.keys.first(), next.keys().last()), this.fence, this.handover);
		}

	}

}
