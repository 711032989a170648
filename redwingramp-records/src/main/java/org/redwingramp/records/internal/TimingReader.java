package org.redwingramp.records.internal;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.redwingramp.core.consensus.ConsensusTiming;
import org.redwingramp.core.control.ControlTiming;

/**
 * Reads the table {@code [timing]} and checks that leases and timeouts are long enough
 * relative to heartbeats and renewals. Not thread safe; use one instance per parse.
 */
final class TimingReader {

	private static final ControlTiming CONTROL_DEFAULTS = ControlTiming.DEFAULT;

	private static final ConsensusTiming CONSENSUS_DEFAULTS = ConsensusTiming.DEFAULT;

	/** The bound on new requests to a drained failure domain relies on this maximum. */
	private static final long MAX_VIEW_LIFETIME_MILLIS = 3_000;

	private static final long MAX_MILLIS = 60_000;

	/** A lease must survive the loss of two heartbeats. */
	private static final int MIN_HEARTBEATS_PER_LEASE = 3;

	/** A grant must survive the loss of one renewal. */
	private static final int MIN_RENEWALS_PER_GRANT = 2;

	private final TableReader table;

	TimingReader(TableReader table) {
		this.table = table;
	}

	ControlTiming control() {
		ControlTiming timing = new ControlTiming(
				readNanos("entry_heartbeat_ms", CONTROL_DEFAULTS.entryHeartbeatNanos()),
				readNanos("gate_lease_ms", CONTROL_DEFAULTS.gateLeaseNanos()),
				readNanos("grant_lease_ms", CONTROL_DEFAULTS.grantLeaseNanos()),
				readNanos("grant_renewal_ms", CONTROL_DEFAULTS.grantRenewalNanos()),
				readNanos("grant_timeout_ms", CONTROL_DEFAULTS.grantTimeoutNanos()),
				readNanos("view_lifetime_ms", CONTROL_DEFAULTS.viewLifetimeNanos(), MAX_VIEW_LIFETIME_MILLIS),
				CONTROL_DEFAULTS.driftBound());
		checkAtLeast("gate_lease_ms", timing.gateLeaseNanos(), "entry_heartbeat_ms", timing.entryHeartbeatNanos(),
				MIN_HEARTBEATS_PER_LEASE);
		checkAtLeast("grant_lease_ms", timing.grantLeaseNanos(), "grant_renewal_ms", timing.grantRenewalNanos(),
				MIN_RENEWALS_PER_GRANT);
		checkGrantSurvivesOneTimeout(timing);
		checkAtLeast("gate_lease_ms", timing.gateLeaseNanos(), "grant_lease_ms", timing.grantLeaseNanos(), 1);
		checkAtLeast("view_lifetime_ms", timing.viewLifetimeNanos(), "gate_lease_ms", timing.gateLeaseNanos(), 1);
		return timing;
	}

	ConsensusTiming consensus(ControlTiming control) {
		ConsensusTiming timing = new ConsensusTiming(
				readNanos("consensus_heartbeat_ms", CONSENSUS_DEFAULTS.heartbeatNanos()),
				readNanos("min_election_ms", CONSENSUS_DEFAULTS.minElectionNanos()),
				readNanos("max_election_ms", CONSENSUS_DEFAULTS.maxElectionNanos()), CONSENSUS_DEFAULTS.driftBound());
		checkAtLeast("min_election_ms", timing.minElectionNanos(), "consensus_heartbeat_ms", timing.heartbeatNanos(),
				MIN_HEARTBEATS_PER_LEASE);
		if (this.table.valid("min_election_ms", "max_election_ms")
				&& timing.maxElectionNanos() <= timing.minElectionNanos()) {
			this.table.addFinding(this.table.has("max_election_ms") ? "max_election_ms" : "min_election_ms",
					"max_election_ms is " + millis(timing.maxElectionNanos()) + " and min_election_ms is "
							+ millis(timing.minElectionNanos())
							+ "; max_election_ms must be larger, since equal timeouts cause split votes");
		}
		// Entry instances must be able to keep their gate leases during an election.
		checkAtLeast("gate_lease_ms", control.gateLeaseNanos(), "max_election_ms", timing.maxElectionNanos(), 1);
		return timing;
	}

	private void checkGrantSurvivesOneTimeout(ControlTiming timing) {
		List<String> fields = List.of("grant_timeout_ms", "grant_renewal_ms", "grant_lease_ms");
		long minLeaseNanos = timing.grantRenewalNanos() + timing.grantTimeoutNanos();
		if (fields.stream().allMatch(this.table::valid) && minLeaseNanos > timing.grantLeaseNanos()) {
			String field = fields.stream().filter(this.table::has).findFirst().orElse("grant_lease_ms");
			this.table.addFinding(field,
					"grant_lease_ms is " + millis(timing.grantLeaseNanos())
							+ "; it must be at least grant_renewal_ms plus grant_timeout_ms, which is "
							+ millis(minLeaseNanos) + ", since a grant must survive one renewal that times out");
		}
	}

	private long readNanos(String field, long defaultNanos) {
		return readNanos(field, defaultNanos, MAX_MILLIS);
	}

	private long readNanos(String field, long defaultNanos, long maxMillis) {
		return TimeUnit.MILLISECONDS
			.toNanos(this.table.optionalNumber(field, 1, maxMillis).orElse(millis(defaultNanos)));
	}

	private void checkAtLeast(String field, long nanos, String other, long otherNanos, int minRatio) {
		if (this.table.valid(field, other) && nanos < minRatio * otherNanos) {
			this.table.addFinding(this.table.has(field) ? field : other,
					field + " is " + millis(nanos) + " and " + other + " is " + millis(otherNanos) + "; " + field
							+ " must be at least " + ((minRatio > 1) ? minRatio + " times " : "") + other);
		}
	}

	private static long millis(long nanos) {
		return TimeUnit.NANOSECONDS.toMillis(nanos);
	}

}
