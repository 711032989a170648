package org.redwingramp.core.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.redwingramp.core.fleet.FleetTarget.Stage;

/**
 * Health of one incarnation of a target, as the control leader observes it: heartbeats,
 * replies to calls, and the responses that entry instances report. Not thread safe.
 */
final class TargetHealth {

	/**
	 * A target is lost if no heartbeat, reply or response has been received from it for
	 * this long. Four times the longest heartbeat interval in use, 1.5 s.
	 */
	static final long LOST_AFTER_NANOS = 6_000_000_000L;

	/**
	 * Minimum time for which a target counts as cold if this leader has received no
	 * heartbeat of it. A target without one is lost by then, unless something else shows
	 * that it runs.
	 */
	static final long MIN_ASSUMED_COLD_NANOS = LOST_AFTER_NANOS;

	/**
	 * Maximum time from the sending of a heartbeat until it is received: targets give up
	 * a call after one second.
	 */
	static final long MAX_HEARTBEAT_DELAY_NANOS = 1_000_000_000L;

	/**
	 * Maximum age of the last response that an entry instance reported of the target, for
	 * it to be used as a relay of calls.
	 */
	static final long RELAY_MAX_AGE_NANOS = 1_500_000_000L;

	/**
	 * Time for which a target gets no keys after it refused several fences in a row. Long
	 * in comparison with a lease, since keys are moved to it again afterwards.
	 */
	static final long REFUSAL_PAUSE_NANOS = 60_000_000_000L;

	/**
	 * Weight of one report of an entry instance in the exponential moving average of the
	 * slowness. With eight instances that report four times per second, the average
	 * follows a change within about a second.
	 */
	private static final double SLOWNESS_WEIGHT = 0.03;

	/** Initial estimate of the interval between heartbeats. */
	private static final long INITIAL_INTERVAL_NANOS = 900_000_000L;

	/**
	 * Shorter intervals don't count for the estimate: a target that releases keys sends
	 * its next heartbeat early.
	 */
	private static final long MIN_INTERVAL_NANOS = 300_000_000L;

	private static final double INTERVAL_WEIGHT = 0.3;

	private static final double MIN_SLOWNESS = 0.4;

	private static final double MAX_SLOWNESS = 6;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final long born;

	// When this leader first heard of the incarnation; empty if an earlier leader did.
	private final OptionalLong joinedNanos;

	private final Map<String, Long> lastResponseByEntry = new HashMap<>();

	private long lastSequence = Long.MIN_VALUE;

	// The number of the last heartbeat that an earlier leader recorded.
	private long recordedSequence;

	private long lastHeartbeatNanos;

	private double intervalNanos = INITIAL_INTERVAL_NANOS;

	private long lastResponseNanos;

	private long lastReplyNanos;

	private long firstUnansweredNanos;

	private boolean lastCallUnanswered;

	private long coldUntilNanos;

	// The end of the cold period when it last counted as moved.
	private long notedColdUntilNanos;

	// Whether no heartbeat says yet until when the target is cold.
	private boolean coldAssumed = true;

	// Whether it is assumed to be warm until a heartbeat says until when it is cold.
	private boolean warmAssumed;

	// When the failure domain of the target returned to service, if it did in this term.
	private OptionalLong domainReturnedNanos = OptionalLong.empty();

	// The end of the cold period that follows from that.
	private long domainReturnColdUntilNanos;

	private long refusesUntilNanos;

	// The stage that was recorded last, empty for an incarnation that isn't recorded.
	private Optional<Stage> recordedStage = Optional.empty();

	private double slowness = 1;

	// Returns the health of an incarnation that an earlier leader recorded. It is assumed
	// to be warm if that is the last that was recorded of it.
	static TargetHealth adopted(FleetTarget target, long now) {
		TargetHealth health = new TargetHealth(target.born(), OptionalLong.empty(), now);
		health.recordedSequence = target.warmthSequence();
		health.recordedStage = Optional.of(target.stage());
		if (target.warm()) {
			health.warmAssumed = true;
			health.coldUntilNanos = now;
			health.notedColdUntilNanos = now;
		}
		return health;
	}

	// Returns the health of an incarnation that this leader hears of for the first time.
	static TargetHealth joined(long born, long now) {
		return new TargetHealth(born, OptionalLong.of(now), now);
	}

	// Records the first heartbeat of an incarnation that no leader has recorded. Without
	// an
	// earlier one, nothing shows that it was sent after the last return of the domain.
	void recordFirstHeartbeat(long sequence, long coldLeftNanos, long now) {
		recordHeartbeat(sequence, coldLeftNanos, now);
		this.coldUntilNanos = Math.max(this.domainReturnColdUntilNanos, now + coldLeftNanos);
	}

	private TargetHealth(long born, OptionalLong joinedNanos, long now) {
		this.born = born;
		this.joinedNanos = joinedNanos;
		this.lastHeartbeatNanos = now;
		this.lastResponseNanos = now - LOST_AFTER_NANOS;
		this.lastReplyNanos = now - LOST_AFTER_NANOS;
		this.coldUntilNanos = now + MIN_ASSUMED_COLD_NANOS;
		this.notedColdUntilNanos = this.coldUntilNanos;
		this.domainReturnColdUntilNanos = now;
		this.refusesUntilNanos = now;
	}

	long born() {
		return this.born;
	}

	// Follows the record of the incarnation. Returns whether it is the first one or the
	// stage has changed.
	boolean recordStage(Stage stage) {
		boolean changed = !this.recordedStage.equals(Optional.of(stage));
		this.recordedStage = Optional.of(stage);
		return changed;
	}

	// Returns whether something observed at the given time concerns an earlier
	// incarnation.
	boolean joinedAfter(long observedNanos) {
		return this.joinedNanos.stream().anyMatch((joined) -> joined - observedNanos > 0);
	}

	// Returns false for a heartbeat that isn't newer than all received before.
	boolean recordHeartbeat(long sequence, long coldLeftNanos, long now) {
		if (sequence <= this.lastSequence || (this.recordedSequence > 0 && sequence <= this.recordedSequence)) {
			return false;
		}
		long interval = now - this.lastHeartbeatNanos;
		if (this.lastSequence != Long.MIN_VALUE && interval >= MIN_INTERVAL_NANOS) {
			double bounded = Math.min(interval, 2 * this.intervalNanos);
			this.intervalNanos += (bounded - this.intervalNanos) * INTERVAL_WEIGHT;
		}
		this.lastSequence = sequence;
		this.lastHeartbeatNanos = now;
		long statedUntilNanos = now + coldLeftNanos;
		this.coldUntilNanos = mayPrecedeReturn(now) ? Math.max(this.coldUntilNanos, statedUntilNanos)
				: statedUntilNanos;
		this.coldAssumed = false;
		return true;
	}

	// Returns whether a heartbeat that is received now may have been sent before the
	// failure domain returned to service, when the target wasn't cold yet.
	boolean mayPrecedeReturn(long now) {
		return this.domainReturnedNanos.stream().anyMatch((returned) -> now - returned < MAX_HEARTBEAT_DELAY_NANOS);
	}

	long lastHeartbeatNanos() {
		return this.lastHeartbeatNanos;
	}

	// Returns the expected time until the next heartbeat, negative if it is overdue.
	long nextHeartbeatInNanos(long now) {
		return this.lastHeartbeatNanos + (long) this.intervalNanos - now;
	}

	// Returns whether no later heartbeat has been received than the one with this number.
	boolean isLatest(long sequence) {
		return sequence == this.lastSequence;
	}

	// Assumes that the target, unless it was heard, became cold just before this leader
	// began to observe it.
	void assumeColdPeriod(long nanos) {
		if (this.coldAssumed && !this.warmAssumed) {
			this.coldUntilNanos = Math.max(this.coldUntilNanos, this.lastHeartbeatNanos + nanos);
		}
	}

	// Returns whether the target is known or assumed to be warm, and no heartbeat that
	// says so may be older than the return of its failure domain.
	boolean reliablyWarm(long now) {
		return !cold(now) && !mayPrecedeReturn(now);
	}

	// Records that the failure domain of the target has returned to service. The target
	// may have become cold before, so entry instances have to forget what they knew.
	void domainReturned(long coldNanos, long returnedNanos) {
		this.coldUntilNanos = Math.max(this.coldUntilNanos, returnedNanos + coldNanos);
		this.coldAssumed = false;
		this.domainReturnedNanos = OptionalLong.of(returnedNanos);
		this.domainReturnColdUntilNanos = returnedNanos + coldNanos;
	}

	void recordResponses(String entry, double expectedMillis, double elapsedMillis, long now) {
		this.lastResponseNanos = now;
		this.lastResponseByEntry.put(entry, now);
		if (expectedMillis > 0) {
			double ratio = Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, elapsedMillis / expectedMillis));
			this.slowness += (ratio - this.slowness) * SLOWNESS_WEIGHT;
		}
	}

	void recordCall(boolean answered, long now) {
		if (answered) {
			this.lastReplyNanos = now;
		}
		else if (!this.lastCallUnanswered) {
			this.firstUnansweredNanos = now;
		}
		this.lastCallUnanswered = !answered;
	}

	void recordRefusals(long now) {
		this.refusesUntilNanos = now + REFUSAL_PAUSE_NANOS;
	}

	// Returns whether the target refused several fences in a row a short time ago.
	boolean refusesKeys(long now) {
		return now < this.refusesUntilNanos;
	}

	boolean cold(long now) {
		return now < this.coldUntilNanos;
	}

	// Returns whether the end of the cold period has moved since this was last true, by
	// more than it varies while the period is the same.
	boolean coldEndMoved(long now) {
		long formerMillis = Math.max(this.notedColdUntilNanos, now) / NANOS_PER_MILLI;
		if (!ViewState.coldEndDiffers(formerMillis, Math.max(this.coldUntilNanos, now) / NANOS_PER_MILLI)) {
			return false;
		}
		this.notedColdUntilNanos = this.coldUntilNanos;
		return true;
	}

	// Returns whether the target counts as cold only because no heartbeat of it has been
	// received by this leader.
	boolean coldAssumed() {
		return this.coldAssumed;
	}

	// Returns whether it is assumed to be cold because an earlier leader recorded it.
	boolean coldRecorded() {
		return this.coldAssumed && !this.warmAssumed && this.recordedSequence > 0;
	}

	long coldLeftMillis(long now) {
		return Math.max(0, (this.coldUntilNanos - now) / NANOS_PER_MILLI);
	}

	// Returns the average ratio of the elapsed to the expected time of requests.
	double slowness() {
		return this.slowness;
	}

	boolean lost(long now) {
		return now - Math.max(this.lastHeartbeatNanos,
				Math.max(this.lastResponseNanos, this.lastReplyNanos)) > LOST_AFTER_NANOS;
	}

	// Returns whether calls are unanswered and neither a later heartbeat nor a recent
	// response shows that the target is running.
	boolean suspect(long now) {
		return this.lastCallUnanswered && this.lastHeartbeatNanos <= this.firstUnansweredNanos && relay(now).isEmpty();
	}

	// Returns whether calls may be sent without a relay: the last one was answered, or a
	// heartbeat was received after the first unanswered one.
	boolean directlyReachable() {
		return !this.lastCallUnanswered || this.lastHeartbeatNanos > this.firstUnansweredNanos;
	}

	// Returns the entry instance that most recently reported a response of the target.
	Optional<String> relay(long now) {
		return this.lastResponseByEntry.entrySet()
			.stream()
			.filter((entry) -> now - entry.getValue() < RELAY_MAX_AGE_NANOS)
			.max(Comparator.comparingLong(Map.Entry::getValue))
			.map(Map.Entry::getKey);
	}

}
