package org.redwingramp.core.dispatch;

/**
 * What is known of the time for which one incarnation of a target is cold, that is,
 * warming up: until when, by whose word, and since when. Invariants: an assumption
 * replaces a statement only if it rests on a later record; a leader never shortens what
 * an earlier one stated. Reads no clock. Not thread safe.
 */
public final class ColdPeriod {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Age of a heartbeat up to which a leader may still state what it says. A target that
	 * isn't heard of for longer is lost.
	 */
	private static final long MAX_HEARTBEAT_AGE_NANOS = 6_000_000_000L;

	private Source source = Source.NONE;

	private long untilNanos;

	private long sinceNanos;

	// The term of the leader that made the last statement.
	private long term;

	// The end that leaders of earlier terms stated.
	private long formerUntilNanos;

	/**
	 * Creates a cold period of which nothing is known; the target counts as warm.
	 * @param now the monotonic time in nanoseconds
	 */
	public ColdPeriod(long now) {
		this.untilNanos = now;
		this.sinceNanos = now;
		this.formerUntilNanos = now;
	}

	/**
	 * Records what a view of the control leader contains of the incarnation.
	 * @param leftMillis the remaining time in milliseconds, 0 if the target is warm
	 * @param assumed whether the leader assumes it because it has received no heartbeat
	 * @param recorded whether it assumes that the target is cold because an earlier
	 * leader has recorded it
	 * @param returns whether the target returns to service with this view
	 * @param viewTerm the term of the leader
	 * @param now the monotonic time in nanoseconds
	 */
	public void viewed(long leftMillis, boolean assumed, boolean recorded, boolean returns, long viewTerm, long now) {
		if (!assumed) {
			stated(leftMillis, viewTerm, now);
			return;
		}
		// While it got no requests, it may have become cold. A record that it is cold is
		// usually later than the statement that it is warm; if it isn't, the target is
		// limited until its next heartbeat.
		if (returns || (recorded && !cold(now))) {
			forget();
		}
		assumed(leftMillis, now);
	}

	// Within a term, the leader knows which heartbeat is the latest. A later leader may
	// have received one that was sent before those that the earlier one received, and the
	// target may have named its cold period after it was sent.
	private void stated(long leftMillis, long viewTerm, long now) {
		if (this.term != viewTerm) {
			this.formerUntilNanos = (this.source == Source.STATED) ? this.untilNanos : now;
			this.term = viewTerm;
		}
		long left = Math.max(leftMillis, (this.formerUntilNanos - now) / NANOS_PER_MILLI);
		boolean olderThanNamed = this.source == Source.NAMED && now - this.sinceNanos < MAX_HEARTBEAT_AGE_NANOS
				&& now + left * NANOS_PER_MILLI - this.untilNanos < 0;
		if (!olderThanNamed) {
			set(Source.STATED, left, now);
		}
	}

	// What an earlier leader or the target stated stays.
	private void assumed(long leftMillis, long now) {
		if (this.source == Source.NONE || this.source == Source.ASSUMED) {
			set(Source.ASSUMED, leftMillis, now);
		}
	}

	/** Forgets what was known, so that the next assumption holds. */
	public void forget() {
		this.source = Source.NONE;
	}

	/**
	 * Records the remaining time that the target itself names in a response. It doesn't
	 * shorten the period, since responses arrive in another order than they were sent.
	 * @param leftMillis the time in milliseconds
	 * @param now the monotonic time in nanoseconds
	 */
	public void named(long leftMillis, long now) {
		if (now + leftMillis * NANOS_PER_MILLI - this.untilNanos > 0) {
			set(Source.NAMED, leftMillis, now);
		}
	}

	private void set(Source next, long leftMillis, long now) {
		this.source = next;
		this.untilNanos = now + leftMillis * NANOS_PER_MILLI;
		this.sinceNanos = now;
	}

	/**
	 * Returns whether the target is cold.
	 * @param now the monotonic time in nanoseconds
	 * @return whether it is cold
	 */
	public boolean cold(long now) {
		return now - this.untilNanos < 0;
	}

	/**
	 * Returns the time for which the target is still cold.
	 * @param now the monotonic time in nanoseconds
	 * @return the time in milliseconds, 0 if it is warm
	 */
	public long leftMillis(long now) {
		return Math.max(0, (this.untilNanos - now) / NANOS_PER_MILLI);
	}

	/**
	 * Returns by whose word the period is known.
	 * @return the source
	 */
	public Source source() {
		return this.source;
	}

	/**
	 * Returns the age of what is known.
	 * @param now the monotonic time in nanoseconds
	 * @return the time in milliseconds since it was recorded
	 */
	public long ageMillis(long now) {
		return (now - this.sinceNanos) / NANOS_PER_MILLI;
	}

	/**
	 * By whose word a cold period is known. The constant names are written to the log.
	 */
	public enum Source {

		/** Nothing is known. */
		NONE,

		/** The control leader stated it in a view. */
		STATED,

		/** The control leader assumes it, since it has received no heartbeat. */
		ASSUMED,

		/** The target named it in a response. */
		NAMED

	}

}
