package org.redwingramp.core.dispatch;

/**
 * What is known of the time for which one incarnation of a target is cold, that is,
 * warming up: until when, by whose word, and since when. Invariants: an assumption never
 * replaces a statement; once the target may have started again, only its own word or
 * contact with it ends the doubt. Reads no clock. Not thread safe.
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

	/**
	 * Creates a cold period of which nothing is known; the target counts as warm.
	 * @param now the monotonic time in nanoseconds
	 */
	public ColdPeriod(long now) {
		this.untilNanos = now;
		this.sinceNanos = now;
	}

	/**
	 * Records the remaining time that the control leader states. It replaces what was
	 * known before, unless the target may have started again since the leader heard of
	 * it. It doesn't shorten what the target has named since then, since the heartbeat on
	 * which the statement rests may be older.
	 * @param leftMillis the time in milliseconds, 0 if the target is warm
	 * @param now the monotonic time in nanoseconds
	 */
	public void stated(long leftMillis, long now) {
		boolean older = this.source == Source.NAMED && now - this.sinceNanos < MAX_HEARTBEAT_AGE_NANOS
				&& now + leftMillis * NANOS_PER_MILLI - this.untilNanos < 0;
		if (this.source != Source.SUSPECTED && !older) {
			set(Source.STATED, leftMillis, now);
		}
	}

	/**
	 * Records the remaining time that the control leader assumes because it has received
	 * no heartbeat of the target. What an earlier leader or the target stated stays.
	 * @param leftMillis the time in milliseconds
	 * @param now the monotonic time in nanoseconds
	 */
	public void assumed(long leftMillis, long now) {
		if (this.source == Source.NONE || this.source == Source.ASSUMED) {
			set(Source.ASSUMED, leftMillis, now);
		}
	}

	/**
	 * Forgets what was known, so that the next assumption holds. That the target may have
	 * started again isn't forgotten.
	 */
	public void forget() {
		if (this.source != Source.SUSPECTED) {
			this.source = Source.NONE;
		}
	}

	/**
	 * Records that the target may have started again, so that what was known of its cold
	 * period no longer holds. It counts as cold until {@link #contacted} or
	 * {@link #answered}.
	 * @param now the monotonic time in nanoseconds
	 */
	public void suspected(long now) {
		this.source = Source.SUSPECTED;
		this.untilNanos = now;
		this.sinceNanos = now;
	}

	/**
	 * Records that the target responded to a request. One that may have started again has
	 * done so before this.
	 * @param sentNanos when the request was sent; a response to an earlier one may come
	 * from the former incarnation
	 * @param maxMillis the longest time for which a target is cold after its start
	 * @param now the monotonic time in nanoseconds
	 */
	public void contacted(long sentNanos, long maxMillis, long now) {
		if (this.source == Source.SUSPECTED && sentNanos - this.sinceNanos >= 0) {
			set(Source.ASSUMED, maxMillis, now);
		}
	}

	/**
	 * Records the remaining time that the target names when it is asked. It replaces what
	 * was assumed; what was stated or named before is only extended.
	 * @param askedNanos when the target was asked
	 * @param leftMillis the time in milliseconds, 0 if the target is warm
	 * @param now the monotonic time in nanoseconds
	 */
	public void answered(long askedNanos, long leftMillis, long now) {
		boolean suspected = this.source == Source.SUSPECTED && askedNanos - this.sinceNanos >= 0;
		if (suspected || this.source == Source.ASSUMED) {
			set(Source.NAMED, leftMillis, now);
		}
		else {
			named(leftMillis, now);
		}
	}

	/**
	 * Records the remaining time that the target itself names in a response. It doesn't
	 * shorten the period, since responses arrive in another order than they were sent.
	 * @param leftMillis the time in milliseconds
	 * @param now the monotonic time in nanoseconds
	 */
	public void named(long leftMillis, long now) {
		if (this.source != Source.SUSPECTED && now + leftMillis * NANOS_PER_MILLI - this.untilNanos > 0) {
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
		return suspected() || now - this.untilNanos < 0;
	}

	/**
	 * Returns whether the target may have started again and hasn't been heard of since.
	 * @return whether this is so
	 */
	public boolean suspected() {
		return this.source == Source.SUSPECTED;
	}

	/**
	 * Returns the time for which the target is still cold.
	 * @param now the monotonic time in nanoseconds
	 * @return the time in milliseconds, 0 if it is warm or may have started again
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

		/** The control leader or this instance assumes it, since neither knows better. */
		ASSUMED,

		/** The target may have started again, and nothing is known since. */
		SUSPECTED,

		/** The target named it in a response. */
		NAMED

	}

}
