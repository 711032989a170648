package org.redwingramp.core.ownership;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.redwingramp.core.ownership.RangeLease.Phase;

/**
 * Figures about all leases at one time, for metrics and log lines. Immutable and thread
 * safe.
 *
 * @param leases the number of leases
 * @param unanswered the number of leases whose owner hasn't answered the last grant
 * @param oldestUnansweredNanos the age in nanoseconds of the oldest unanswered grant, 0
 * if there is none
 * @param notServing the number of leases that aren't serving, by phase; a phase without
 * such leases is missing
 */
public record LeaseSummary(long leases, long unanswered, long oldestUnansweredNanos, Map<Phase, Long> notServing) {

	static LeaseSummary of(List<RangeLease> leases, long now) {
		Map<Phase, Long> notServing = new EnumMap<>(Phase.class);
		leases.stream()
			.filter((lease) -> !lease.serving())
			.forEach((lease) -> notServing.merge(lease.phase(), 1L, Long::sum));
		List<Long> ages = leases.stream()
			.flatMap((lease) -> lease.unansweredSinceNanos().stream())
			.map((since) -> now - since)
			.toList();
		return new LeaseSummary(leases.size(), ages.size(), ages.stream().mapToLong(Long::longValue).max().orElse(0),
				Map.copyOf(notServing));
	}

}
