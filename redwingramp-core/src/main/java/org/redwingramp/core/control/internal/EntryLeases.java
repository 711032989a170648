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
 * Tracks which entry instances hold gate leases, according to the heartbeats that this
 * leader has answered. Not thread safe.
 *
 * <p>
 * Invariant: the removal of an entry instance is proposed only after its lease, extended
 * by the allowance for clock drift, has expired. From then on the instance gets no lease
 * until the state shows the removal.
 */
final class EntryLeases {

	private final ControlTiming timing;

	private final long earlierTermLeaseEnd;

	private final Map<String, LatestHeartbeat> latestHeartbeats = new TreeMap<>();

	private final Map<String, EntrySpec> unregistered = new TreeMap<>();

	private final Set<EntrySpec> removing = new HashSet<>();

	private final Map<EntrySpec, Long> registeredAt = new HashMap<>();

	EntryLeases(ControlTiming timing, long electedAt) {
		this.timing = timing;
		this.earlierTermLeaseEnd = electedAt + timing.grantorWaitNanos(timing.gateLeaseNanos());
	}

	/**
	 * Records a heartbeat and extends the lease of the entry instance if it is registered
	 * and not being removed.
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
		LatestHeartbeat previous = this.latestHeartbeats.get(spec.name());
		if (previous == null || !previous.heartbeat().entry().equals(spec)
				|| previous.heartbeat().sequence() <= heartbeat.sequence()) {
			this.latestHeartbeats.put(spec.name(),
					new LatestHeartbeat(heartbeat, now + this.timing.grantorWaitNanos(this.timing.gateLeaseNanos())));
		}
		return this.timing.gateLeaseNanos();
	}

	void propose(ControlView view, Proposals proposals, long now) {
		Set<EntrySpec> registrations = view.entries().stream().map(EntryState::spec).collect(Collectors.toSet());
		this.registeredAt.keySet().retainAll(registrations);
		registrations.forEach((spec) -> this.registeredAt.putIfAbsent(spec, now));
		this.removing.removeIf((spec) -> !view.entry(spec.name()).map(EntryState::spec).equals(Optional.of(spec)));
		view.entries().stream().map(EntryState::spec).filter((spec) -> leaseExpired(spec, now)).forEach((spec) -> {
			this.removing.add(spec);
			this.latestHeartbeats.remove(spec.name());
			proposals.add(new Command.RemoveEntry(spec.name(), spec.bootId()));
		});
		Map<String, EntrySpec> pending = new HashMap<>(this.unregistered);
		pending.forEach((name, spec) -> {
			Optional<EntrySpec> registered = view.entry(name).map(EntryState::spec);
			if (registered.equals(Optional.of(spec))) {
				this.unregistered.remove(name);
			}
			else if (registered.isEmpty() || registered.get().bootId().equals(spec.bootId())) {
				proposals.add(new Command.RegisterEntry(spec));
			}
		});
		this.latestHeartbeats.values()
			.stream()
			.map(LatestHeartbeat::heartbeat)
			.filter((heartbeat) -> heartbeat.leaving()
					&& view.entry(heartbeat.entry().name()).filter((entry) -> !entry.leaving()).isPresent())
			.forEach((heartbeat) -> proposals
				.add(new Command.EntryLeaving(heartbeat.entry().name(), heartbeat.entry().bootId())));
	}

	/**
	 * Returns whether the entry instance can no longer hold a lease, also one granted by
	 * the leader of an earlier term.
	 * @param spec the entry instance
	 * @param now the monotonic time in nanoseconds
	 * @return whether any lease of the entry instance has expired
	 */
	boolean leaseExpired(EntrySpec spec, long now) {
		LatestHeartbeat latest = this.latestHeartbeats.get(spec.name());
		boolean received = latest != null && latest.heartbeat().entry().equals(spec);
		return this.removing.contains(spec) || now >= (received ? latest.leaseEnd() : leaseEndWithoutHeartbeat(spec));
	}

	private long leaseEndWithoutHeartbeat(EntrySpec spec) {
		Long since = this.registeredAt.get(spec);
		return (since != null)
				? Math.max(this.earlierTermLeaseEnd, since + this.timing.grantorWaitNanos(this.timing.gateLeaseNanos()))
				: Long.MAX_VALUE;
	}

	/**
	 * Returns whether an entry instance can be assigned further gates.
	 * @param entry the entry instance
	 * @param now the monotonic time in nanoseconds
	 * @return whether it holds a lease and is not leaving
	 */
	boolean available(EntryState entry, long now) {
		LatestHeartbeat latest = this.latestHeartbeats.get(entry.spec().name());
		return latest != null && latest.heartbeat().entry().equals(entry.spec()) && now < latest.leaseEnd()
				&& !latest.heartbeat().leaving() && !entry.leaving();
	}

	Collection<EntryHeartbeat> heartbeats() {
		return this.latestHeartbeats.values().stream().map(LatestHeartbeat::heartbeat).toList();
	}

	long versionInForce(ControlView view, long now) {
		return view.entries()
			.stream()
			.filter((entry) -> !leaseExpired(entry.spec(), now))
			.mapToLong((entry) -> acknowledged(entry.spec()))
			.min()
			.orElse(view.version());
	}

	private long acknowledged(EntrySpec spec) {
		LatestHeartbeat latest = this.latestHeartbeats.get(spec.name());
		return (latest != null && latest.heartbeat().entry().equals(spec)) ? latest.heartbeat().viewVersion() : 0;
	}

	/**
	 * The latest heartbeat of an entry instance.
	 *
	 * @param heartbeat the heartbeat
	 * @param leaseEnd when the lease that it renewed has expired, including the allowance
	 * for clock drift
	 */
	private record LatestHeartbeat(EntryHeartbeat heartbeat, long leaseEnd) {
	}

}
