package org.redwingramp.bench.standin;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The latest grant that a target has accepted from a gate, and the check of requests
 * against it. Thread safe.
 *
 * <p>
 * Invariants: the gate epoch never decreases; a request is accepted only with the current
 * gate epoch, before the lease expires and with the granted fence of its shard (a fencing
 * token that rises with each owner).
 */
final class Grants {

	private final long startNanos = System.nanoTime();

	private final Map<String, Long> fences = new HashMap<>();

	private final Map<String, Integer> refusalCounts = new TreeMap<>();

	private long epoch;

	private long grantNumber;

	private long leaseUntilMillis;

	// The target's clock, in which the gate states the end of the lease. It is positive.
	long clockMillis() {
		return 1 + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startNanos);
	}

	// Applies a grant unless the same or a newer one has been applied.
	// @return whether the grant was applied
	synchronized boolean apply(JsonNode grant) {
		long newEpoch = grant.path("epoch").asLong();
		long newNumber = grant.path("number").asLong();
		if (newEpoch < this.epoch || (newEpoch == this.epoch && newNumber <= this.grantNumber)) {
			return false;
		}
		this.epoch = newEpoch;
		this.grantNumber = newNumber;
		this.leaseUntilMillis = grant.path("leaseUntil").asLong();
		this.fences.clear();
		grant.path("shards")
			.forEach((shard) -> this.fences.put(shard.path("shard").asText(), shard.path("fence").asLong()));
		return true;
	}

	synchronized long epoch() {
		return this.epoch;
	}

	synchronized long grantNumber() {
		return this.grantNumber;
	}

	synchronized int shardCount() {
		return this.fences.size();
	}

	// Checks a request and counts the refusal.
	// @return the reason why the request must not run, or empty if it may run
	synchronized Optional<String> checkRequest(long requestEpoch, String shard, long fence) {
		Optional<String> reason = refusalReason(requestEpoch, shard, fence);
		reason.ifPresent((refusal) -> this.refusalCounts.merge(refusal, 1, Integer::sum));
		return reason;
	}

	private Optional<String> refusalReason(long requestEpoch, String shard, long fence) {
		if (requestEpoch != this.epoch) {
			return Optional.of("epoch");
		}
		if (clockMillis() >= this.leaseUntilMillis) {
			return Optional.of("lease");
		}
		if (shard != null && this.fences.getOrDefault(shard, -1L) != fence) {
			return Optional.of("fence");
		}
		return Optional.empty();
	}

	synchronized Map<String, Integer> refusalCounts() {
		return new TreeMap<>(this.refusalCounts);
	}

}
