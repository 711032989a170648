package org.redwingramp.daemon.internal.gate;

import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;

import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.model.ShardId;
import org.redwingramp.core.routing.TargetGate.GateEffect;
import org.redwingramp.core.routing.TargetGate.GateResult;
import org.redwingramp.core.routing.TargetGate.GateStatus;
import org.redwingramp.daemon.internal.gate.GateRuntime.Ticket;
import org.redwingramp.daemon.internal.route.Problem;

/**
 * Serves requests at the gate of their target: records at-most-once requests in the
 * ledger, waits for a slot, sends the request and returns the response. Thread safe.
 *
 * <p>
 * Invariants: an at-most-once request is sent only after the ledger has started an
 * attempt, and once per attempt; a reply states "not run" only if no byte was written to
 * the target or the target reported that it did not run the request.
 */
public final class GateService {

	private static final String NOT_PERMITTED = "the gate lease, the grant lease or the view does not permit sending";

	private final GateRegistry gates;

	private final TargetClient targets;

	private final AtMostOnceExecutor atMostOnce;

	private final DispatchPermission permission;

	private final ShardLoadStatistics loads;

	private final LongSupplier clock;

	GateService(GateRegistry gates, TargetClient targets, AtMostOnceExecutor atMostOnce, DispatchPermission permission,
			ShardLoadStatistics loads, LongSupplier clock) {
		this.gates = gates;
		this.targets = targets;
		this.atMostOnce = atMostOnce;
		this.permission = permission;
		this.loads = loads;
		this.clock = clock;
	}

	/**
	 * Serves a request. Blocks until the request is answered, refused or past its
	 * deadline.
	 * @param request the request
	 * @param view the current view, which contains the target's address
	 * @param cancelled completed when the caller disconnects
	 * @return the reply
	 */
	public GateReply serve(GateRequest request, ControlView view, CompletableFuture<Void> cancelled) {
		Optional<GateRuntime> gate = this.gates.find(request.target(), request.gateEpoch());
		Optional<TargetState> target = view.target(request.target());
		if (gate.isEmpty() || target.isEmpty()) {
			return GateReply.refused(Problem.WRONG_GATE, "this instance is not the gate of target " + request.target()
					+ " under gate epoch " + request.gateEpoch());
		}
		this.loads.requestReceived(request.shard(), request.key());
		GateReply reply = serve(request, gate.get(), target.get(), cancelled);
		GateStatus status = gate.get().status();
		return reply.withTargetLoad(status.inFlight() + status.waiting());
	}

	// An at-most-once request is recorded in the ledger before it waits for a slot: a
	// slot held while the control group has no leader would block the other requests
	// to the target. If the queue is already full, nothing is recorded, so that overload
	// of a target does not load the control group.
	GateReply serve(GateRequest request, GateRuntime gate, TargetState target, CompletableFuture<Void> cancelled) {
		long deadline = this.clock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(request.remainingMillis());
		if (!sendPermitted(request)) {
			return GateReply.refused(Problem.WRONG_GATE, NOT_PERMITTED);
		}
		if (request.requestClass().recorded()) {
			if (gate.full()) {
				return GateReply.refused(Problem.QUEUE_FULL, "the queue of target " + request.target() + " is full");
			}
			return this.atMostOnce.execute(request, deadline,
					() -> admitAndSend(request, gate, target, deadline, cancelled));
		}
		return reply(admitAndSend(request, gate, target, deadline, cancelled));
	}

	private boolean sendPermitted(GateRequest request) {
		return this.permission.mayDispatch(request.target(), request.key(), request.shard(), request.fence());
	}

	private TargetCallResult admitAndSend(GateRequest request, GateRuntime gate, TargetState target, long deadline,
			CompletableFuture<Void> cancelled) {
		Ticket ticket = gate.offer(request.requestClass(), request.shard(), request.key(), deadline);
		Optional<GateReply> refusal = awaitStart(gate, ticket, deadline);
		if (refusal.isPresent()) {
			return new TargetCallResult.NotAdmitted(refusal.get());
		}
		Slot slot = new Slot(gate, ticket);
		try {
			return sendPermitted(request) ? send(request, target, deadline, slot, cancelled)
					: new TargetCallResult.NotSent(NOT_PERMITTED, false);
		}
		finally {
			slot.release(GateResult.NOT_SENT);
		}
	}

	private Optional<GateReply> awaitStart(GateRuntime gate, Ticket ticket, long deadline) {
		try {
			long timeout = Math.max(0, deadline - this.clock.getAsLong());
			GateEffect effect = ticket.decision().get(timeout, TimeUnit.NANOSECONDS);
			if (effect instanceof GateEffect.Refuse refuse) {
				gate.withdraw(ticket);
				return Optional.of(gate.retired()
						? GateReply.refused(Problem.WRONG_GATE, "the gate was closed before the request started")
						: refusal(refuse));
			}
			return Optional.empty();
		}
		catch (TimeoutException ex) {
			return giveUpWaiting(gate, ticket, "no slot was available before the deadline");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return giveUpWaiting(gate, ticket, "interrupted while waiting for a slot");
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException("gate decision completed exceptionally", ex);
		}
	}

	private Optional<GateReply> giveUpWaiting(GateRuntime gate, Ticket ticket, String detail) {
		if (ticket.decision().cancel(false)) {
			gate.withdraw(ticket);
		}
		else if (ticket.decision().join() instanceof GateEffect.Start) {
			gate.releaseSlot(ticket, GateResult.NOT_SENT);
		}
		else {
			gate.withdraw(ticket);
		}
		return Optional.of(GateReply.refused(Problem.DEADLINE_TOO_SHORT, detail));
	}

	private static GateReply refusal(GateEffect.Refuse refuse) {
		Problem problem = switch (refuse.reason()) {
			case QUEUE_FULL -> Problem.QUEUE_FULL;
			case DEADLINE -> Problem.DEADLINE_TOO_SHORT;
			case DISPLACED -> Problem.DISPLACED;
		};
		return GateReply.refused(problem, "the gate refused the request: " + problem.title());
	}

	private TargetCallResult send(GateRequest request, TargetState target, long deadline, Slot slot,
			CompletableFuture<Void> cancelled) {
		ShardId shard = request.shard().service().isEmpty() ? null : request.shard();
		TargetCall call = new TargetCall(request.target(), target.spec().address(), request.method(), request.path(),
				request.headers(), request.body(), request.identity(), shard, request.fence(), request.gateEpoch(),
				deadline, () -> sendPermitted(request));
		CompletableFuture<TargetCallResult> future = this.targets.send(call);
		cancelled.thenRun(() -> future.cancel(true));
		if (request.requestClass().retryable()) {
			slot.gate.trackRetryable(future);
		}
		TargetCallResult result = await(future);
		slot.gate.untrackRetryable(future);
		slot.release(gateResult(result));
		return result;
	}

	private static TargetCallResult await(CompletableFuture<TargetCallResult> future) {
		try {
			return future.get();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			future.cancel(true);
			return new TargetCallResult.OutcomeUnknown("interrupted while waiting for the response", 0, true);
		}
		catch (CancellationException ex) {
			return new TargetCallResult.OutcomeUnknown("the caller disconnected or the target was lost", 0, true);
		}
		catch (ExecutionException ex) {
			return new TargetCallResult.OutcomeUnknown(String.valueOf(ex.getCause()), 0, false);
		}
	}

	private static GateResult gateResult(TargetCallResult result) {
		if (result instanceof TargetCallResult.Complete complete) {
			return (complete.status() >= 500) ? GateResult.FAILED : GateResult.ANSWERED;
		}
		if (result instanceof TargetCallResult.NotSent notSent) {
			return notSent.permitted() ? GateResult.LOST : GateResult.NOT_SENT;
		}
		if (result instanceof TargetCallResult.OutcomeUnknown unknown) {
			return unknown.cancelled() ? GateResult.CANCELLED : GateResult.LOST;
		}
		return GateResult.FAILED;
	}

	// Translates the result of a target call into the gate's reply.
	static GateReply reply(TargetCallResult result) {
		if (result instanceof TargetCallResult.Complete complete) {
			return GateReply.answered(complete.status(), complete.headers(), complete.body(), complete.serviceNanos());
		}
		if (result instanceof TargetCallResult.NotAdmitted notAdmitted) {
			return notAdmitted.refusal();
		}
		if (result instanceof TargetCallResult.NotSent notSent) {
			return notSent.permitted() ? GateReply.failed(Problem.NO_OWNER, notSent.reason(), 0)
					: GateReply.refused(Problem.WRONG_GATE, notSent.reason());
		}
		if (result instanceof TargetCallResult.RefusedByTarget refused) {
			return GateReply.failed(Problem.REFUSED_BY_TARGET,
					"the target refused the request with HTTP status " + refused.status(), 0);
		}
		TargetCallResult.OutcomeUnknown unknown = (TargetCallResult.OutcomeUnknown) result;
		return GateReply.failed(Problem.NO_ANSWER, unknown.reason(), unknown.waitedNanos());
	}

	/**
	 * The slot of one request. Only the first release has an effect.
	 */
	private static final class Slot {

		private final GateRuntime gate;

		private final Ticket ticket;

		private boolean released;

		Slot(GateRuntime gate, Ticket ticket) {
			this.gate = gate;
			this.ticket = ticket;
		}

		synchronized void release(GateResult result) {
			if (!this.released) {
				this.released = true;
				this.gate.releaseSlot(this.ticket, result);
			}
		}

	}

}
