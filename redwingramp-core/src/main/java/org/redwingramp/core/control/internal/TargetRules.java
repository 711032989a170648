package org.redwingramp.core.control.internal;

import java.util.Optional;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult;
import org.redwingramp.core.control.CommandResult.Refused;
import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.control.TargetPhase;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.control.ViewUpdate.Removed;
import org.redwingramp.core.model.TargetSpec;

/**
 * The life of targets. Stateless and thread safe.
 *
 * <p>
 * A new run of a target has no grants, but its gate may still have requests queued for
 * the former run, by a view that is older. Therefore the shards of the former run are
 * released like in a move, not unowned at once: the gate reports them released when it
 * dispatches nothing for them any more, and only then they get a new owner with a higher
 * fence. The gate epoch rises as well, so no request that runs at most once can begin by
 * the older view.
 */
final class TargetRules {

	private static final int MAX_TARGETS = 20_000;

	private TargetRules() {
	}

	static CommandResult announce(TargetSpec spec, ViewChanges changes) {
		Optional<TargetState> current = changes.base().target(spec.name());
		Optional<Refused> refusal = announceRefusal(spec, current, changes.base());
		if (refusal.isPresent()) {
			return refusal.get();
		}
		if (current.isEmpty()) {
			// Gate epochs never exceed the view version, so a target that is created
			// again never reuses an epoch.
			changes.put(new TargetState(spec, TargetPhase.READY, "", changes.base().version(), 0));
		}
		else if (!current.get().spec().bootId().equals(spec.bootId())) {
			newRun(spec, current.get(), changes);
		}
		else {
			renew(spec, current.get(), changes);
		}
		return applied(changes);
	}

	private static Optional<Refused> announceRefusal(TargetSpec spec, Optional<TargetState> current,
			ImmutableView view) {
		if (view.service(spec.service()).isEmpty()) {
			return Optional.of(Refusals.inconsistent("target " + spec.name() + " serves " + spec.service()
					+ ", which isn't a service; submit its record first"));
		}
		if (current.isEmpty()) {
			return (view.allTargets().size() >= MAX_TARGETS)
					? Optional.of(Refusals.limitReached("targets", MAX_TARGETS)) : Optional.empty();
		}
		TargetSpec former = current.get().spec();
		if (!gone(current.get(), view) && !former.address().equals(spec.address())) {
			return Optional.of(Refusals.nameTaken(spec.name(), former.address()));
		}
		boolean owning = !view.shardsOf(spec.name()).isEmpty();
		return (!former.service().equals(spec.service()) && owning)
				? Optional
					.of(Refusals.inconsistent("target " + spec.name() + " still owns shards of " + former.service()))
				: Optional.empty();
	}

	private static void newRun(TargetSpec spec, TargetState former, ViewChanges changes) {
		ShardRules.releaseAll(former, changes);
		long epoch = former.gate().isEmpty() ? former.gateEpoch() : former.gateEpoch() + 1;
		changes.put(new TargetState(spec, TargetPhase.READY, former.gate(), epoch, 0));
	}

	private static void renew(TargetSpec spec, TargetState current, ViewChanges changes) {
		TargetPhase phase = (current.phase() == TargetPhase.LOST) ? TargetPhase.READY : current.phase();
		if (phase != current.phase() || !spec.equals(current.spec())) {
			changes.put(new TargetState(spec, phase, current.gate(), current.gateEpoch(), 0));
		}
	}

	static CommandResult drain(Command.DrainTarget command, ViewChanges changes) {
		return withRun(command.name(), command.bootId(), changes, (target) -> {
			if (target.phase() == TargetPhase.READY) {
				changes.put(new TargetState(target.spec(), TargetPhase.DRAINING, target.gate(), target.gateEpoch(), 0));
			}
			return applied(changes);
		});
	}

	static CommandResult left(Command.TargetLeft command, ViewChanges changes) {
		return withRun(command.name(), command.bootId(), changes, (target) -> {
			if (!changes.base().shardsOf(command.name()).isEmpty()) {
				return Refusals.inconsistent("target " + command.name() + " still owns shards; drain it first");
			}
			changes.remove(new Removed.RemovedTarget(command.name()));
			return applied(changes);
		});
	}

	static CommandResult lost(Command.TargetLost command, ViewChanges changes) {
		return withRun(command.name(), command.bootId(), changes, (target) -> {
			if (gone(target, changes.base())) {
				return applied(changes);
			}
			if (target.gateEpoch() != command.gateEpoch()) {
				return Refusals.stale("target " + command.name() + " has gate epoch " + target.gateEpoch() + ", not "
						+ command.gateEpoch());
			}
			ShardRules.unownAll(target, changes);
			TargetPhase phase = (target.phase() == TargetPhase.DRAINING) ? TargetPhase.DRAINING : TargetPhase.LOST;
			changes.put(new TargetState(target.spec(), phase, "", target.gateEpoch(), 0));
			return applied(changes);
		});
	}

	/**
	 * Returns whether a target is lost. One that is lost while it drains stays draining,
	 * so that it gets no new work if it goes on and renews its announcement.
	 * @param target the target
	 * @param view the view
	 * @return whether it is lost, also while it drains
	 */
	static boolean gone(TargetState target, ControlView view) {
		return target.phase() == TargetPhase.LOST || (target.phase() == TargetPhase.DRAINING && target.gate().isEmpty()
				&& view.shardsOf(target.spec().name()).isEmpty());
	}

	private static CommandResult withRun(String name, String bootId, ViewChanges changes,
			java.util.function.Function<TargetState, CommandResult> rule) {
		Optional<TargetState> current = changes.base().target(name);
		if (current.isEmpty()) {
			return Refusals.notFound("target " + name);
		}
		return current.get().spec().bootId().equals(bootId) ? rule.apply(current.get())
				: Refusals.stale("target " + name + " has another run than " + bootId);
	}

	private static CommandResult applied(ViewChanges changes) {
		return new CommandResult.Applied(changes.none() ? changes.base().version() : changes.version());
	}

}
