package org.redwingramp.records.internal;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.redwingramp.core.consensus.ConsensusTiming;
import org.redwingramp.core.control.ControlTiming;

/**
 * Reads {@code [timing]} and checks the minimum sizes of leases against heartbeats. Not
 * thread safe; used by one parse.
 */
final class TimingReader {

	private static final ControlTiming CONTROL = ControlTiming.DEFAULT;

	private static final ConsensusTiming CONSENSUS = ConsensusTiming.DEFAULT;

	/** The bound on new work to a drained failure domain rests on this lifetime. */
	private static final long MAX_VIEW_LIFETIME_MILLIS = 3_000;

	private static final long MAX_MILLIS = 60_000;

	/** Two lost heartbeats must not end a lease. */
	private static final int HEARTBEATS_PER_LEASE = 3;

	/** One lost renewal must not end a grant. */
	private static final int RENEWALS_PER_GRANT = 2;

	private final TableReader table;

	TimingReader(TableReader table) {
		this.table = table;
	}

	ControlTiming control() {
		ControlTiming timing = new ControlTiming(nanos("entry_heartbeat_ms", CONTROL.entryHeartbeatNanos()),
				nanos("gate_lease_ms", CONTROL.gateLeaseNanos()), nanos("grant_lease_ms", CONTROL.grantLeaseNanos()),
				nanos("grant_renewal_ms", CONTROL.grantRenewalNanos()),
				nanos("grant_timeout_ms", CONTROL.grantTimeoutNanos()),
				nanos("view_lifetime_ms", CONTROL.viewLifetimeNanos(), MAX_VIEW_LIFETIME_MILLIS), CONTROL.driftBound());
		atLeast("gate_lease_ms", timing.gateLeaseNanos(), "entry_heartbeat_ms", timing.entryHeartbeatNanos(),
				HEARTBEATS_PER_LEASE);
		atLeast("grant_lease_ms", timing.grantLeaseNanos(), "grant_renewal_ms", timing.grantRenewalNanos(),
				RENEWALS_PER_GRANT);
		refuseGrantsEndedByOneTimeout(timing);
		atLeast("gate_lease_ms", timing.gateLeaseNanos(), "grant_lease_ms", timing.grantLeaseNanos(), 1);
		atLeast("view_lifetime_ms", timing.viewLifetimeNanos(), "gate_lease_ms", timing.gateLeaseNanos(), 1);
		return timing;
	}

	ConsensusTiming consensus(ControlTiming control) {
		ConsensusTiming timing = new ConsensusTiming(nanos("consensus_heartbeat_ms", CONSENSUS.heartbeatNanos()),
				nanos("min_election_ms", CONSENSUS.minElectionNanos()),
				nanos("max_election_ms", CONSENSUS.maxElectionNanos()), CONSENSUS.driftBound());
		atLeast("min_election_ms", timing.minElectionNanos(), "consensus_heartbeat_ms", timing.heartbeatNanos(),
				HEARTBEATS_PER_LEASE);
		if (this.table.valid("min_election_ms", "max_election_ms")
				&& timing.maxElectionNanos() <= timing.minElectionNanos()) {
			this.table.refuse(this.table.has("max_election_ms") ? "max_election_ms" : "min_election_ms",
					"max_election_ms is " + millis(timing.maxElectionNanos()) + " and min_election_ms is "
							+ millis(timing.minElectionNanos())
							+ "; allowed: a larger max_election_ms, since equal timeouts split votes");
		}
		// Entry instances keep their gate leases through one election.
		atLeast("gate_lease_ms", control.gateLeaseNanos(), "max_election_ms", timing.maxElectionNanos(), 1);
		return timing;
	}

	private void refuseGrantsEndedByOneTimeout(ControlTiming timing) {
		List<String> fields = List.of("grant_timeout_ms", "grant_renewal_ms", "grant_lease_ms");
		long needed = timing.grantRenewalNanos() + timing.grantTimeoutNanos();
		if (fields.stream().allMatch(this.table::valid) && needed > timing.grantLeaseNanos()) {
			String field = fields.stream().filter(this.table::has).findFirst().orElse("grant_lease_ms");
			this.table.refuse(field, "grant_lease_ms is " + millis(timing.grantLeaseNanos())
					+ "; allowed: a grant_lease_ms of at least grant_renewal_ms plus grant_timeout_ms, which is "
					+ millis(needed) + ", since one renewal that times out must not end a grant");
		}
	}

	private long nanos(String field, long fallback) {
		return nanos(field, fallback, MAX_MILLIS);
	}

	private long nanos(String field, long fallback, long maxMillis) {
		return TimeUnit.MILLISECONDS.toNanos(this.table.optionalNumber(field, 1, maxMillis).orElse(millis(fallback)));
	}

	private void atLeast(String field, long nanos, String other, long otherNanos, int factor) {
		if (this.table.valid(field, other) && nanos < factor * otherNanos) {
			this.table.refuse(this.table.has(field) ? field : other,
					field + " is " + millis(nanos) + " and " + other + " is " + millis(otherNanos) + "; allowed: "
							+ field + " of at least " + ((factor > 1) ? factor + " times " : "") + other);
		}
	}

	private static long millis(long nanos) {
		return TimeUnit.NANOSECONDS.toMillis(nanos);
	}

}
