package org.redwingramp.core.control.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.ControlTiming;
import org.redwingramp.core.control.ControlView;
import org.redwingramp.core.control.EntryHeartbeat;
import org.redwingramp.core.control.EntryState;
import org.redwingramp.core.model.EntrySpec;

/**
 * Which entry instances hold gate leases, by what the leader itself has answered. Not
 * thread safe.
 *
 * <p>
 * Invariant: the removal of an entry instance is proposed only after its lease by the
 * waiting rule, and from then on it gets no lease until the state shows the removal.
 */
final class EntryLeases {

	private final ControlTiming timing;

	private final long graceEnd;

	private final Map<String, Session> sessions = new TreeMap<>();

	private final Map<String, EntrySpec> unregistered = new TreeMap<>();

	private final Set<EntrySpec> removing = new HashSet<>();

	private final Map<EntrySpec, Long> registeredAt = new HashMap<>();

	EntryLeases(ControlTiming timing, long electedAt) {
		this.timing = timing;
		this.graceEnd = electedAt + timing.waitedNanos(timing.gateLeaseNanos());
	}

	/**
	 * Notes a heartbeat and extends the lease if the entry may have one.
	 * @param heartbeat the heartbeat
	 * @param view the view
	 * @param now the monotonic time in nanoseconds
	 * @return the lease in nanoseconds, 0 for none
	 */
	long renew(EntryHeartbeat heartbeat, ControlView view, long now) {
		EntrySpec spec = heartbeat.entry();
		Optional<EntrySpec> registered = view.entry(spec.name()).map(EntryState::spec);
		if (!registered.equals(Optional.of(spec))) {
			this.unregistered.put(spec.name(), spec);
			return 0;
		}
		this.unregistered.remove(spec.name());
		if (this.removing.contains(spec)) {
			return 0;
		}
		Session former = this.sessions.get(spec.name());
		if (former == null || !former.heartbeat().entry().equals(spec)
				|| former.heartbeat().sequence() <= heartbeat.sequence()) {
			this.sessions.put(spec.name(),
					new Session(heartbeat, now + this.timing.waitedNanos(this.timing.gateLeaseNanos())));
		}
		return this.timing.gateLeaseNanos();
	}

	void propose(ControlView view, Proposals proposals, long now) {
		Set<EntrySpec> registrations = view.entries().stream().map(EntryState::spec).collect(Collectors.toSet());
		this.registeredAt.keySet().retainAll(registrations);
		registrations.forEach((spec) -> this.registeredAt.putIfAbsent(spec, now));
		this.removing.removeIf((spec) -> !view.entry(spec.name()).map(EntryState::spec).equals(Optional.of(spec)));
		view.entries().stream().map(EntryState::spec).filter((spec) -> over(spec, now)).forEach((spec) -> {
			this.removing.add(spec);
			this.sessions.remove(spec.name());
			proposals.add(new Command.RemoveEntry(spec.name(), spec.bootId()));
		});
		Map<String, EntrySpec> waiting = new HashMap<>(this.unregistered);
		waiting.forEach((name, spec) -> {
			Optional<EntrySpec> registered = view.entry(name).map(EntryState::spec);
			if (registered.equals(Optional.of(spec))) {
				this.unregistered.remove(name);
			}
			else if (registered.isEmpty() || registered.get().bootId().equals(spec.bootId())) {
				proposals.add(new Command.RegisterEntry(spec));
			}
		});
		this.sessions.values()
			.stream()
			.map(Session::heartbeat)
			.filter((heartbeat) -> heartbeat.leaving()
					&& view.entry(heartbeat.entry().name()).filter((entry) -> !entry.leaving()).isPresent())
			.forEach((heartbeat) -> proposals
				.add(new Command.EntryLeaving(heartbeat.entry().name(), heartbeat.entry().bootId())));
	}

	/**
	 * Returns whether no lease of an entry instance can be running.
	 * @param spec the entry instance
	 * @param now the monotonic time in nanoseconds
	 * @return whether its lease is over
	 */
	boolean over(EntrySpec spec, long now) {
		Session session = this.sessions.get(spec.name());
		boolean heard = session != null && session.heartbeat().entry().equals(spec);
		return this.removing.contains(spec) || now >= (heard ? session.leaseEnd() : unheardEnd(spec));
	}

	private long unheardEnd(EntrySpec spec) {
		Long since = this.registeredAt.get(spec);
		return (since != null) ? Math.max(this.graceEnd, since + this.timing.waitedNanos(this.timing.gateLeaseNanos()))
				: Long.MAX_VALUE;
	}

	boolean live(EntryState entry, long now) {
		Session session = this.sessions.get(entry.spec().name());
		return session != null && session.heartbeat().entry().equals(entry.spec()) && now < session.leaseEnd()
				&& !session.heartbeat().leaving() && !entry.leaving();
	}

	Collection<EntryHeartbeat> heartbeats() {
		return this.sessions.values().stream().map(Session::heartbeat).toList();
	}

	long versionInForce(ControlView view, long now) {
		return view.entries()
			.stream()
			.filter((entry) -> !over(entry.spec(), now))
			.mapToLong((entry) -> acknowledged(entry.spec()))
			.min()
			.orElse(view.version());
	}

	private long acknowledged(EntrySpec spec) {
		Session session = this.sessions.get(spec.name());
		return (session != null && session.heartbeat().entry().equals(spec)) ? session.heartbeat().viewVersion() : 0;
	}

	/**
	 * The last heartbeat of an entry instance.
	 *
	 * @param heartbeat the heartbeat
	 * @param leaseEnd when its lease is over by the waiting rule
	 */
	private record Session(EntryHeartbeat heartbeat, long leaseEnd) {
	}

}
