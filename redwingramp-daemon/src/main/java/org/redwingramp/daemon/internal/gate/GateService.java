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
 * Serves requests at the gate of their target: slot, ledger, send, answer. Thread safe.
 *
 * <p>
 * Invariants: a request that runs at most once is sent only after the ledger started it,
 * and once; a reply says "not run" only if no byte was written or the target said so.
 */
public final class GateService {

	private static final String NOT_PERMITTED = "the leases or the view don't permit sending";

	private final GateRegistry gates;

	private final TargetCaller targets;

	private final AtMostOnce atMostOnce;

	private final DispatchPermission permission;

	private final ShardLoads loads;

	private final LongSupplier clock;

	GateService(GateRegistry gates, TargetCaller targets, AtMostOnce atMostOnce, DispatchPermission permission,
			ShardLoads loads, LongSupplier clock) {
		this.gates = gates;
		this.targets = targets;
		this.atMostOnce = atMostOnce;
		this.permission = permission;
		this.loads = loads;
		this.clock = clock;
	}

	/**
	 * Serves a request.
	 * @param request the request
	 * @param view the view to find the target in
	 * @param cancelled completed if the caller goes away
	 * @return what became of it
	 */
	public GateReply serve(GateRequest request, ControlView view, CompletableFuture<Void> cancelled) {
		Optional<GateRuntime> gate = this.gates.find(request.target(), request.gateEpoch());
		Optional<TargetState> target = view.target(request.target());
		if (gate.isEmpty() || target.isEmpty()) {
			return GateReply.refused(Problem.WRONG_GATE,
					"not the gate of " + request.target() + " under epoch " + request.gateEpoch());
		}
		this.loads.counted(request.shard(), request.key());
		GateReply reply = serve(request, gate.get(), target.get(), cancelled);
		GateStatus status = gate.get().status();
		return reply.withBusy(status.inFlight() + status.waiting());
	}

	// A request that runs at most once waits for a slot only after it was recorded: a
	// slot held while control has no leader would keep lookups from the target. If the
	// queue is full already, nothing is recorded, so that overload doesn't reach the
	// control group.
	GateReply serve(GateRequest request, GateRuntime gate, TargetState target, CompletableFuture<Void> cancelled) {
		long deadline = this.clock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(request.remainingMillis());
		if (!permitted(request)) {
			return GateReply.refused(Problem.WRONG_GATE, NOT_PERMITTED);
		}
		if (request.requestClass().recorded()) {
			if (gate.full()) {
				return GateReply.refused(Problem.QUEUE_FULL, "the queue of " + request.target() + " is full");
			}
			return this.atMostOnce.run(request, deadline, () -> admit(request, gate, target, deadline, cancelled));
		}
		return reply(admit(request, gate, target, deadline, cancelled));
	}

	private boolean permitted(GateRequest request) {
		return this.permission.mayDispatch(request.target(), request.key(), request.shard(), request.fence());
	}

	private TargetAnswer admit(GateRequest request, GateRuntime gate, TargetState target, long deadline,
			CompletableFuture<Void> cancelled) {
		Ticket ticket = gate.offer(request.requestClass(), request.shard(), request.key(), deadline);
		Optional<GateReply> refusal = awaitStart(gate, ticket, deadline);
		if (refusal.isPresent()) {
			return new TargetAnswer.NotAdmitted(refusal.get());
		}
		SlotUse slot = new SlotUse(gate, ticket);
		try {
			return permitted(request) ? exchange(request, target, deadline, slot, cancelled)
					: new TargetAnswer.NotSent(NOT_PERMITTED, false);
		}
		finally {
			slot.release(GateResult.NOT_SENT);
		}
	}

	private Optional<GateReply> awaitStart(GateRuntime gate, Ticket ticket, long deadline) {
		try {
			long wait = Math.max(0, deadline - this.clock.getAsLong());
			GateEffect effect = ticket.decision().get(wait, TimeUnit.NANOSECONDS);
			if (effect instanceof GateEffect.Refuse refuse) {
				gate.withdrawn(ticket);
				return Optional.of(gate.retired() ? GateReply.refused(Problem.WRONG_GATE, "the gate was closed")
						: refused(refuse));
			}
			return Optional.empty();
		}
		catch (TimeoutException ex) {
			return withdraw(gate, ticket, "no slot before the deadline");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return withdraw(gate, ticket, "interrupted while waiting for a slot");
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException("a gate decision never fails", ex);
		}
	}

	private Optional<GateReply> withdraw(GateRuntime gate, Ticket ticket, String detail) {
		if (ticket.decision().cancel(false)) {
			gate.withdrawn(ticket);
		}
		else if (ticket.decision().join() instanceof GateEffect.Start) {
			gate.finished(ticket, GateResult.NOT_SENT);
		}
		else {
			gate.withdrawn(ticket);
		}
		return Optional.of(GateReply.refused(Problem.DEADLINE_TOO_SHORT, detail));
	}

	private static GateReply refused(GateEffect.Refuse refuse) {
		Problem problem = switch (refuse.reason()) {
			case QUEUE_FULL -> Problem.QUEUE_FULL;
			case DEADLINE -> Problem.DEADLINE_TOO_SHORT;
			case DISPLACED -> Problem.DISPLACED;
		};
		return GateReply.refused(problem, "refused by the gate: " + problem.title());
	}

	private TargetAnswer exchange(GateRequest request, TargetState target, long deadline, SlotUse slot,
			CompletableFuture<Void> cancelled) {
		ShardId shard = request.shard().service().isEmpty() ? null : request.shard();
		TargetCall call = new TargetCall(request.target(), target.spec().address(), request.method(), request.path(),
				request.headers(), request.body(), request.identity(), shard, request.fence(), request.gateEpoch(),
				deadline, () -> permitted(request));
		CompletableFuture<TargetAnswer> future = this.targets.send(call);
		cancelled.thenRun(() -> future.cancel(true));
		if (request.requestClass().retryable()) {
			slot.gate.started(future);
		}
		TargetAnswer answer = await(future);
		slot.gate.ended(future);
		slot.release(result(answer));
		return answer;
	}

	private static TargetAnswer await(CompletableFuture<TargetAnswer> future) {
		try {
			return future.get();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			future.cancel(true);
			return new TargetAnswer.Lost("interrupted", 0, true);
		}
		catch (CancellationException ex) {
			return new TargetAnswer.Lost("the caller went away or the target was lost", 0, true);
		}
		catch (ExecutionException ex) {
			return new TargetAnswer.Lost(String.valueOf(ex.getCause()), 0, false);
		}
	}

	private static GateResult result(TargetAnswer answer) {
		if (answer instanceof TargetAnswer.Whole whole) {
			return (whole.status() >= 500) ? GateResult.FAILED : GateResult.ANSWERED;
		}
		if (answer instanceof TargetAnswer.NotSent notSent) {
			return notSent.permitted() ? GateResult.LOST : GateResult.NOT_SENT;
		}
		if (answer instanceof TargetAnswer.Lost lost) {
			return lost.cancelled() ? GateResult.CANCELLED : GateResult.LOST;
		}
		return GateResult.FAILED;
	}

	// Translates how a request ended into what the caller may conclude.
	static GateReply reply(TargetAnswer answer) {
		if (answer instanceof TargetAnswer.Whole whole) {
			return GateReply.answered(whole.status(), whole.headers(), whole.body(), whole.serviceNanos());
		}
		if (answer instanceof TargetAnswer.NotAdmitted notAdmitted) {
			return notAdmitted.refusal();
		}
		if (answer instanceof TargetAnswer.NotSent notSent) {
			return notSent.permitted() ? GateReply.failed(Problem.NO_OWNER, notSent.reason(), 0)
					: GateReply.refused(Problem.WRONG_GATE, notSent.reason());
		}
		if (answer instanceof TargetAnswer.RefusedByTarget refused) {
			return GateReply.failed(Problem.REFUSED_BY_TARGET, "the target answered " + refused.status(), 0);
		}
		TargetAnswer.Lost lost = (TargetAnswer.Lost) answer;
		return GateReply.failed(Problem.NO_ANSWER, lost.reason(), lost.waitedNanos());
	}

	/**
	 * The slot of one request, given back once.
	 */
	private static final class SlotUse {

		private final GateRuntime gate;

		private final Ticket ticket;

		private boolean released;

		SlotUse(GateRuntime gate, Ticket ticket) {
			this.gate = gate;
			this.ticket = ticket;
		}

		synchronized void release(GateResult result) {
			if (!this.released) {
				this.released = true;
				this.gate.finished(this.ticket, result);
			}
		}

	}

}
