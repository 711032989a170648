package org.redwingramp.bench.measure;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.redwingramp.core.control.ControlTiming;
import org.redwingramp.core.model.RequestClass;
import org.redwingramp.core.routing.GateSettings;
import org.redwingramp.core.routing.TargetGate;
import org.redwingramp.core.routing.TargetGate.GateEffect;
import org.redwingramp.core.routing.TargetGate.GateRequest;
import org.redwingramp.core.routing.TargetGate.GateResult;
import org.redwingramp.core.routing.TargetGates;

/**
 * Shares a target's slots through one gate: the entry instance that runs the gate admits
 * all requests, and the other entries forward theirs to it. Not thread safe.
 */
final class GatedSlots implements SlotSharing {

	private static final int QUEUE_LIMIT = 10_000;

	private static final ControlTiming TIMING = ControlTiming.DEFAULT;

	private final VirtualTime time;

	private final Deployment deployment;

	private final Sender sender;

	private final Set<Long> waiting = new LinkedHashSet<>();

	private final Set<Long> running = new HashSet<>();

	private TargetGate gate;

	private int gateEntryIndex;

	private boolean gateLost;

	GatedSlots(VirtualTime time, Deployment deployment, Sender sender) {
		this.time = time;
		this.deployment = deployment;
		this.sender = sender;
		this.gate = createGate();
	}

	// Early refusal is disabled, since the comparison measures waiting times.
	private TargetGate createGate() {
		TargetGate created = TargetGates.create(new GateSettings(this.deployment.slots(), QUEUE_LIMIT, true, false),
				this.time.now());
		created.setOpen(true, this.time.now());
		return created;
	}

	@Override
	public void arrive(int entry, long id) {
		if (this.gateLost && entry == this.gateEntryIndex) {
			return;
		}
		this.waiting.add(id);
		int forwardedToIndex = this.gateEntryIndex;
		this.time.after((entry == this.gateEntryIndex) ? 0 : this.deployment.hopNanos(), () -> {
			// After a failover the new gate has already been offered all waiting
			// requests.
			if (!this.gateLost && this.gateEntryIndex == forwardedToIndex) {
				offer(id);
			}
		});
	}

	@Override
	public void loseEntryWithMostSlots() {
		this.gateLost = true;
		this.running.clear();
		long remainingLease = TIMING.grantorWaitNanos(TIMING.gateLeaseNanos()) - TIMING.entryHeartbeatNanos() / 2;
		this.time.after(remainingLease + TIMING.entryHeartbeatNanos() / 2, () -> {
			this.gateLost = false;
			this.gateEntryIndex++;
			this.gate = createGate();
			List.copyOf(this.waiting).forEach(this::offer);
		});
	}

	@Override
	public int waiting() {
		return this.waiting.size();
	}

	@Override
	public long responseNanos() {
		return 2 * this.deployment.hopNanos();
	}

	private void offer(long id) {
		apply(this.gate.offer(new GateRequest(id, RequestClass.IDEMPOTENT, Long.MAX_VALUE / 2), this.time.now()));
	}

	private void apply(List<GateEffect> effects) {
		effects.forEach((effect) -> {
			long id = effect.id();
			this.waiting.remove(id);
			if (!(effect instanceof GateEffect.Start)) {
				return;
			}
			this.running.add(id);
			this.sender.send(id, () -> {
				if (this.running.remove(id)) {
					apply(this.gate.finished(id, GateResult.ANSWERED, this.time.now()));
				}
			});
		});
	}

}
