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
 * Entry instances and the gates that they are. Stateless and thread safe.
 *
 * <p>
 * Invariant: a gate names a registered entry instance or none. An empty gate means that
 * no lease of a former gate runs: the former gate was removed after its lease, or it
 * reported the target lost and sends nothing more under that epoch.
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
		boolean sameRun = current.filter((entry) -> entry.spec().bootId().equals(spec.bootId())).isPresent();
		if (!sameRun) {
			clearGates(spec.name(), changes);
		}
		changes.put(spec, sameRun && current.get().leaving());
		return new CommandResult.Applied(changes.version());
	}

	static CommandResult leaving(String name, String bootId, ViewChanges changes) {
		Optional<EntryState> current = changes.base().entry(name);
		if (current.isEmpty()) {
			return Refusals.notFound("entry instance " + name);
		}
		if (!current.get().spec().bootId().equals(bootId)) {
			return staleRun(name, bootId);
		}
		if (!current.get().leaving()) {
			changes.put(current.get().spec(), true);
		}
		return new CommandResult.Applied(changes.none() ? changes.base().version() : changes.version());
	}

	static CommandResult remove(String name, String bootId, ViewChanges changes) {
		Optional<EntryState> current = changes.base().entry(name);
		if (current.isEmpty()) {
			return Refusals.notFound("entry instance " + name);
		}
		if (!current.get().spec().bootId().equals(bootId)) {
			return staleRun(name, bootId);
		}
		clearGates(name, changes);
		changes.remove(new Removed.RemovedEntry(name));
		return new CommandResult.Applied(changes.version());
	}

	private static CommandResult staleRun(String name, String bootId) {
		return Refusals.stale("entry instance " + name + " has another run than " + bootId);
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
		return changes.none() ? Refusals.stale("no target has the given gate epoch, or no gate is registered")
				: new CommandResult.Applied(changes.version());
	}

}
