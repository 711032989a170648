package org.redwingramp.bench.measure;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

import org.redwingramp.bench.measure.Deployment.Service;
import org.redwingramp.core.model.RequestClass;
import org.redwingramp.core.routing.HedgePolicies;
import org.redwingramp.core.routing.HedgePolicy;
import org.redwingramp.core.routing.RetryBudget;
import org.redwingramp.core.routing.RetryBudgets;
import org.redwingramp.core.routing.StragglerDetector;
import org.redwingramp.core.routing.StragglerDetectors;
import org.redwingramp.core.routing.TargetChooser;
import org.redwingramp.core.routing.TargetChooser.Candidate;
import org.redwingramp.core.routing.TargetChoosers;
import org.redwingramp.core.routing.TargetGate.GateResult;
import org.redwingramp.core.routing.TargetGate.GateStatus;
import org.redwingramp.core.routing.TargetGates;

/**
 * A model of the callers, entries, gates and targets of one service. Requests arrive
 * independently of responses (open loop). Not thread safe.
 */
final class ServiceModel {

	/**
	 * The interval at which gates report their status to the entries, and thereby the
	 * maximum age of the status that the choice of a target is based on.
	 */
	static final long REPORT_PERIOD_NANOS = 100 * VirtualTime.MILLIS;

	private static final long DEADLINE_NANOS = VirtualTime.SECONDS;

	private static final int MAX_TARGETS_TRIED = 3;

	private static final int MIN_RETRY_BUDGET = 10;

	private static final double AT_MOST_ONCE_SHARE = 0.2;

	private static final double DEFERRABLE_SHARE = 0.1;

	private final VirtualTime time = new VirtualTime();

	private final Map<Long, ModelRequest> sends = new HashMap<>();

	private final List<ModelTarget> targets = new ArrayList<>();

	private final List<ModelGate> gates = new ArrayList<>();

	private final Deployment deployment;

	private final Service service;

	private final Safeguards safeguards;

	private final RandomGenerator random;

	private final StragglerDetector detector = StragglerDetectors.create();

	private final TargetChooser chooser;

	private final RetryBudget retryBudget;

	private final HedgePolicy hedges;

	private final RunResult result;

	private final ShardMap shards;

	private final boolean[] available;

	private final EntryLoads loads;

	private Set<String> ejected = Set.of();

	private long nextSendId;

	ServiceModel(Deployment deployment, Service service, Safeguards safeguards, long seed, long measuredFrom) {
		this.deployment = deployment;
		this.service = service;
		this.safeguards = safeguards;
		SplittableRandom seeds = new SplittableRandom(seed);
		this.random = seeds.split();
		this.chooser = (safeguards.loadAwareChoice()) ? TargetChoosers.powerOfTwo(seeds.split())
				: TargetChoosers.roundRobin();
		this.retryBudget = RetryBudgets.ratio((safeguards.retryBudget()) ? RetryBudgets.DEFAULT_SHARE : 1,
				MIN_RETRY_BUDGET);
		this.hedges = (safeguards.hedges() && !service.sharded())
				? HedgePolicies.quantile(HedgePolicies.DEFAULT_QUANTILE, this.retryBudget) : HedgePolicies.none();
		this.result = new RunResult(measuredFrom);
		this.shards = new ShardMap(this.time, service.targets());
		this.available = new boolean[service.targets()];
		Arrays.fill(this.available, true);
		this.loads = new EntryLoads(deployment.entries(), service.targets());
		IntStream.range(0, service.targets()).forEach((target) -> addTarget(seeds.split()));
		reportStatus();
		this.time.every(REPORT_PERIOD_NANOS, this::reportStatus);
	}

	VirtualTime time() {
		return this.time;
	}

	List<ModelTarget> targets() {
		return this.targets;
	}

	/**
	 * Empties a target's cache.
	 * @param target the target's index
	 * @param gateNotified whether its gate is notified, as after a restart with a new
	 * boot id
	 */
	void makeCold(int target, boolean gateNotified) {
		this.targets.get(target).makeCold();
		if (gateNotified) {
			this.gates.get(target).markCold();
		}
	}

	ModelGate gate(int target) {
		return this.gates.get(target);
	}

	ShardMap shards() {
		return this.shards;
	}

	Map<String, Double> slowFactors() {
		return this.detector.slowTargets(this.time.now());
	}

	void setAvailable(int target, boolean newAvailable) {
		this.available[target] = newAvailable;
	}

	/**
	 * Ends all sends to a target that has been detected as lost. Requests that hadn't
	 * started are sent again.
	 * @param target the target's index
	 */
	void endSendsToLostTarget(int target) {
		sendsTo(target).forEach((send) -> {
			ModelRequest request = this.sends.get(send);
			boolean hasStarted = this.gates.get(target).hasStarted(send);
			this.gates.get(target).abort(send, GateResult.LOST);
			if (hasStarted) {
				onSendEnd(send, GateResult.LOST);
			}
			else {
				resend(send, request);
			}
		});
	}

	/**
	 * Removes a slice's waiting requests from the queue of its former owner and sends
	 * them again.
	 * @param slice the slice
	 * @param target the former owner
	 */
	void withdrawWaiting(int slice, int target) {
		sendsTo(target).stream()
			.filter((send) -> this.sends.get(send).key == slice && !this.gates.get(target).hasStarted(send))
			.forEach((send) -> {
				this.gates.get(target).abort(send, GateResult.NOT_SENT);
				resend(send, this.sends.get(send));
			});
	}

	boolean hasRequestsInFlight(int slice, int target) {
		return sendsTo(target).stream()
			.anyMatch((send) -> this.sends.get(send).key == slice && this.gates.get(target).hasStarted(send));
	}

	boolean sharded() {
		return this.service.sharded();
	}

	private List<Long> sendsTo(int target) {
		return this.sends.entrySet()
			.stream()
			.filter((send) -> send.getValue().openSends.getOrDefault(send.getKey(), -1) == target)
			.map(Map.Entry::getKey)
			.sorted()
			.toList();
	}

	int maxRunning() {
		return this.targets.stream().mapToInt(ModelTarget::maxRunning).max().orElse(0);
	}

	int failureCount() {
		return this.targets.stream().mapToInt(ModelTarget::failureCount).sum();
	}

	int coldOverloadCount() {
		return this.targets.stream().mapToInt(ModelTarget::coldOverloadCount).sum();
	}

	/**
	 * Runs the model with callers that send at a constant mean rate.
	 * @param rate the requests per second
	 * @param end the virtual time at which the last request arrives
	 * @return the statistics as seen by the callers
	 */
	RunResult run(double rate, long end) {
		this.result.measureUntil(end);
		scheduleArrivals(rate, end);
		this.time.run(end + 2 * DEADLINE_NANOS);
		return this.result;
	}

	private void addTarget(RandomGenerator targetRandom) {
		ModelTarget target = new ModelTarget(this.time, targetRandom, this.deployment.slots());
		String name = Integer.toString(this.targets.size());
		this.targets.add(target);
		this.gates.add(new ModelGate(this.time, this.deployment, name,
				TargetGates.create(this.safeguards.gateSettings(this.deployment.slots()), 0), target, this.detector,
				this::onSendEnd));
	}

	/**
	 * Returns the normal service time as a gate measures it.
	 * @return the service time and the round trip to the target in nanoseconds
	 */
	private long normalNanos() {
		return ModelTarget.MEAN_SERVICE_NANOS + 2 * this.deployment.hopNanos();
	}

	private void reportStatus() {
		IntStream.range(0, this.deployment.entries())
			.forEach((entry) -> IntStream.range(0, this.gates.size())
				.forEach((target) -> this.loads.recordReport(entry, target, this.gates.get(target).status())));
		this.ejected = (this.safeguards.loadAwareChoice()) ? this.detector.ejectedTargets(this.time.now()) : Set.of();
	}

	private void scheduleArrivals(double rate, long end) {
		long gap = (long) (-Math.log(1 - this.random.nextDouble()) * VirtualTime.SECONDS / rate);
		this.time.after(gap, () -> {
			if (this.time.now() <= end) {
				submit();
				scheduleArrivals(rate, end);
			}
		});
	}

	private void submit() {
		double drawn = this.random.nextDouble();
		RequestClass requestClass = (drawn < DEFERRABLE_SHARE) ? RequestClass.DEFERRABLE
				: (drawn < DEFERRABLE_SHARE + AT_MOST_ONCE_SHARE) ? RequestClass.AT_MOST_ONCE : RequestClass.IDEMPOTENT;
		long now = this.time.now();
		ModelRequest request = new ModelRequest(now, now + DEADLINE_NANOS, requestClass,
				this.random.nextInt(this.deployment.entries()), this.random.nextInt(ShardMap.SLICES));
		this.result.recordArrival(now);
		this.retryBudget.firstAttemptSent();
		this.time.after(this.deployment.callerNanos(), () -> {
			send(request);
			this.hedges.delay(requestClass).ifPresent((delay) -> this.time.after(delay, () -> hedge(request)));
		});
		this.time.at(request.deadlineNanos, () -> expire(request));
	}

	private void hedge(ModelRequest request) {
		if (!request.ended && request.triedTargets.size() == 1 && request.openSends.size() == 1
				&& this.hedges.tryHedge()) {
			send(request);
		}
	}

	private boolean mustWait(ModelRequest request) {
		return this.service.sharded() && this.shards.blocked(request.key);
	}

	private void send(ModelRequest request) {
		if (request.ended) {
			return;
		}
		if (mustWait(request)) {
			this.shards.runWhenAssigned(request.key, () -> send(request));
			return;
		}
		Optional<Integer> chosen = choose(request);
		if (chosen.isEmpty()) {
			endRequest(request, false);
			return;
		}
		int target = chosen.get();
		long id = this.nextSendId++;
		request.triedTargets.add(target);
		request.openSends.put(id, target);
		this.sends.put(id, request);
		this.loads.recordSend(request.entry, target);
		this.result.recordAttempt(request.arrivalNanos);
		long responseDeadline = request.deadlineNanos - this.deployment.callerNanos() - this.deployment.hopNanos();
		this.time.after(this.deployment.hopNanos(), () -> {
			if (mustWait(request) || (this.service.sharded() && this.shards.owner(request.key) != target)) {
				resend(id, request);
			}
			else if (this.sends.containsKey(id)) {
				this.gates.get(target).offer(id, request.requestClass, responseDeadline);
			}
		});
	}

	private void resend(long id, ModelRequest request) {
		if (this.sends.remove(id) != null) {
			closeSend(request, id);
			send(request);
		}
	}

	private Optional<Integer> choose(ModelRequest request) {
		if (this.service.sharded()) {
			return Optional.of(this.shards.owner(request.key));
		}
		List<Candidate> candidates = IntStream.range(0, this.service.targets())
			.filter((target) -> this.available[target] && !request.triedTargets.contains(target))
			.mapToObj((target) -> this.loads.candidate(request.entry, target,
					this.ejected.contains(Integer.toString(target))))
			.toList();
		return this.chooser.choose(candidates).map(Integer::valueOf);
	}

	private void closeSend(ModelRequest request, long id) {
		Integer target = request.openSends.remove(id);
		if (target != null) {
			this.loads.recordEnd(request.entry, target);
		}
	}

	private void onSendEnd(long id, GateResult gateResult) {
		ModelRequest request = this.sends.remove(id);
		if (request == null) {
			return;
		}
		int target = request.openSends.getOrDefault(id, 0);
		GateStatus status = this.gates.get(target).status();
		this.time.after(this.deployment.hopNanos(), () -> {
			closeSend(request, id);
			this.loads.recordReport(request.entry, target, status);
			if (request.ended) {
				return;
			}
			if (gateResult == GateResult.ANSWERED) {
				endRequest(request, true);
			}
			else if (request.openSends.isEmpty()) {
				retry(request, gateResult);
			}
		});
	}

	private void retry(ModelRequest request, GateResult gateResult) {
		boolean retrySafe = gateResult == GateResult.NOT_SENT || request.requestClass.retryable();
		// A key of a sharded service has one owner, so the owner's refusal is final.
		boolean resendUseful = !this.service.sharded() || gateResult != GateResult.NOT_SENT;
		if (retrySafe && resendUseful && request.triedTargets.size() < MAX_TARGETS_TRIED
				&& this.retryBudget.tryRetry()) {
			send(request);
		}
		else {
			endRequest(request, false);
		}
	}

	private void endRequest(ModelRequest request, boolean success) {
		request.ended = true;
		abortOpenSends(request, GateResult.CANCELLED);
		long nanos = this.time.now() + this.deployment.callerNanos() - request.arrivalNanos;
		if (success && nanos <= DEADLINE_NANOS) {
			this.hedges.responseReceived(nanos - this.deployment.callerNanos() * 2);
			this.result.recordEnd(request.arrivalNanos, nanos, true);
		}
		else {
			this.result.recordEnd(request.arrivalNanos, DEADLINE_NANOS, false);
		}
	}

	private void expire(ModelRequest request) {
		if (!request.ended) {
			request.ended = true;
			abortOpenSends(request, GateResult.LOST);
			this.result.recordEnd(request.arrivalNanos, DEADLINE_NANOS, false);
		}
	}

	private void abortOpenSends(ModelRequest request, GateResult why) {
		List.copyOf(request.openSends.entrySet()).forEach((open) -> {
			this.sends.remove(open.getKey());
			closeSend(request, open.getKey());
			this.time.after(this.deployment.hopNanos(),
					() -> this.gates.get(open.getValue()).abort(open.getKey(), why));
		});
	}

}
