package org.redwingramp.bench.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.redwingramp.core.control.ControlSnapshot;
import org.redwingramp.core.control.RequestIdentity;
import org.redwingramp.core.model.ShardId;

/**
 * Checks the invariants of shard ownership and request execution against the grants and
 * requests at the targets and the answers at the callers. Not thread safe.
 */
final class ControlChecks {

	private final ControlWorkload workload;

	private final Map<ShardId, Long> highestFences = new HashMap<>();

	private final Map<String, Long> highestEpochs = new HashMap<>();

	private final Map<RequestIdentity, Integer> executions = new HashMap<>();

	private final Set<Long> executedSubmissions = new HashSet<>();

	private final Set<Long> refusedSubmissions = new HashSet<>();

	private final Set<RequestIdentity> answered = new HashSet<>();

	private final Map<String, Map<Long, String>> runningByKey = new TreeMap<>();

	private final Map<String, Long> operationCounts = new TreeMap<>();

	private long lookups;

	ControlChecks(ControlWorkload workload) {
		this.workload = workload;
	}

	Map<String, Long> operationCounts() {
		return this.operationCounts;
	}

	long lookups() {
		return this.lookups;
	}

	int answeredRequests() {
		return this.answered.size();
	}

	// A target starts to own a shard only by a grant, and otherwise only loses ownership,
	// so a second owner is detected here first.
	void grantApplied(TargetProcess target) {
		target.shards().forEach((shard, fence) -> {
			if (target.serves(shard)) {
				this.workload.targets()
					.stream()
					.filter((other) -> other != target && other.serves(shard))
					.forEach((other) -> violation(shard + " is served by " + target.name() + " with fence " + fence
							+ " and " + other.name() + " with fence " + other.shards().get(shard)));
				Long previous = this.highestFences.get(shard);
				long highest = this.highestFences.merge(shard, fence, Math::max);
				this.operationCounts.merge("ownership changes", (previous == null || previous < fence) ? 1L : 0L,
						Long::sum);
				if (highest > fence) {
					violation("the fence of " + shard + " went from " + highest + " to " + fence + " at "
							+ target.name());
				}
			}
		});
	}

	void executionStarted(TargetProcess target, ServiceRequest request, ShardId shard, long fence) {
		Map<Long, String> sameKey = this.runningByKey.computeIfAbsent(request.key(), (key) -> new TreeMap<>());
		sameKey.values()
			.stream()
			.filter((other) -> !other.equals(target.name()))
			.filter((other) -> this.workload.target(other).filter(TargetProcess::holdsLease).isPresent())
			.forEach((other) -> violation(request.key() + " runs on " + target.name() + " and " + other));
		sameKey.put(request.submission(), target.name());
		if (!this.executedSubmissions.add(request.submission())) {
			violation("submission " + request.submission() + " was sent twice");
		}
		if (this.refusedSubmissions.contains(request.submission())) {
			violation("submission " + request.submission() + " runs on " + target.name() + " after a not-run answer");
		}
		if (request.atMostOnce() && this.executions.merge(request.identity(), 1, Integer::sum) > 1) {
			violation("request " + request.identity().key() + " runs a second time on " + target.name());
		}
		this.highestFences.merge(shard, fence, Math::max);
	}

	void executionEnded(TargetProcess target, ServiceRequest request) {
		this.runningByKey.getOrDefault(request.key(), Map.of()).remove(request.submission());
	}

	void targetStopped(TargetProcess target) {
		this.runningByKey.values().forEach((sameKey) -> sameKey.values().removeIf(target.name()::equals));
	}

	void answerReceived(ServiceRequest request, ServiceRequest.Answer answer) {
		String kind = request.atMostOnce() ? "at-most-once requests " : "lookups ";
		this.operationCounts.merge(kind + answer.name().toLowerCase(Locale.ROOT).replace('_', ' '), 1L, Long::sum);
		switch (answer) {
			case NOT_RUN -> notRunReceived(request);
			case ANSWERED -> answeredReceived(request);
			default -> {
			}
		}
	}

	private void notRunReceived(ServiceRequest request) {
		this.refusedSubmissions.add(request.submission());
		if (this.executedSubmissions.contains(request.submission())) {
			violation("submission " + request.submission() + " got a not-run answer but ran");
		}
	}

	private void answeredReceived(ServiceRequest request) {
		if (!request.atMostOnce()) {
			this.lookups++;
			return;
		}
		this.answered.add(request.identity());
		if (this.executions.getOrDefault(request.identity(), 0) != 1) {
			violation("request " + request.identity().key() + " was answered but ran "
					+ this.executions.getOrDefault(request.identity(), 0) + " times");
		}
	}

	void checkGateEpochs(ControlSnapshot snapshot) {
		snapshot.targets().forEach((target) -> {
			long highest = this.highestEpochs.merge(target.spec().name(), target.gateEpoch(), Math::max);
			if (highest > target.gateEpoch()) {
				violation("the gate epoch of " + target.spec().name() + " went from " + highest + " to "
						+ target.gateEpoch());
			}
		});
	}

	void checkAnswersKept(ControlSnapshot snapshot) {
		Set<RequestIdentity> kept = new HashSet<>();
		snapshot.ledger()
			.stream()
			.filter((record) -> record.answer().isPresent())
			.forEach((record) -> kept.add(record.request()));
		this.answered.stream()
			.filter((identity) -> !kept.contains(identity))
			.forEach((identity) -> violation("the answer of request " + identity.key() + " is lost"));
	}

	private void violation(String what) {
		this.workload.cluster().trace().violation(what);
	}

}
