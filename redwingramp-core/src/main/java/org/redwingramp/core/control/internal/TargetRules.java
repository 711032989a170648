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
 * Applies the commands about the lifecycle of targets. Stateless and thread safe.
 *
 * <p>
 * A new incarnation of a target has no grants, but its gate, while it has an older view,
 * may still have requests queued for the previous incarnation. Therefore the shards of
 * the previous incarnation are released as in a move instead of becoming unowned at once:
 * the gate reports them as released when it dispatches nothing more for them, and only
 * then they get a new owner with a higher fence. The gate epoch increases as well, so no
 * request that runs at most once can begin under the older view.
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
			newIncarnation(spec, current.get(), changes);
		}
		else {
			renewAnnouncement(spec, current.get(), changes);
		}
		return applied(changes);
	}

	private static Optional<Refused> announceRefusal(TargetSpec spec, Optional<TargetState> current,
			ImmutableView view) {
		if (view.service(spec.service()).isEmpty()) {
			return Optional.of(Refusals.inconsistent("target " + spec.name() + " belongs to service " + spec.service()
					+ ", which does not exist; submit its record first"));
		}
		if (current.isEmpty()) {
			return (view.allTargets().size() >= MAX_TARGETS)
					? Optional.of(Refusals.limitReached("targets", MAX_TARGETS)) : Optional.empty();
		}
		TargetSpec previous = current.get().spec();
		if (!isLost(current.get(), view) && !previous.address().equals(spec.address())) {
			return Optional.of(Refusals.nameTaken(spec.name(), previous.address()));
		}
		boolean ownsShards = !view.shardsOf(spec.name()).isEmpty();
		return (!previous.service().equals(spec.service()) && ownsShards)
				? Optional
					.of(Refusals.inconsistent("target " + spec.name() + " still owns shards of " + previous.service()))
				: Optional.empty();
	}

	private static void newIncarnation(TargetSpec spec, TargetState previous, ViewChanges changes) {
		ShardRules.releaseAll(previous, changes);
		long epoch = previous.gate().isEmpty() ? previous.gateEpoch() : previous.gateEpoch() + 1;
		changes.put(new TargetState(spec, TargetPhase.READY, previous.gate(), epoch, 0));
	}

	private static void renewAnnouncement(TargetSpec spec, TargetState current, ViewChanges changes) {
		TargetPhase phase = (current.phase() == TargetPhase.LOST) ? TargetPhase.READY : current.phase();
		if (phase != current.phase() || !spec.equals(current.spec())) {
			changes.put(new TargetState(spec, phase, current.gate(), current.gateEpoch(), 0));
		}
	}

	static CommandResult drain(Command.DrainTarget command, ViewChanges changes) {
		return withIncarnation(command.name(), command.bootId(), changes, (target) -> {
			if (target.phase() == TargetPhase.READY) {
				changes.put(new TargetState(target.spec(), TargetPhase.DRAINING, target.gate(), target.gateEpoch(), 0));
			}
			return applied(changes);
		});
	}

	static CommandResult left(Command.TargetLeft command, ViewChanges changes) {
		return withIncarnation(command.name(), command.bootId(), changes, (target) -> {
			if (!changes.base().shardsOf(command.name()).isEmpty()) {
				return Refusals.inconsistent("target " + command.name() + " still owns shards; drain it first");
			}
			changes.remove(new Removed.RemovedTarget(command.name()));
			return applied(changes);
		});
	}

	static CommandResult lost(Command.TargetLost command, ViewChanges changes) {
		return withIncarnation(command.name(), command.bootId(), changes, (target) -> {
			if (isLost(target, changes.base())) {
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
	 * Returns whether a target is lost. A target that is lost while draining stays
	 * draining, so that it gets no new work if it resumes and renews its announcement.
	 * Such a target has neither a gate nor shards.
	 * @param target the target
	 * @param view the view
	 * @return whether the target is lost, also if it is draining
	 */
	static boolean isLost(TargetState target, ControlView view) {
		return target.phase() == TargetPhase.LOST || (target.phase() == TargetPhase.DRAINING && target.gate().isEmpty()
				&& view.shardsOf(target.spec().name()).isEmpty());
	}

	private static CommandResult withIncarnation(String name, String bootId, ViewChanges changes,
			java.util.function.Function<TargetState, CommandResult> rule) {
		Optional<TargetState> current = changes.base().target(name);
		if (current.isEmpty()) {
			return Refusals.notFound("target " + name);
		}
		return current.get().spec().bootId().equals(bootId) ? rule.apply(current.get())
				: Refusals.stale("target " + name + " is not registered with boot ID " + bootId);
	}

	private static CommandResult applied(ViewChanges changes) {
		return new CommandResult.Applied(changes.isEmpty() ? changes.base().version() : changes.nextVersion());
	}

}
