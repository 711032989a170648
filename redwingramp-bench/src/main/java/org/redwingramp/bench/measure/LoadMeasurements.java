package org.redwingramp.bench.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;

import org.redwingramp.bench.measure.Deployment.Service;
import org.redwingramp.core.placement.PlacementPolicies;

/**
 * Measures the tail latency with slow targets, the goodput under overload and the
 * recovery after cold starts. Immutable and thread safe; each case is an independent run.
 */
public final class LoadMeasurements {

	/** Nothing is counted before the ramps of the gates have ended. */
	private static final long WARM_UP_NANOS = 2 * VirtualTime.SECONDS;

	private static final double SLOW_FACTOR = 4;

	private static final double TAIL_LOAD_SHARE = 0.4;

	private static final double COLD_LOAD_SHARE = 0.5;

	private static final double RECOVERED_SHARE = 0.99;

	private static final List<Integer> SLOWED_COUNTS = List.of(0, 1, 3, 6);

	private static final List<Double> LOAD_FACTORS = List.of(0.5, 1.0, 2.0, 4.0);

	private static final List<Safeguards> SETUPS = List.of(Safeguards.ALL, Safeguards.NONE);

	private final long seed;

	private final long measuredNanos;

	/**
	 * Creates the measurements.
	 * @param seed the seed of every run
	 * @param seconds the measured virtual time of each run
	 */
	public LoadMeasurements(long seed, int seconds) {
		this.seed = seed;
		this.measuredNanos = seconds * VirtualTime.SECONDS;
	}

	/**
	 * Returns the cases that measure tail latency.
	 * @param deployment the deployment
	 * @return the cases, independent of each other
	 */
	public List<Callable<List<Result>>> tailCases(Deployment deployment) {
		List<Callable<List<Result>>> cases = new ArrayList<>();
		deployment.services()
			.forEach((service) -> SETUPS.forEach((safeguards) -> SLOWED_COUNTS
				.forEach((slowedCount) -> cases.add(() -> measureTail(deployment, service, safeguards, slowedCount)))));
		return cases;
	}

	/**
	 * Returns the cases that measure overload.
	 * @param deployment the deployment
	 * @return the cases, independent of each other
	 */
	public List<Callable<List<Result>>> overloadCases(Deployment deployment) {
		List<Callable<List<Result>>> cases = new ArrayList<>();
		deployment.services()
			.forEach((service) -> SETUPS.forEach((safeguards) -> LOAD_FACTORS.forEach(
					(loadFactor) -> cases.add(() -> measureOverload(deployment, service, safeguards, loadFactor)))));
		return cases;
	}

	/**
	 * Returns the cases that measure cold starts.
	 * @param deployment the deployment
	 * @return the cases, independent of each other
	 */
	public List<Callable<List<Result>>> coldStartCases(Deployment deployment) {
		List<Callable<List<Result>>> cases = new ArrayList<>();
		int domains = deployment.domains().size();
		for (Service service : deployment.services()) {
			addColdStarts(cases, deployment, service, new ColdStart("one target", 1, 1));
			addColdStarts(cases, deployment, service,
					new ColdStart("failure domain", (service.targets() + domains - 1) / domains, domains));
			addColdStarts(cases, deployment, service, new ColdStart("all targets", service.targets(), 1));
		}
		return cases;
	}

	private void addColdStarts(List<Callable<List<Result>>> cases, Deployment deployment, Service service,
			ColdStart coldStart) {
		cases.add(() -> measureColdStart(deployment, service, Safeguards.ALL, coldStart, true));
		List.of(Safeguards.ALL, Safeguards.NO_RAMP, Safeguards.NONE)
			.forEach((safeguards) -> cases
				.add(() -> measureColdStart(deployment, service, safeguards, coldStart, false)));
	}

	private List<Result> measureTail(Deployment deployment, Service service, Safeguards safeguards, int slowedCount) {
		ServiceModel model = new ServiceModel(deployment, service, safeguards, this.seed, WARM_UP_NANOS);
		startShardMover(model, deployment, safeguards);
		model.time().at(WARM_UP_NANOS / 2, () -> slowDown(model, slowedCount));
		RunResult run = model.run(TAIL_LOAD_SHARE * deployment.capacity(service), WARM_UP_NANOS + this.measuredNanos);
		String name = service.name() + " slowed=" + slowedCount + " " + safeguards.name();
		ResultFactory factory = new ResultFactory(deployment, "tail-latency", name, run, this.seed);
		return List.of(factory.create("p50", run.latencyMillis(50), "ms"),
				factory.create("p99", run.latencyMillis(99), "ms"),
				factory.create("p99.9", run.latencyMillis(99.9), "ms"),
				factory.create("answered", run.answeredShare(), "share"));
	}

	// The controller moves slices away from targets that the gates detect as stragglers.
	private void startShardMover(ServiceModel model, Deployment deployment, Safeguards safeguards) {
		if (model.sharded() && safeguards.loadAwareChoice()) {
			new ShardMover(model, deployment, PlacementPolicies.balanced(), ShardMover.CHURN_BUDGET,
					new SplittableRandom(this.seed))
				.start();
		}
	}

	private void slowDown(ServiceModel model, int count) {
		IntStream.range(0, Math.min(count, model.targets().size()))
			.forEach((target) -> model.targets().get(target).setSlowFactor(SLOW_FACTOR));
	}

	private List<Result> measureOverload(Deployment deployment, Service service, Safeguards safeguards,
			double loadFactor) {
		ServiceModel model = new ServiceModel(deployment, service, safeguards, this.seed, WARM_UP_NANOS);
		RunResult run = model.run(loadFactor * deployment.capacity(service), WARM_UP_NANOS + this.measuredNanos);
		double goodput = run.goodput() / deployment.capacity(service);
		String name = service.name() + " load=" + loadFactor + " " + safeguards.name();
		ResultFactory factory = new ResultFactory(deployment, "overload", name, run, this.seed);
		return List.of(factory.create("goodput", goodput, "of capacity"),
				factory.create("added load", run.addedLoad(), "share"),
				factory.create("most running", model.maxRunning(), "requests"));
	}

	private List<Result> measureColdStart(Deployment deployment, Service service, Safeguards safeguards,
			ColdStart coldStart, boolean gateNotified) {
		ServiceModel model = new ServiceModel(deployment, service, safeguards, this.seed, WARM_UP_NANOS);
		startShardMover(model, deployment, safeguards);
		model.time()
			.at(WARM_UP_NANOS,
					() -> coldStart.targets(model).forEach((target) -> model.makeCold(target, gateNotified)));
		RunResult run = model.run(COLD_LOAD_SHARE * deployment.capacity(service), WARM_UP_NANOS + this.measuredNanos);
		String name = service.name() + " " + coldStart.name() + ((gateNotified) ? " told " : " sudden ")
				+ safeguards.name();
		ResultFactory factory = new ResultFactory(deployment, "cold-start", name, run, this.seed);
		return List.of(factory.create("answered", run.answeredShare(), "share"),
				factory.create("recovery",
						run.recoveryNanos(WARM_UP_NANOS, RECOVERED_SHARE) / (double) VirtualTime.SECONDS, "s"),
				factory.create("failed by targets", model.failureCount(), "requests"),
				factory.create("overloaded while cold", model.coldOverloadCount(), "requests"));
	}

	private record ColdStart(String name, int count, int step) {

		IntStream targets(ServiceModel model) {
			return IntStream.range(0, this.count).map((i) -> (i * this.step) % model.targets().size());
		}

	}

}
