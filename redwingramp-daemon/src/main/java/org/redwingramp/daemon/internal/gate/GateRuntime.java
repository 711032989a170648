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
 * The gate of one target under one gate epoch: slots and the count of requests by shard.
 * Thread safe; a lock guards the admission.
 *
 * <p>
 * Invariant: a shard is idle only if no request for it holds or may get a slot.
 */
final class GateRuntime {

	private final String target;

	private final long epoch;

	private final TargetGate admission;

	private final int queueLimit;

	private final LongSupplier clock;

	private final Map<Long, CompletableFuture<GateEffect>> waiting = new HashMap<>();

	private final Map<ShardId, Integer> busyShards = new HashMap<>();

	private final Set<CompletableFuture<TargetAnswer>> repeatable = ConcurrentHashMap.newKeySet();

	private volatile boolean abandoned;

	private long nextId = 1;

	private int lastLimit;

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

	// Asks for a slot.
	// @return a ticket whose future is completed once the request may start or is refused
	synchronized Ticket offer(RequestClass requestClass, ShardId shard, String key, long deadline) {
		long id = this.nextId++;
		CompletableFuture<GateEffect> decision = new CompletableFuture<>();
		this.waiting.put(id, decision);
		Ticket ticket = new Ticket(id, shard, key, decision);
		ticket.shards().forEach((busy) -> this.busyShards.merge(busy, 1, Integer::sum));
		if (this.retired) {
			run(List.of(new GateEffect.Refuse(id, Refusal.DISPLACED)));
			return ticket;
		}
		run(this.admission.offer(new GateRequest(id, requestClass, deadline), this.clock.getAsLong()));
		return ticket;
	}

	// Gives back the slot of a started request.
	synchronized void finished(Ticket ticket, GateResult result) {
		leave(ticket);
		run(this.admission.finished(ticket.id(), result, this.clock.getAsLong()));
	}

	// Withdraws a request that was refused or gave up waiting.
	synchronized void withdrawn(Ticket ticket) {
		leave(ticket);
		this.waiting.remove(ticket.id());
		run(this.admission.cancel(ticket.id(), this.clock.getAsLong()));
	}

	synchronized void open(boolean open) {
		run(this.admission.open(open && !this.retired, this.clock.getAsLong()));
	}

	/**
	 * Stops the gate for good: nothing starts any more and waiting requests are refused.
	 */
	synchronized void retire() {
		this.retired = true;
		run(this.admission.open(false, this.clock.getAsLong()));
		List.copyOf(this.waiting.keySet()).forEach((id) -> run(List.of(new GateEffect.Refuse(id, Refusal.DISPLACED))));
	}

	// Registers a request to the target that may be sent again elsewhere.
	void started(CompletableFuture<TargetAnswer> request) {
		this.repeatable.add(request);
		if (this.abandoned) {
			request.cancel(true);
		}
	}

	void ended(CompletableFuture<TargetAnswer> request) {
		this.repeatable.remove(request);
	}

	// Gives up what may be sent again elsewhere, since the target is lost: its answer
	// would be waited for until the deadline.
	void abandon() {
		this.abandoned = true;
		this.repeatable.forEach((request) -> request.cancel(true));
	}

	synchronized boolean retired() {
		return this.retired;
	}

	synchronized void tick() {
		run(this.admission.tick(this.clock.getAsLong()));
		GateStatus status = this.admission.status(this.clock.getAsLong());
		if (status.limit() != this.lastLimit) {
			this.lastLimit = status.limit();
			EventLog.log(Event.LIMIT_CHANGED, this.target, status.limit(), status.warm(),
					status.serviceNanos() / 1_000);
		}
	}

	// Returns whether a request that can't start at once would be refused.
	synchronized boolean full() {
		GateStatus status = status();
		return status.inFlight() >= status.limit() && status.waiting() >= this.queueLimit;
	}

	synchronized GateStatus status() {
		return this.admission.status(this.clock.getAsLong());
	}

	synchronized boolean idle(ShardId shard) {
		return !this.busyShards.containsKey(shard);
	}

	synchronized boolean idle() {
		return this.busyShards.isEmpty();
	}

	// Refuses what waits and returns whether nothing is left.
	synchronized boolean drained() {
		if (!this.retired) {
			retire();
		}
		return idle();
	}

	private void leave(Ticket ticket) {
		ticket.shards()
			.forEach(
					(busy) -> this.busyShards.computeIfPresent(busy, (shard, count) -> (count > 1) ? count - 1 : null));
	}

	private void run(List<GateEffect> effects) {
		effects.forEach((effect) -> {
			CompletableFuture<GateEffect> decision = this.waiting.remove(effect.id());
			if (decision != null) {
				decision.complete(effect);
			}
		});
	}

	/**
	 * A request's place at the gate.
	 *
	 * @param id the request's identifier at this gate
	 * @param shard the request's shard
	 * @param key the request's key, empty for services without keys
	 * @param decision completed with a start or a refusal
	 */
	record Ticket(long id, ShardId shard, String key, CompletableFuture<GateEffect> decision) {

		// Returns the shards that the request keeps busy: the one that it was routed by
		// and that of its key, since the key may be split out of its slice meanwhile.
		Set<ShardId> shards() {
			if (this.key.isEmpty()) {
				return Set.of(this.shard);
			}
			ShardId ofKey = ShardId.hotKey(this.shard.service(), this.shard.slice(), this.key);
			return ofKey.equals(this.shard) ? Set.of(ofKey) : Set.of(this.shard, ofKey);
		}

	}

}
