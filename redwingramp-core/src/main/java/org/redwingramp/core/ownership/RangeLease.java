package org.redwingramp.core.ownership;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The lease of one range, as tracked by the control leader. Invariants: at most one grant
 * or release call for the range is in flight, and a range that is being released is not
 * renewed. Not thread safe; changed only through the {@link LeaseTable}.
 */
public final class RangeLease {

	private final String service;

	private final OwnedRange range;

	private Phase phase;

	private Optional<String> handover = Optional.empty();

	private long assignedNanos;

	private long lastSentNanos;

	private long endNanos;

	private long previousEndNanos;

	private boolean callInFlight;

	// Whether a grant with this fence may have been sent, by this or a former leader.
	private boolean grantSent;

	// When the last grant that was sent as a call has certainly ended.
	private long callGrantEndNanos;

	// Until when a grant that was sent as a call may still arrive.
	private long grantArrivesUntilNanos;

	private long previousArrivesUntilNanos;

	private long releaseFence;

	private boolean grantConfirmed;

	private Optional<GrantOutcome> lastOutcome = Optional.empty();

	private boolean releaseRequested;

	private long releaseRequestedNanos;

	private long ownerlessSinceNanos;

	// Since when the keys have had no owner because a former one was told to release
	// them.
	private Optional<Long> movedSinceNanos = Optional.empty();

	// When the first grant was sent that hasn't been answered since.
	private Optional<Long> unansweredSinceNanos = Optional.empty();

	// The same, for grants with the present fence only.
	private Optional<Long> fenceUnansweredSinceNanos = Optional.empty();

	private int unreportedOffers;

	private int refusals;

	RangeLease(String service, OwnedRange range, Phase phase, long now, long endNanos) {
		this.service = service;
		this.range = range;
		this.phase = phase;
		this.assignedNanos = now;
		this.lastSentNanos = now;
		this.endNanos = endNanos;
		this.callGrantEndNanos = now;
		this.grantArrivesUntilNanos = now;
		this.ownerlessSinceNanos = now;
		this.grantConfirmed = phase == Phase.HELD;
		this.grantSent = phase == Phase.HELD;
	}

	// Merges the leases of one owner into one lease with a new fence. The owner continues
	// to serve the keys under the former fences if it confirmed all of them.
	static RangeLease mergedWithNewFence(List<RangeLease> parts, OwnedRange next) {
		RangeLease first = parts.get(0);
		RangeLease lease = new RangeLease(first.service, next, Phase.GRANT_PENDING, first.lastSentNanos,
				first.endNanos);
		lease.assignedNanos = first.assignedNanos;
		lease.grantConfirmed = true;
		parts.forEach((part) -> {
			lease.lastSentNanos = Math.min(lease.lastSentNanos, part.lastSentNanos);
			lease.endNanos = Math.max(lease.endNanos, part.endNanos);
			lease.assignedNanos = Math.max(lease.assignedNanos, part.assignedNanos);
			lease.callGrantEndNanos = Math.max(lease.callGrantEndNanos, part.callGrantEndNanos);
			lease.grantArrivesUntilNanos = Math.max(lease.grantArrivesUntilNanos, part.grantArrivesUntilNanos);
			lease.grantConfirmed &= part.serving();
			lease.refusals = Math.max(lease.refusals, part.refusals);
			lease.movedSinceNanos = earlier(lease.movedSinceNanos, part.releasedSinceNanos());
			lease.unansweredSinceNanos = earlier(lease.unansweredSinceNanos, part.unansweredSinceNanos);
			if (part.releaseRequested) {
				lease.requestRelease(part.releaseRequestedNanos);
			}
		});
		return lease;
	}

	RangeLease part(KeyRange keys) {
		RangeLease part = new RangeLease(this.service, this.range.with(keys), this.phase, this.lastSentNanos,
				this.endNanos);
		part.grantConfirmed = this.grantConfirmed;
		part.lastOutcome = this.lastOutcome;
		part.grantSent = this.grantSent;
		part.callGrantEndNanos = this.callGrantEndNanos;
		part.grantArrivesUntilNanos = this.grantArrivesUntilNanos;
		part.refusals = this.refusals;
		part.movedSinceNanos = this.movedSinceNanos;
		part.unansweredSinceNanos = this.unansweredSinceNanos;
		part.fenceUnansweredSinceNanos = this.fenceUnansweredSinceNanos;
		part.assignedNanos = this.assignedNanos;
		part.releaseRequested = this.releaseRequested;
		part.releaseRequestedNanos = this.releaseRequestedNanos;
		part.handover = this.handover;
		return part;
	}

	private static Optional<Long> earlier(Optional<Long> left, Optional<Long> right) {
		return Stream.of(left, right).flatMap(Optional::stream).min(Long::compare);
	}

	/**
	 * Returns the name of the service.
	 * @return the service's name
	 */
	public String service() {
		return this.service;
	}

	/**
	 * Returns the range with its owner and fence.
	 * @return the range
	 */
	public OwnedRange range() {
		return this.range;
	}

	/**
	 * Returns the phase of the lease.
	 * @return the phase
	 */
	public Phase phase() {
		return this.phase;
	}

	/**
	 * Returns the handover token that the previous owner issued when it released the
	 * range. With the token the new owner serves the range without a warm-up.
	 * @return the token, or empty if the previous owner issued none
	 */
	public Optional<String> handover() {
		return this.handover;
	}

	/**
	 * Returns the time after which the owner is certain not to hold the range, unless the
	 * lease is renewed.
	 * @return the monotonic time in nanoseconds
	 */
	public long endNanos() {
		return this.endNanos;
	}

	/**
	 * Returns whether a grant or release call for this range is in flight.
	 * @return whether a call is in flight
	 */
	public boolean callInFlight() {
		return this.callInFlight;
	}

	/**
	 * Returns whether the owner has confirmed a grant and the range is not being
	 * released, so that requests may be sent to the owner.
	 * @return whether requests may be sent to the owner
	 */
	public boolean serving() {
		return granted() && this.grantConfirmed;
	}

	/**
	 * Returns whether the range is granted to its owner and not being released.
	 * @return whether the lease is to be renewed
	 */
	public boolean granted() {
		return this.phase == Phase.HELD || this.phase == Phase.GRANT_PENDING;
	}

	/**
	 * Returns the outcome of the last grant that was sent with the present fence.
	 * @return the outcome, or empty if this leader hasn't learned of any
	 */
	public Optional<GrantOutcome> lastOutcome() {
		return this.lastOutcome;
	}

	/**
	 * Returns the time at which the first grant was sent after the owner's last answer.
	 * It may apply this and the later ones, but also earlier ones without an answer.
	 * @return the monotonic time in nanoseconds, or empty if the last grant was answered
	 */
	public Optional<Long> unansweredSinceNanos() {
		return this.unansweredSinceNanos;
	}

	/**
	 * Returns whether the owner may have refused all grants with the present fence for
	 * some time: it has answered none of them.
	 * @param now the monotonic time in nanoseconds
	 * @param nanos the duration in nanoseconds
	 * @return whether the first of the unanswered grants was sent that long ago
	 */
	public boolean unansweredFor(long nanos, long now) {
		return this.fenceUnansweredSinceNanos.filter((since) -> now - since >= nanos).isPresent();
	}

	/**
	 * Returns the time since which no owner has served the keys, because the present or a
	 * former one was told to release them. Has a meaning only while the lease isn't
	 * serving.
	 * @return the monotonic time in nanoseconds, or empty if none was told
	 */
	public Optional<Long> releasedSinceNanos() {
		boolean released = this.phase == Phase.RELEASING || this.phase == Phase.RELEASED;
		return released ? Optional.of(this.ownerlessSinceNanos) : this.movedSinceNanos;
	}

	/**
	 * Returns whether an owner that has seen a fence refuses every grant of this range
	 * that it may still apply late.
	 * @param fence the fence
	 * @return whether all grants of this lease and earlier ones have a lower fence
	 */
	public boolean lateGrantsRefusedAfter(long fence) {
		return (this.grantSent) ? fence > this.range.fence() : fence >= this.range.fence();
	}

	/**
	 * Returns whether a grant of these keys that was sent as a call may still arrive. An
	 * owner that starts again knows nothing of a release that it confirmed before, and
	 * takes the keys by such a grant.
	 * @param now the monotonic time in nanoseconds
	 * @return whether a grant of this or a former leader may be on its way
	 */
	public boolean grantMayArrive(long now) {
		return now <= this.grantArrivesUntilNanos;
	}

	/**
	 * Returns the fence that the owner is shown when it releases the range. Has a meaning
	 * only once a release was sent.
	 * @return the fence
	 */
	public long releaseFence() {
		return this.releaseFence;
	}

	/**
	 * Returns the number of times that the owner has refused a grant of these keys since
	 * it last confirmed one.
	 * @return the number of refusals
	 */
	public int refusals() {
		return this.refusals;
	}

	/**
	 * Returns whether the owner is to release the range, in the reply to one of its next
	 * heartbeats or once a higher fence is committed. Until then it continues to serve
	 * the range.
	 * @return whether a release was requested
	 */
	public boolean releaseRequested() {
		return this.releaseRequested;
	}

	/**
	 * Returns the time at which the release was requested. Has a meaning only while a
	 * release is requested.
	 * @return the monotonic time in nanoseconds
	 */
	public long releaseRequestedNanos() {
		return this.releaseRequestedNanos;
	}

	/**
	 * Returns the time since which the keys have had no owner that serves them. Has a
	 * meaning only while the lease isn't serving.
	 * @return the monotonic time in nanoseconds
	 */
	public long ownerlessSinceNanos() {
		return this.ownerlessSinceNanos;
	}

	/**
	 * Returns the number of consecutive heartbeats in which the owner didn't report the
	 * range although it was granted before.
	 * @return the number of heartbeats
	 */
	public int unreportedOffers() {
		return this.unreportedOffers;
	}

	/**
	 * Returns the time at which the owner was assigned the range.
	 * @return the monotonic time in nanoseconds
	 */
	public long assignedNanos() {
		return this.assignedNanos;
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

	// The former leader may have sent a grant as a call until this leader began.
	void callAdopted(long latestArrival) {
		this.grantArrivesUntilNanos = latestArrival;
		this.callGrantEndNanos = this.endNanos;
	}

	void grantCallSent(long now, long latestArrival, long end) {
		this.lastSentNanos = now;
		this.callInFlight = true;
		this.grantSent = true;
		this.previousEndNanos = this.endNanos;
		this.endNanos = Math.max(this.endNanos, end);
		this.callGrantEndNanos = this.endNanos;
		this.previousArrivesUntilNanos = this.grantArrivesUntilNanos;
		this.grantArrivesUntilNanos = Math.max(this.grantArrivesUntilNanos, latestArrival);
	}

	// Replaces the end that was assumed while the grant was on its way. A call that
	// returned without a reply was given up and doesn't arrive any more.
	void grantArrived(long end) {
		this.grantArrivesUntilNanos = this.previousArrivesUntilNanos;
		this.endNanos = Math.max(this.previousEndNanos, end);
		this.callGrantEndNanos = this.endNanos;
	}

	void releaseCallSent(long fence, long now) {
		this.ownerlessSinceNanos = (this.phase == Phase.RELEASING) ? this.ownerlessSinceNanos : now;
		this.lastSentNanos = now;
		this.callInFlight = true;
		this.releaseFence = fence;
		this.releaseRequested = false;
	}

	// The owner refuses any grant that it may still apply late.
	void releaseCallConfirmed(long now) {
		this.callGrantEndNanos = now;
		this.unansweredSinceNanos = Optional.empty();
	}

	long callGrantEndNanos() {
		return this.callGrantEndNanos;
	}

	long previousEndNanos() {
		return this.previousEndNanos;
	}

	void releaseSent(long now) {
		this.lastSentNanos = now;
		this.ownerlessSinceNanos = now;
		this.releaseRequested = false;
	}

	void requestRelease(long now) {
		this.releaseRequested = true;
		this.releaseRequestedNanos = now;
	}

	void ownerlessSince(long since) {
		this.ownerlessSinceNanos = since;
	}

	// A grant in the reply to a heartbeat. If the reply is lost, the owner answers
	// requests that it doesn't hold the keys, which is harmless, so the range counts as
	// served at once.
	void offered(long now, long end) {
		this.lastSentNanos = now;
		this.endNanos = Math.max(this.endNanos, end);
		this.grantConfirmed = true;
		this.grantSent = true;
		this.unreportedOffers++;
	}

	void reported() {
		this.unreportedOffers = 0;
		grantConfirmed();
	}

	void outcome(GrantOutcome outcome) {
		this.lastOutcome = Optional.of(outcome);
		if (outcome == GrantOutcome.UNKNOWN) {
			this.unansweredSinceNanos = this.unansweredSinceNanos.or(() -> Optional.of(this.lastSentNanos));
			this.fenceUnansweredSinceNanos = this.fenceUnansweredSinceNanos.or(() -> Optional.of(this.lastSentNanos));
		}
		else if (outcome.answeredByOwner()) {
			this.unansweredSinceNanos = Optional.empty();
			this.fenceUnansweredSinceNanos = Optional.empty();
		}
	}

	// The keys were taken from a former owner at the given time, if it isn't empty.
	void movedSince(Optional<Long> since) {
		this.movedSinceNanos = earlier(this.movedSinceNanos, since);
	}

	// Returns the time since which the keys had no owner, once for each move.
	Optional<Long> takeMovedSince() {
		Optional<Long> since = this.movedSinceNanos;
		this.movedSinceNanos = Optional.empty();
		return since;
	}

	void callReturned() {
		this.callInFlight = false;
	}

	void grantConfirmed() {
		this.grantConfirmed = true;
		this.refusals = 0;
		this.handover = Optional.empty();
		this.phase = (this.phase == Phase.GRANT_PENDING) ? Phase.HELD : this.phase;
	}

	void grantRefused() {
		this.phase = Phase.REFUSED;
		this.refusals++;
	}

	/** The phase of a lease. */
	public enum Phase {

		/** The range is assigned, but the owner has not confirmed the grant. */
		GRANT_PENDING,

		/**
		 * The owner has confirmed a grant, or the lease was adopted from a previous
		 * leader.
		 */
		HELD,

		/** A release is being sent, or was sent, and the owner has not confirmed it. */
		RELEASING,

		/** The owner has confirmed that it no longer holds any key of the range. */
		RELEASED,

		/**
		 * The owner has seen a higher fence; the range needs a higher one to be granted.
		 */
		REFUSED

	}

}
