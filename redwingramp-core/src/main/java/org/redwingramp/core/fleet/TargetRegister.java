package org.redwingramp.core.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.redwingramp.core.fleet.FleetCommand.RecordTarget;
import org.redwingramp.core.fleet.FleetTarget.Stage;
import org.redwingramp.core.ownership.Owner;

/**
 * Decides what is recorded of the targets, from what they state of themselves. Invariant:
 * an incarnation of a target never returns to an earlier stage, in whichever order its
 * statements arrive and while earlier ones wait to be committed. Not thread safe.
 */
final class TargetRegister {

	private final FleetState state;

	// The latest descriptions that were proposed and aren't applied yet.
	private final Map<String, FleetTarget> pending = new HashMap<>();

	TargetRegister(FleetState state) {
		this.state = state;
	}

	// Returns the description of a target that the replicated state has or is about to
	// have.
	Optional<FleetTarget> latest(String name) {
		return Optional.ofNullable(this.pending.get(name)).or(() -> this.state.target(name));
	}

	// Returns whether another incarnation of an owner's target waits to be committed.
	boolean startsAgain(Owner owner) {
		return Optional.ofNullable(this.pending.get(owner.target()))
			.filter((target) -> target.born() != owner.born())
			.isPresent();
	}

	// Returns the command that records the description of a target, or empty if the
	// replicated state has it. A description that isn't applied yet is proposed again,
	// since an acknowledgement has to wait for its commit.
	Optional<FleetCommand> record(FleetTarget target) {
		boolean recorded = this.state.target(target.name()).filter(target::equals).isPresent();
		if (recorded && !this.pending.containsKey(target.name())) {
			return Optional.empty();
		}
		this.pending.put(target.name(), target);
		return Optional.of(new RecordTarget(target));
	}

	// Returns the command that records the departure of an incarnation, empty for the
	// current one.
	Optional<FleetCommand> departure(String name, Optional<Long> born) {
		Optional<FleetTarget> known = latest(name);
		if (known.isEmpty()) {
			// A heartbeat that was sent before may arrive later and must not add it.
			return born.flatMap((start) -> record(new FleetTarget(name, start, "", "", "", 0, Stage.LEFT)));
		}
		return known.filter((target) -> born.isEmpty() || born.get() == target.born())
			.flatMap((target) -> record(target.with(Stage.LEFT)));
	}

	// Returns the command that records that a serving incarnation drains.
	Optional<FleetCommand> drain(Owner owner) {
		return latest(owner.target())
			.filter((target) -> target.owner().equals(owner) && target.stage() == Stage.SERVING)
			.flatMap((target) -> record(target.with(Stage.DRAINING)));
	}

	// Takes note that a command was applied or rejected.
	void settled(FleetCommand command) {
		if (command instanceof RecordTarget record) {
			this.pending.remove(record.target().name(), record.target());
		}
	}

	// Returns whether a target that started later states the same address.
	boolean addressTaken(FleetTarget target) {
		return this.state.targets()
			.stream()
			.anyMatch((other) -> other.address().equals(target.address()) && !other.name().equals(target.name())
					&& other.born() > target.born());
	}

	// Returns the targets at whose address another one states that it started later. The
	// earlier process has probably ended, but only an answer from the address or the end
	// of its leases proves that it holds no keys.
	Set<String> replaced() {
		Map<String, FleetTarget> newest = new HashMap<>();
		Set<String> replaced = new HashSet<>();
		this.state.targets().stream().filter((target) -> !target.address().isEmpty()).forEach((target) -> {
			FleetTarget other = newest.get(target.address());
			if (other != null) {
				replaced.add((other.born() < target.born()) ? other.name() : target.name());
			}
			if (other == null || other.born() < target.born()) {
				newest.put(target.address(), target);
			}
		});
		return replaced;
	}

}
