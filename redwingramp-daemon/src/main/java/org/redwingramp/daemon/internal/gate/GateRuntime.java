package org.redwingramp.daemon.internal.gate;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

import org.redwingramp.core.model.RequestClass;
import org.redwingramp.core.model.ShardId;
import org.redwingramp.core.routing.GateSettings;
import org.redwingramp.core.routing.TargetGate;
import org.redwingramp.core.routing.TargetGate.GateEffect;
import org.redwingramp.core.routing.TargetGate.GateRequest;
import org.redwingramp.core.routing.TargetGate.GateResult;
import org.redwingramp.core.routing.TargetGate.GateStatus;
import org.redwingramp.core.routing.TargetGate.Refusal;
import org.redwingramp.core.routing.TargetGates;
import org.redwingramp.daemon.internal.events.Event;
import org.redwingramp.daemon.internal.events.EventLog;

/**
 * The gate of one target under one gate epoch: assigns the target's slots to requests and
 * counts the requests by shard. Thread safe; the object's monitor guards the admission.
 *
 * <p>
 * Invariant: a shard is idle only if no request for it holds a slot or can still obtain
 * one.
 */
final class GateRuntime {

	private final String target;

	private final long epoch;

	private final TargetGate admission;

	private final int queueLimit;

	private final LongSupplier clock;

	private final Map<Long, CompletableFuture<GateEffect>> pendingDecisions = new HashMap<>();

	private final Map<ShardId, Integer> requestsByShard = new HashMap<>();

	private final Set<CompletableFuture<TargetCallResult>> retryableCalls = ConcurrentHashMap.newKeySet();

	private volatile boolean retryableCancelled;

	private long nextTicketId = 1;

	private int lastLoggedLimit;

	private boolean retired;

	GateRuntime(String target, long epoch, GateSettings settings, LongSupplier clock) {
		this.target = target;
		this.epoch = epoch;
		this.clock = clock;
		this.queueLimit = settings.queueLimit();
		this.admission = TargetGates.create(settings, clock.getAsLong());
	}

	String target() {
		return this.target;
	}

	long epoch() {
		return this.epoch;
	}

	/**
	 * Requests a slot.
	 * @param requestClass the request's class, which determines its priority in the queue
	 * @param shard the shard by which the request was routed
	 * @param key the request's key, empty for services without keys
	 * @param deadline the monotonic time in nanoseconds by which the response is needed
	 * @return a ticket whose decision is completed when the request may start or is
	 * refused
	 */
	synchronized Ticket offer(RequestClass requestClass, ShardId shard, String key, long deadline) {
		long id = this.nextTicketId++;
		CompletableFuture<GateEffect> decision = new CompletableFuture<>();
		this.pendingDecisions.put(id, decision);
		Ticket ticket = new Ticket(id, shard, key, decision);
		ticket.shards().forEach((shardId) -> this.requestsByShard.merge(shardId, 1, Integer::sum));
		if (this.retired) {
			completeDecisions(List.of(new GateEffect.Refuse(id, Refusal.DISPLACED)));
			return ticket;
		}
		completeDecisions(this.admission.offer(new GateRequest(id, requestClass, deadline), this.clock.getAsLong()));
		return ticket;
	}

	// Releases the slot of a started request.
	synchronized void releaseSlot(Ticket ticket, GateResult result) {
		removeFromShardCounts(ticket);
		completeDecisions(this.admission.finished(ticket.id(), result, this.clock.getAsLong()));
	}

	// Removes a request that was refused or no longer waits for a slot.
	synchronized void withdraw(Ticket ticket) {
		removeFromShardCounts(ticket);
		this.pendingDecisions.remove(ticket.id());
		completeDecisions(this.admission.cancel(ticket.id(), this.clock.getAsLong()));
	}

	// Opens or closes the gate. While it is closed, no request starts; requests wait.
	synchronized void setOpen(boolean open) {
		completeDecisions(this.admission.setOpen(open && !this.retired, this.clock.getAsLong()));
	}

	/**
	 * Closes the gate permanently: no further request starts and all waiting requests are
	 * refused.
	 */
	synchronized void retire() {
		this.retired = true;
		completeDecisions(this.admission.setOpen(false, this.clock.getAsLong()));
		List.copyOf(this.pendingDecisions.keySet())
			.forEach((id) -> completeDecisions(List.of(new GateEffect.Refuse(id, Refusal.DISPLACED))));
	}

	// Registers a call that may be retried at another target.
	void trackRetryable(CompletableFuture<TargetCallResult> call) {
		this.retryableCalls.add(call);
		if (this.retryableCancelled) {
			call.cancel(true);
		}
	}

	void untrackRetryable(CompletableFuture<TargetCallResult> call) {
		this.retryableCalls.remove(call);
	}

	/**
	 * Cancels the calls that may be retried at another target. Used when the target is
	 * lost, since these requests would otherwise wait for its response until their
	 * deadline.
	 */
	void cancelRetryable() {
		this.retryableCancelled = true;
		this.retryableCalls.forEach((call) -> call.cancel(true));
	}

	synchronized boolean retired() {
		return this.retired;
	}

	synchronized void tick() {
		completeDecisions(this.admission.tick(this.clock.getAsLong()));
		GateStatus status = this.admission.status(this.clock.getAsLong());
		if (status.limit() != this.lastLoggedLimit) {
			this.lastLoggedLimit = status.limit();
			EventLog.log(Event.LIMIT_CHANGED, this.target, status.limit(), status.warm(),
					status.serviceNanos() / 1_000);
		}
	}

	// Returns whether all slots are taken and the queue is full.
	synchronized boolean full() {
		GateStatus status = status();
		return status.inFlight() >= status.limit() && status.waiting() >= this.queueLimit;
	}

	synchronized GateStatus status() {
		return this.admission.status(this.clock.getAsLong());
	}

	synchronized boolean idle(ShardId shard) {
		return !this.requestsByShard.containsKey(shard);
	}

	synchronized boolean idle() {
		return this.requestsByShard.isEmpty();
	}

	// Retires the gate, if necessary, and returns whether no request is left.
	synchronized boolean drain() {
		if (!this.retired) {
			retire();
		}
		return idle();
	}

	private void removeFromShardCounts(Ticket ticket) {
		ticket.shards()
			.forEach((shardId) -> this.requestsByShard.computeIfPresent(shardId,
					(key, count) -> (count > 1) ? count - 1 : null));
	}

	private void completeDecisions(List<GateEffect> effects) {
		effects.forEach((effect) -> {
			CompletableFuture<GateEffect> decision = this.pendingDecisions.remove(effect.id());
			if (decision != null) {
				decision.complete(effect);
			}
		});
	}

	/**
	 * A request that holds or waits for a slot of the gate.
	 *
	 * @param id the request's identifier at this gate
	 * @param shard the shard by which the request was routed
	 * @param key the request's key, empty for services without keys
	 * @param decision completed when the gate starts or refuses the request
	 */
	record Ticket(long id, ShardId shard, String key, CompletableFuture<GateEffect> decision) {

		// Returns the shards that the request counts towards: the one by which it was
		// routed and the hot-key shard of its key, since the key may be split out of its
		// slice while the request waits or runs.
		Set<ShardId> shards() {
			if (this.key.isEmpty()) {
				return Set.of(this.shard);
			}
			ShardId hotKeyShard = ShardId.hotKey(this.shard.service(), this.shard.slice(), this.key);
			return hotKeyShard.equals(this.shard) ? Set.of(hotKeyShard) : Set.of(this.shard, hotKeyShard);
		}

	}

}
