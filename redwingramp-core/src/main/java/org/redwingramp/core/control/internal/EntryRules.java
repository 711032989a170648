package org.redwingramp.core.control.internal;

import java.util.List;
import java.util.Optional;

import org.redwingramp.core.control.Command.GateAssignment;
import org.redwingramp.core.control.CommandResult;
import org.redwingramp.core.control.EntryState;
import org.redwingramp.core.control.TargetState;
import org.redwingramp.core.control.ViewUpdate.Removed;
import org.redwingramp.core.model.EntrySpec;

/**
 * Applies the commands about entry instances and about which of them is the gate of each
 * target. Stateless and thread safe.
 *
 * <p>
 * Invariant: the gate of a target is a registered entry instance or empty. An empty gate
 * means that no gate lease of a previous gate is valid: the previous gate was removed
 * after its lease had expired, or it reported the target lost and sends nothing more
 * under that gate epoch.
 */
final class EntryRules {

	private static final int MAX_ENTRIES = 20_000;

	private EntryRules() {
	}

	static CommandResult register(EntrySpec spec, ViewChanges changes) {
		Optional<EntryState> current = changes.base().entry(spec.name());
		if (current.isPresent() && current.get().spec().equals(spec)) {
			return new CommandResult.Applied(changes.base().version());
		}
		if (current.isEmpty() && changes.base().entries().size() >= MAX_ENTRIES) {
			return Refusals.limitReached("entry instances", MAX_ENTRIES);
		}
		boolean sameIncarnation = current.filter((entry) -> entry.spec().bootId().equals(spec.bootId())).isPresent();
		if (!sameIncarnation) {
			clearGates(spec.name(), changes);
		}
		changes.put(spec, sameIncarnation && current.get().leaving());
		return new CommandResult.Applied(changes.nextVersion());
	}

	static CommandResult leaving(String name, String bootId, ViewChanges changes) {
		Optional<EntryState> current = changes.base().entry(name);
		if (current.isEmpty()) {
			return Refusals.notFound("entry instance " + name);
		}
		if (!current.get().spec().bootId().equals(bootId)) {
			return otherIncarnation(name, bootId);
		}
		if (!current.get().leaving()) {
			changes.put(current.get().spec(), true);
		}
		return new CommandResult.Applied(changes.isEmpty() ? changes.base().version() : changes.nextVersion());
	}

	static CommandResult remove(String name, String bootId, ViewChanges changes) {
		Optional<EntryState> current = changes.base().entry(name);
		if (current.isEmpty()) {
			return Refusals.notFound("entry instance " + name);
		}
		if (!current.get().spec().bootId().equals(bootId)) {
			return otherIncarnation(name, bootId);
		}
		clearGates(name, changes);
		changes.remove(new Removed.RemovedEntry(name));
		return new CommandResult.Applied(changes.nextVersion());
	}

	private static CommandResult otherIncarnation(String name, String bootId) {
		return Refusals.stale("entry instance " + name + " is not registered with boot ID " + bootId);
	}

	private static void clearGates(String entry, ViewChanges changes) {
		changes.base()
			.targetsOfGate(entry)
			.forEach(
					(target) -> changes.put(new TargetState(target.spec(), target.phase(), "", target.gateEpoch(), 0)));
	}

	static CommandResult assign(List<GateAssignment> assignments, ViewChanges changes) {
		for (GateAssignment assignment : assignments) {
			boolean usable = assignment.entry().isEmpty()
					|| changes.base().entry(assignment.entry()).filter((entry) -> !entry.leaving()).isPresent();
			changes.target(assignment.target())
				.filter((target) -> usable && target.gateEpoch() == assignment.expectedEpoch())
				.ifPresent((target) -> changes.put(
						new TargetState(target.spec(), target.phase(), assignment.entry(), target.gateEpoch() + 1, 0)));
		}
		return changes.isEmpty() ? Refusals.stale(
				"no gate assigned: no target has the expected gate epoch, or the new gates are not registered or are leaving")
				: new CommandResult.Applied(changes.nextVersion());
	}

}
