package org.redwingramp.bench.target;

import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The grants of a stand-in target: the highest gate epoch, the end of the lease on its
 * own clock and the fences of its shards. Thread safe.
 */
final class GrantTable {

	private final LongSupplier clockMillis;

	private long epoch;

	private long number;

	private long leaseUntilMillis;

	private Map<String, Long> fences = Map.of();

	GrantTable(LongSupplier clockMillis) {
		this.clockMillis = clockMillis;
	}

	synchronized long number() {
		return this.number;
	}

	synchronized long epoch() {
		return this.epoch;
	}

	// Takes a grant.
	// @return whether it was accepted, which it is unless its epoch is lower than one
	// seen
	synchronized boolean accept(long grantEpoch, long grantNumber, long leaseUntil, Map<String, Long> shards) {
		if (grantEpoch < this.epoch || (grantEpoch == this.epoch && grantNumber <= this.number)) {
			return false;
		}
		this.epoch = grantEpoch;
		this.number = grantNumber;
		this.leaseUntilMillis = leaseUntil;
		this.fences = Map.copyOf(shards);
		return true;
	}

	// Returns why a request must not run.
	// @return the reason, empty if it may run
	synchronized String objection(long requestEpoch, String shard, long fence) {
		if (requestEpoch < this.epoch) {
			return "gate epoch " + requestEpoch + " is lower than " + this.epoch;
		}
		if (this.clockMillis.getAsLong() >= this.leaseUntilMillis) {
			return "the grant lease is over";
		}
		if (shard == null) {
			return "";
		}
		Long granted = this.fences.get(shard);
		if (granted == null) {
			return "shard " + shard + " is not granted";
		}
		return (fence == granted) ? "" : "fence " + fence + " is not the granted fence " + granted;
	}

}
