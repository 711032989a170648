package org.redwingramp.core.routing;

import java.util.List;

import org.redwingramp.core.model.RequestClass;

/**
 * Admission control for one target. All requests to the target pass its gate, which
 * starts them up to a concurrency limit, holds further requests in a bounded queue and
 * refuses those that can't be processed in time. The limit ramps up from 1 to the
 * target's slots while the target responds at its normal speed. Deterministic; reads no
 * clock and does no I/O. Not thread safe; it is confined to one thread or guarded by a
 * lock.
 *
 * <p>
 * Invariant: whenever a request starts, the number of requests in flight does not exceed
 * the current limit, and the limit never exceeds the target's slots.
 */
public interface TargetGate {

	/**
	 * Submits a request, which is started, queued or refused.
	 * @param request the request
	 * @param now the monotonic time in nanoseconds
	 * @return the actions for this and other requests, none for a request that is queued
	 */
	List<GateEffect> offer(GateRequest request, long now);

	/**
	 * Reports that a started request has ended and frees its slot.
	 * @param id the identifier of the request
	 * @param result how the request ended
	 * @param now the monotonic time in nanoseconds
	 * @return the actions for other requests
	 */
	List<GateEffect> finished(long id, GateResult result, long now);

	/**
	 * Removes a waiting request from the queue. Has no effect on a request that has
	 * started.
	 * @param id the identifier of the request
	 * @param now the monotonic time in nanoseconds
	 * @return the actions for other requests
	 */
	List<GateEffect> cancel(long id, long now);

	/**
	 * Opens or closes the gate. While the gate is closed, no request starts and new
	 * requests are queued.
	 * @param open whether requests may start
	 * @param now the monotonic time in nanoseconds
	 * @return the actions for waiting requests
	 */
	List<GateEffect> setOpen(boolean open, long now);

	/**
	 * Restarts the ramp, since the target may be cold: after a new incarnation of the
	 * target, a move of its gate, or a sudden loss of the target or its gate.
	 * @param now the monotonic time in nanoseconds
	 */
	void restartRamp(long now);

	/**
	 * Refuses the waiting requests whose deadline can no longer be met, then starts
	 * others if the limit permits.
	 * @param now the monotonic time in nanoseconds
	 * @return the actions for waiting requests
	 */
	List<GateEffect> tick(long now);

	/**
	 * Returns the current state and load of the gate.
	 * @param now the monotonic time in nanoseconds
	 * @return the status
	 */
	GateStatus status(long now);

	/**
	 * A request for a slot of the target. Immutable.
	 *
	 * @param id the identifier of the request, unique at this gate
	 * @param requestClass the request's class
	 * @param deadline the monotonic time in nanoseconds by which the response is required
	 */
	record GateRequest(long id, RequestClass requestClass, long deadline) {
	}

	/** An action that the caller must take. All implementations are immutable records. */
	sealed interface GateEffect {

		/**
		 * Returns the identifier of the request.
		 * @return the identifier
		 */
		long id();

		/**
		 * Send the request to the target. It occupies a slot until
		 * {@link TargetGate#finished} is called.
		 *
		 * @param id the identifier of the request
		 */
		record Start(long id) implements GateEffect {
		}

		/**
		 * Refuse the request. It was not run, since it was never sent to the target.
		 *
		 * @param id the identifier of the request
		 * @param reason the reason of the refusal
		 */
		record Refuse(long id, Refusal reason) implements GateEffect {
		}

	}

	/** The reason why a gate refuses a request. */
	enum Refusal {

		/** The queue is full. */
		QUEUE_FULL,

		/** The deadline has passed or is expected to be missed. */
		DEADLINE,

		/** A request of higher priority took its place in the full queue. */
		DISPLACED

	}

	/** How a request ended. */
	enum GateResult {

		/** The target responded with any status other than 5xx. */
		ANSWERED(true),

		/** The target responded that it is overloaded or has failed (a 5xx status). */
		FAILED(false),

		/** No response arrived before the deadline, or the connection was lost. */
		LOST(false),

		/** The caller cancelled the request. No evidence about the target. */
		CANCELLED(true),

		/** The request was never sent. No evidence about the target. */
		NOT_SENT(true);

		private final boolean healthy;

		GateResult(boolean healthy) {
			this.healthy = healthy;
		}

		/**
		 * Returns whether the result does not count as a failure of the target.
		 * @return {@code false} if the target failed or did not respond
		 */
		public boolean healthy() {
			return this.healthy;
		}

	}

	/**
	 * The state and load of a gate. Immutable.
	 *
	 * @param slots the target's slots
	 * @param limit the current concurrency limit
	 * @param inFlight the number of started requests that have not finished
	 * @param waiting the number of queued requests
	 * @param warm whether the ramp is complete
	 * @param serviceNanos the smoothed service time in nanoseconds, 0 if unknown
	 */
	record GateStatus(int slots, int limit, int inFlight, int waiting, boolean warm, long serviceNanos) {
	}

}
