package org.redwingramp.core.routing;

import java.util.List;

import org.redwingramp.core.model.RequestClass;

/**
 * Admission for one target at its gate: limit, queue, ramp and speed. Deterministic;
 * reads no clock and does no I/O. Not thread safe; one thread owns it or a lock guards
 * it.
 *
 * <p>
 * Invariant: the number of started and not finished requests never exceeds the current
 * limit at the moment of a start, and the limit never exceeds the target's slots.
 */
public interface TargetGate {

	/**
	 * Offers a request.
	 * @param request the request
	 * @param now the monotonic time in nanoseconds
	 * @return what to do, for this and other requests
	 */
	List<GateEffect> offer(GateRequest request, long now);

	/**
	 * Reports that a started request no longer occupies a slot.
	 * @param id the request
	 * @param result how it ended
	 * @param now the monotonic time in nanoseconds
	 * @return what to do for other requests
	 */
	List<GateEffect> finished(long id, GateResult result, long now);

	/**
	 * Removes a request that still waits. Has no effect on a started one.
	 * @param id the request
	 * @param now the monotonic time in nanoseconds
	 * @return what to do for other requests
	 */
	List<GateEffect> cancel(long id, long now);

	/**
	 * Opens or closes the gate. While it is closed nothing starts and requests wait.
	 * @param open whether requests may start
	 * @param now the monotonic time in nanoseconds
	 * @return what to do for waiting requests
	 */
	List<GateEffect> open(boolean open, long now);

	/**
	 * Starts the ramp again, after a new run of the target, a change of gate or a sudden
	 * loss.
	 * @param now the monotonic time in nanoseconds
	 */
	void cold(long now);

	/**
	 * Refuses the requests whose deadline can no longer be met.
	 * @param now the monotonic time in nanoseconds
	 * @return what to do
	 */
	List<GateEffect> tick(long now);

	/**
	 * Returns the current figures.
	 * @param now the monotonic time in nanoseconds
	 * @return the figures
	 */
	GateStatus status(long now);

	/**
	 * A request that asks for a slot. Immutable.
	 *
	 * @param id identifies the request at this gate
	 * @param requestClass the request's class
	 * @param deadline the monotonic time in nanoseconds by which the answer must be there
	 */
	record GateRequest(long id, RequestClass requestClass, long deadline) {
	}

	/** What to do with a request. All implementations are immutable records. */
	sealed interface GateEffect {

		/**
		 * Returns the request.
		 * @return its identifier
		 */
		long id();

		/**
		 * Send the request; it occupies a slot until it is finished.
		 *
		 * @param id the request
		 */
		record Start(long id) implements GateEffect {
		}

		/**
		 * Refuse the request as not run.
		 *
		 * @param id the request
		 * @param reason why
		 */
		record Refuse(long id, Refusal reason) implements GateEffect {
		}

	}

	/** Why a gate refuses a request. */
	enum Refusal {

		/** The queue is full. */
		QUEUE_FULL,

		/** The answer can't be there before the deadline. */
		DEADLINE,

		/** The request gave way to one that can't wait. */
		DISPLACED

	}

	/** How a request ended. */
	enum GateResult {

		/** The target answered. */
		ANSWERED(true),

		/** The target answered that it is overloaded or failed (a 5xx status). */
		FAILED(false),

		/** No answer before the deadline, or the connection broke. */
		LOST(false),

		/** The caller went away; says nothing about the target. */
		CANCELLED(true),

		/** The request was never sent; says nothing about the target. */
		NOT_SENT(true);

		private final boolean healthy;

		GateResult(boolean healthy) {
			this.healthy = healthy;
		}

		/**
		 * Returns whether the result says nothing against the target.
		 * @return whether it doesn't count as a failure
		 */
		public boolean healthy() {
			return this.healthy;
		}

	}

	/**
	 * The figures of a gate. Immutable.
	 *
	 * @param slots the target's slots
	 * @param limit the current limit
	 * @param inFlight the started requests
	 * @param waiting the waiting requests
	 * @param warm whether the ramp is over
	 * @param serviceNanos the smoothed service time in nanoseconds, 0 if unknown
	 */
	record GateStatus(int slots, int limit, int inFlight, int waiting, boolean warm, long serviceNanos) {
	}

}
