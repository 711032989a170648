package org.redwingramp.bench.standin;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The grants that a target holds and the checks of requests against them. Thread safe.
 *
 * <p>
 * Invariants: the gate epoch never falls; a request passes only under the current epoch,
 * within the lease and with the granted fence of its shard.
 */
final class Grants {

	private final long started = System.nanoTime();

	private final Map<String, Long> fences = new HashMap<>();

	private final Map<String, Integer> refusals = new TreeMap<>();

	private long epoch;

	private long number;

	private long leaseUntil;

	long clockMillis() {
		return 1 + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.started);
	}

	// Takes a grant.
	// @return whether it is newer than all before
	synchronized boolean grant(JsonNode grant) {
		long granted = grant.path("epoch").asLong();
		long grantNumber = grant.path("number").asLong();
		if (granted < this.epoch || (granted == this.epoch && grantNumber <= this.number)) {
			return false;
		}
		this.epoch = granted;
		this.number = grantNumber;
		this.leaseUntil = grant.path("leaseUntil").asLong();
		this.fences.clear();
		grant.path("shards")
			.forEach((shard) -> this.fences.put(shard.path("shard").asText(), shard.path("fence").asLong()));
		return true;
	}

	synchronized long epoch() {
		return this.epoch;
	}

	synchronized long number() {
		return this.number;
	}

	synchronized int shards() {
		return this.fences.size();
	}

	// Checks a request.
	// @return why it must not run, or empty
	synchronized Optional<String> refusal(long requestEpoch, String shard, long fence) {
		Optional<String> reason = reason(requestEpoch, shard, fence);
		reason.ifPresent((found) -> this.refusals.merge(found, 1, Integer::sum));
		return reason;
	}

	private Optional<String> reason(long requestEpoch, String shard, long fence) {
		if (requestEpoch != this.epoch) {
			return Optional.of("epoch");
		}
		if (clockMillis() >= this.leaseUntil) {
			return Optional.of("lease");
		}
		if (shard != null && this.fences.getOrDefault(shard, -1L) != fence) {
			return Optional.of("fence");
		}
		return Optional.empty();
	}

	synchronized Map<String, Integer> refusals() {
		return new TreeMap<>(this.refusals);
	}

}
