package org.redwingramp.core.ownership;

import java.util.List;
import java.util.Optional;

/**
 * What the control leader knows about the grant of one range. Invariants: at most one
 * call about the range is on its way; a range that is being released is not renewed. Not
 * thread safe; the {@link LeaseTable} owns it.
 */
public final class RangeLease {

	private final String service;

	private final OwnedRange range;

	private Phase phase;

	private Optional<String> handover = Optional.empty();

	private long sinceNanos;

	private long lastSentNanos;

	private long endNanos;

	private long endBeforeCallNanos;

	private long lateGrantUntilNanos;

	private boolean confirmFirst;

	private boolean callInFlight;

	private boolean answered;

	RangeLease(String service, OwnedRange range, Phase phase, long now, long endNanos) {
		this.service = service;
		this.range = range;
		this.phase = phase;
		this.sinceNanos = now;
		this.lastSentNanos = now;
		this.endNanos = endNanos;
		this.lateGrantUntilNanos = now;
		this.answered = phase == Phase.HELD;
	}

	// The ranges of one owner under a new fence, who goes on serving them.
	static RangeLease refenced(List<RangeLease> parts, OwnedRange next, long now) {
		RangeLease first = parts.get(0);
		RangeLease lease = new RangeLease(first.service, next, Phase.TO_GRANT, first.lastSentNanos, first.endNanos);
		lease.lateGrantUntilNanos = now;
		lease.sinceNanos = first.sinceNanos;
		lease.answered = first.answered;
		lease.confirmFirst = true;
		parts.forEach((part) -> {
			lease.lastSentNanos = Math.min(lease.lastSentNanos, part.lastSentNanos);
			lease.endNanos = Math.max(lease.endNanos, part.endNanos);
			lease.sinceNanos = Math.max(lease.sinceNanos, part.sinceNanos);
			lease.answered &= part.answered;
		});
		return lease;
	}

	RangeLease part(KeyRange keys) {
		RangeLease part = new RangeLease(this.service, this.range.with(keys), this.phase, this.lastSentNanos,
				this.endNanos);
		part.answered = this.answered;
		part.lateGrantUntilNanos = this.lateGrantUntilNanos;
		part.confirmFirst = this.confirmFirst;
		part.sinceNanos = this.sinceNanos;
		return part;
	}

	/**
	 * Returns the service.
	 * @return the service's name
	 */
	public String service() {
		return this.service;
	}

	/**
	 * Returns the range with owner and fence.
	 * @return the range
	 */
	public OwnedRange range() {
		return this.range;
	}

	/**
	 * Returns the phase.
	 * @return the phase
	 */
	public Phase phase() {
		return this.phase;
	}

	/**
	 * Returns the token of the former holder, which spares the new one the warm-up.
	 * @return the token, if there is one
	 */
	public Optional<String> handover() {
		return this.handover;
	}

	/**
	 * Returns when the owner certainly no longer holds the range unless it is renewed.
	 * @return the monotonic time in nanoseconds
	 */
	public long endNanos() {
		return this.endNanos;
	}

	/**
	 * Returns whether a call about this range is on its way.
	 * @return whether a call is on its way
	 */
	public boolean callInFlight() {
		return this.callInFlight;
	}

	/**
	 * Returns whether the owner has confirmed the grant, so that requests may be sent.
	 * @return whether requests may be sent to the owner
	 */
	public boolean serving() {
		return (this.phase == Phase.HELD || this.phase == Phase.TO_GRANT) && this.answered;
	}

	/**
	 * Returns whether a grant of this fence without an answer may still take effect. The
	 * range must not go to another owner before its present one has seen a higher fence.
	 * @param now the monotonic time in nanoseconds
	 * @return whether a late grant is possible
	 */
	public boolean lateGrantPossible(long now) {
		return now < this.lateGrantUntilNanos;
	}

	/**
	 * Returns whether the owner has to confirm the fence before it may be released.
	 * @return whether the grant has to be confirmed first
	 */
	public boolean confirmFirst() {
		return this.confirmFirst && this.phase == Phase.TO_GRANT;
	}

	void unanswered(long until) {
		this.lateGrantUntilNanos = until;
	}

	/**
	 * Returns since when the owner has the range.
	 * @return the monotonic time in nanoseconds
	 */
	public long sinceNanos() {
		return this.sinceNanos;
	}

	long lastSentNanos() {
		return this.lastSentNanos;
	}

	void handover(Optional<String> token) {
		this.handover = token;
	}

	void phase(Phase next) {
		this.phase = next;
	}

	void sent(long now, long end) {
		this.lastSentNanos = now;
		this.callInFlight = true;
		this.endBeforeCallNanos = this.endNanos;
		this.endNanos = Math.max(this.endNanos, end);
	}

	// The call never left, so it holds nothing.
	void notSent() {
		this.endNanos = this.endBeforeCallNanos;
	}

	void returned() {
		this.callInFlight = false;
	}

	void confirmed() {
		this.answered = true;
		this.handover = Optional.empty();
		this.phase = (this.phase == Phase.TO_GRANT) ? Phase.HELD : this.phase;
	}

	void refused() {
		this.phase = Phase.REFUSED;
	}

	/** The phases of a lease. */
	public enum Phase {

		/** Assigned, but the owner hasn't confirmed the grant. */
		TO_GRANT,

		/** The owner holds it. */
		HELD,

		/** The owner was told to stop, or is, and hasn't answered. */
		RELEASING,

		/** The owner answered that it holds nothing of the range any more. */
		RELEASED,

		/** The owner has seen a higher fence; the range needs a new one. */
		REFUSED

	}

}
