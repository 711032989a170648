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
 * Callers, entries, gates and targets of one service. Requests arrive independently of
 * answers (open loop). Not thread safe.
 */
final class ServiceModel {

	/** How old the figures of other entries' gates are that a choice rests on. */
	static final long REPORT_PERIOD = 100 * VirtualTime.MILLIS;

	private static final long DEADLINE = VirtualTime.SECONDS;

	private static final int MOST_SENDS = 3;

	private static final int BUDGET_MINIMUM = 10;

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

	private final RetryBudget budget;

	private final HedgePolicy hedges;

	private final RunResult result;

	private final ShardMap shards;

	private final boolean[] available;

	private final EntryLoads loads;

	private Set<String> ejected = Set.of();

	private long nextSend;

	ServiceModel(Deployment deployment, Service service, Safeguards safeguards, long seed, long measuredFrom) {
		this.deployment = deployment;
		this.service = service;
		this.safeguards = safeguards;
		SplittableRandom seeds = new SplittableRandom(seed);
		this.random = seeds.split();
		this.chooser = (safeguards.choice()) ? TargetChoosers.powerOfTwo(seeds.split()) : TargetChoosers.roundRobin();
		this.budget = RetryBudgets.ratio((safeguards.budget()) ? RetryBudgets.DEFAULT_SHARE : 1, BUDGET_MINIMUM);
		this.hedges = (safeguards.hedges() && !service.sharded())
				? HedgePolicies.quantile(HedgePolicies.DEFAULT_QUANTILE, this.budget) : HedgePolicies.none();
		this.result = new RunResult(measuredFrom);
		this.shards = new ShardMap(this.time, service.targets());
		this.available = new boolean[service.targets()];
		Arrays.fill(this.available, true);
		this.loads = new EntryLoads(deployment.entries(), service.targets());
		IntStream.range(0, service.targets()).forEach((target) -> addTarget(seeds.split()));
		report();
		this.time.every(REPORT_PERIOD, this::report);
	}

	VirtualTime time() {
		return this.time;
	}

	List<ModelTarget> targets() {
		return this.targets;
	}

	/**
	 * Makes a target cold.
	 * @param target the target's index
	 * @param told whether its gate learns it, as after a restart with a new boot id
	 */
	void chill(int target, boolean told) {
		this.targets.get(target).chill();
		if (told) {
			this.gates.get(target).cold();
		}
	}

	ModelGate gate(int target) {
		return this.gates.get(target);
	}

	ShardMap shards() {
		return this.shards;
	}

	Map<String, Double> slow() {
		return this.detector.slow(this.time.now());
	}

	void available(int target, boolean chosen) {
		this.available[target] = chosen;
	}

	/**
	 * Ends all sends to a target whose loss is known.
	 * @param target the target's index
	 */
	void lost(int target) {
		sendsTo(target).forEach((send) -> {
			ModelRequest request = this.sends.get(send);
			boolean started = this.gates.get(target).started(send);
			this.gates.get(target).end(send, GateResult.LOST);
			if (started) {
				ended(send, GateResult.LOST);
			}
			else {
				resend(send, request);
			}
		});
	}

	/**
	 * Takes a slice's waiting requests out of its former owner's queue.
	 * @param slice the slice
	 * @param target the former owner
	 */
	void withdraw(int slice, int target) {
		sendsTo(target).stream()
			.filter((send) -> this.sends.get(send).key == slice && !this.gates.get(target).started(send))
			.forEach((send) -> {
				this.gates.get(target).end(send, GateResult.NOT_SENT);
				resend(send, this.sends.get(send));
			});
	}

	boolean inFlight(int slice, int target) {
		return sendsTo(target).stream()
			.anyMatch((send) -> this.sends.get(send).key == slice && this.gates.get(target).started(send));
	}

	boolean sharded() {
		return this.service.sharded();
	}

	private List<Long> sendsTo(int target) {
		return this.sends.entrySet()
			.stream()
			.filter((send) -> send.getValue().open.getOrDefault(send.getKey(), -1) == target)
			.map(Map.Entry::getKey)
			.sorted()
			.toList();
	}

	int mostRunning() {
		return this.targets.stream().mapToInt(ModelTarget::mostRunning).max().orElse(0);
	}

	int failures() {
		return this.targets.stream().mapToInt(ModelTarget::failures).sum();
	}

	int coldOverloads() {
		return this.targets.stream().mapToInt(ModelTarget::coldOverloads).sum();
	}

	/**
	 * Runs the model with callers that send at a steady mean rate.
	 * @param rate the requests per second
	 * @param end the virtual time at which the last request arrives
	 * @return what the callers saw
	 */
	RunResult run(double rate, long end) {
		this.result.until(end);
		arrive(rate, end);
		this.time.run(end + 2 * DEADLINE);
		return this.result;
	}

	private void addTarget(RandomGenerator targetRandom) {
		ModelTarget target = new ModelTarget(this.time, targetRandom, this.deployment.slots());
		String name = Integer.toString(this.targets.size());
		this.targets.add(target);
		this.gates.add(new ModelGate(this.time, this.deployment, name,
				TargetGates.create(this.safeguards.gate(this.deployment.slots()), 0), target, this.detector,
				this::ended));
	}

	/**
	 * Returns the normal service time as a gate measures it.
	 * @return the service time and both ways to the target in nanoseconds
	 */
	private long normalNanos() {
		return ModelTarget.SERVICE_NANOS + 2 * this.deployment.hopNanos();
	}

	private void report() {
		IntStream.range(0, this.deployment.entries())
			.forEach((entry) -> IntStream.range(0, this.gates.size())
				.forEach((target) -> this.loads.report(entry, target, this.gates.get(target).status())));
		this.ejected = (this.safeguards.choice()) ? this.detector.ejected(this.time.now()) : Set.of();
	}

	private void arrive(double rate, long end) {
		long gap = (long) (-Math.log(1 - this.random.nextDouble()) * VirtualTime.SECONDS / rate);
		this.time.after(gap, () -> {
			if (this.time.now() <= end) {
				submit();
				arrive(rate, end);
			}
		});
	}

	private void submit() {
		double drawn = this.random.nextDouble();
		RequestClass requestClass = (drawn < DEFERRABLE_SHARE) ? RequestClass.DEFERRABLE
				: (drawn < DEFERRABLE_SHARE + AT_MOST_ONCE_SHARE) ? RequestClass.AT_MOST_ONCE : RequestClass.IDEMPOTENT;
		long now = this.time.now();
		ModelRequest request = new ModelRequest(now, now + DEADLINE, requestClass,
				this.random.nextInt(this.deployment.entries()), this.random.nextInt(ShardMap.SLICES));
		this.result.arrived(now);
		this.budget.requested();
		this.time.after(this.deployment.callerNanos(), () -> {
			send(request);
			this.hedges.delay(requestClass).ifPresent((delay) -> this.time.after(delay, () -> hedge(request)));
		});
		this.time.at(request.deadline, () -> expire(request));
	}

	private void hedge(ModelRequest request) {
		if (!request.done && request.tried.size() == 1 && request.open.size() == 1 && this.hedges.tryHedge()) {
			send(request);
		}
	}

	private boolean waits(ModelRequest request) {
		return this.service.sharded() && this.shards.blocked(request.key);
	}

	private void send(ModelRequest request) {
		if (request.done) {
			return;
		}
		if (waits(request)) {
			this.shards.await(request.key, () -> send(request));
			return;
		}
		Optional<Integer> chosen = choose(request);
		if (chosen.isEmpty()) {
			end(request, false);
			return;
		}
		int target = chosen.get();
		long id = this.nextSend++;
		request.tried.add(target);
		request.open.put(id, target);
		this.sends.put(id, request);
		this.loads.sent(request.entry, target);
		this.result.attempted(request.arrival);
		long answerBy = request.deadline - this.deployment.callerNanos() - this.deployment.hopNanos();
		this.time.after(this.deployment.hopNanos(), () -> {
			if (waits(request) || (this.service.sharded() && this.shards.owner(request.key) != target)) {
				resend(id, request);
			}
			else if (this.sends.containsKey(id)) {
				this.gates.get(target).offer(id, request.requestClass, answerBy);
			}
		});
	}

	private void resend(long id, ModelRequest request) {
		if (this.sends.remove(id) != null) {
			close(request, id);
			send(request);
		}
	}

	private Optional<Integer> choose(ModelRequest request) {
		if (this.service.sharded()) {
			return Optional.of(this.shards.owner(request.key));
		}
		List<Candidate> candidates = IntStream.range(0, this.service.targets())
			.filter((target) -> this.available[target] && !request.tried.contains(target))
			.mapToObj((target) -> this.loads.candidate(request.entry, target,
					this.ejected.contains(Integer.toString(target))))
			.toList();
		return this.chooser.choose(candidates).map(Integer::valueOf);
	}

	private void close(ModelRequest request, long id) {
		Integer target = request.open.remove(id);
		if (target != null) {
			this.loads.ended(request.entry, target);
		}
	}

	private void ended(long id, GateResult gateResult) {
		ModelRequest request = this.sends.remove(id);
		if (request == null) {
			return;
		}
		int target = request.open.getOrDefault(id, 0);
		GateStatus status = this.gates.get(target).status();
		this.time.after(this.deployment.hopNanos(), () -> {
			close(request, id);
			this.loads.report(request.entry, target, status);
			if (request.done) {
				return;
			}
			if (gateResult == GateResult.ANSWERED) {
				end(request, true);
			}
			else if (request.open.isEmpty()) {
				retry(request, gateResult);
			}
		});
	}

	private void retry(ModelRequest request, GateResult gateResult) {
		boolean safe = gateResult == GateResult.NOT_SENT || request.requestClass.retryable();
		// A sharded service has one owner for the key: its refusal is final.
		boolean elsewhere = !this.service.sharded() || gateResult != GateResult.NOT_SENT;
		if (safe && elsewhere && request.tried.size() < MOST_SENDS && this.budget.tryRetry()) {
			send(request);
		}
		else {
			end(request, false);
		}
	}

	private void end(ModelRequest request, boolean success) {
		request.done = true;
		stopOpenSends(request, GateResult.CANCELLED);
		long nanos = this.time.now() + this.deployment.callerNanos() - request.arrival;
		if (success && nanos <= DEADLINE) {
			this.hedges.answered(nanos - this.deployment.callerNanos() * 2);
			this.result.ended(request.arrival, nanos, true);
		}
		else {
			this.result.ended(request.arrival, DEADLINE, false);
		}
	}

	private void expire(ModelRequest request) {
		if (!request.done) {
			request.done = true;
			stopOpenSends(request, GateResult.LOST);
			this.result.ended(request.arrival, DEADLINE, false);
		}
	}

	private void stopOpenSends(ModelRequest request, GateResult why) {
		List.copyOf(request.open.entrySet()).forEach((open) -> {
			this.sends.remove(open.getKey());
			close(request, open.getKey());
			this.time.after(this.deployment.hopNanos(), () -> this.gates.get(open.getValue()).end(open.getKey(), why));
		});
	}

}
