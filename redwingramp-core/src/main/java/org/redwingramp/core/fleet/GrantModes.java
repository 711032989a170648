package org.redwingramp.core.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.redwingramp.core.fleet.FleetCommand.AssignKeys;
import org.redwingramp.core.ownership.LeaseTable;
import org.redwingramp.core.traffic.GrantMode;

/**
 * The way in which the keys of each service are granted. A target may apply a grant that
 * was sent as a call until its lease ends, also after its service was switched to
 * heartbeats and the leader has changed. So the replicated state says for which services
 * there is none. Invariants: no grant is sent as a call while the state says that of its
 * service or may come to say it by a command that this leader proposed; it comes to say
 * it only once all grants of this and former leaders have ended. Not thread safe.
 */
final class GrantModes {

	private final FleetState state;

	private final LeaseTable leases;

	private final FleetOutput output;

	private Map<String, GrantMode> configured = Map.of();

	// The change of each service that was proposed last, until it is applied. It may be
	// applied although its proposal had no result, so it is repeated until it is.
	private final Map<String, AssignKeys> unapplied = new HashMap<>();

	private final Set<FleetCommand> pending = new HashSet<>();

	GrantModes(FleetState state, LeaseTable leases, FleetOutput output) {
		this.state = state;
		this.leases = leases;
		this.output = output;
	}

	void configure(Map<String, GrantMode> modes) {
		this.configured = Map.copyOf(modes);
	}

	Set<String> services() {
		return this.configured.keySet();
	}

	boolean byHeartbeat(String service) {
		return this.configured.get(service) == GrantMode.HEARTBEAT || !this.state.mayHaveCalls(service)
				|| this.unapplied.containsKey(service);
	}

	// Proposes what the state is to say of a service, if that differs.
	void maintain(String service, long now) {
		Optional.ofNullable(this.unapplied.get(service)).or(() -> change(service, now)).ifPresent((command) -> {
			this.unapplied.put(service, command);
			if (this.pending.add(command)) {
				this.output.decision("grant-mode", "service", service, "grants", command.grants().orElseThrow());
				this.output.propose(command);
			}
		});
	}

	private Optional<AssignKeys> change(String service, long now) {
		boolean mayHaveCalls = this.state.mayHaveCalls(service);
		GrantMode mode = this.configured.get(service);
		boolean begins = mode == GrantMode.CALL && !mayHaveCalls;
		boolean ends = mode == GrantMode.HEARTBEAT && mayHaveCalls && this.leases.callGrantsEnded(service, now);
		return (begins || ends) ? Optional.of(new AssignKeys(service, List.of(), Optional.of(mode))) : Optional.empty();
	}

	void applied(FleetCommand command) {
		if (command instanceof AssignKeys assign) {
			this.unapplied.remove(assign.service(), assign);
		}
	}

	// Takes note that a command has a result, or that it has none.
	void settled(FleetCommand command) {
		this.pending.remove(command);
	}

}
