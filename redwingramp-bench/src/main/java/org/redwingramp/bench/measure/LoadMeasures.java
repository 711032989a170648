package org.redwingramp.bench.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;

import org.redwingramp.bench.measure.Deployment.Service;
import org.redwingramp.core.placement.PlacementPolicies;

/**
 * Measures tail latency with slowed targets, overload and cold starts. Immutable and
 * thread safe; each case is a run of its own.
 */
public final class LoadMeasures {

	/** Time for the ramps to end before anything is counted. */
	private static final long WARM_UP = 2 * VirtualTime.SECONDS;

	private static final double SLOW_FACTOR = 4;

	private static final double TAIL_LOAD = 0.4;

	private static final double COLD_LOAD = 0.5;

	private static final double RECOVERED = 0.99;

	private static final List<Integer> SLOWED = List.of(0, 1, 3, 6);

	private static final List<Double> LOADS = List.of(0.5, 1.0, 2.0, 4.0);

	private static final List<Safeguards> SETUPS = List.of(Safeguards.ALL, Safeguards.NONE);

	private final long seed;

	private final long measured;

	/**
	 * Creates the measures.
	 * @param seed the seed of every run
	 * @param seconds the measured virtual time of each run
	 */
	public LoadMeasures(long seed, int seconds) {
		this.seed = seed;
		this.measured = seconds * VirtualTime.SECONDS;
	}

	/**
	 * Returns the cases of tail latency.
	 * @param deployment the deployment
	 * @return the cases, independent of each other
	 */
	public List<Callable<List<Result>>> tailCases(Deployment deployment) {
		List<Callable<List<Result>>> cases = new ArrayList<>();
		deployment.services()
			.forEach((service) -> SETUPS.forEach((safeguards) -> SLOWED
				.forEach((slowed) -> cases.add(() -> tail(deployment, service, safeguards, slowed)))));
		return cases;
	}

	/**
	 * Returns the cases of overload.
	 * @param deployment the deployment
	 * @return the cases, independent of each other
	 */
	public List<Callable<List<Result>>> overloadCases(Deployment deployment) {
		List<Callable<List<Result>>> cases = new ArrayList<>();
		deployment.services()
			.forEach((service) -> SETUPS.forEach((safeguards) -> LOADS
				.forEach((load) -> cases.add(() -> overload(deployment, service, safeguards, load)))));
		return cases;
	}

	/**
	 * Returns the cases of cold starts.
	 * @param deployment the deployment
	 * @return the cases, independent of each other
	 */
	public List<Callable<List<Result>>> coldStartCases(Deployment deployment) {
		List<Callable<List<Result>>> cases = new ArrayList<>();
		int domains = deployment.domains().size();
		for (Service service : deployment.services()) {
			addColdStarts(cases, deployment, service, new Cold("one target", 1, 1));
			addColdStarts(cases, deployment, service,
					new Cold("failure domain", (service.targets() + domains - 1) / domains, domains));
			addColdStarts(cases, deployment, service, new Cold("all targets", service.targets(), 1));
		}
		return cases;
	}

	private void addColdStarts(List<Callable<List<Result>>> cases, Deployment deployment, Service service, Cold cold) {
		cases.add(() -> coldStart(deployment, service, Safeguards.ALL, cold, true));
		List.of(Safeguards.ALL, Safeguards.NO_RAMP, Safeguards.NONE)
			.forEach((safeguards) -> cases.add(() -> coldStart(deployment, service, safeguards, cold, false)));
	}

	private List<Result> tail(Deployment deployment, Service service, Safeguards safeguards, int slowed) {
		ServiceModel model = new ServiceModel(deployment, service, safeguards, this.seed, WARM_UP);
		startMoves(model, deployment, safeguards);
		model.time().at(WARM_UP / 2, () -> slow(model, slowed));
		RunResult run = model.run(TAIL_LOAD * deployment.capacity(service), WARM_UP + this.measured);
		String name = service.name() + " slowed=" + slowed + " " + safeguards.name();
		Figures figures = new Figures(deployment, "tail-latency", name, run, this.seed);
		return List.of(figures.of("p50", run.millis(50), "ms"), figures.of("p99", run.millis(99), "ms"),
				figures.of("p99.9", run.millis(99.9), "ms"), figures.of("answered", run.answeredShare(), "share"));
	}

	// The controller moves slices away from targets that gates find slow.
	private void startMoves(ServiceModel model, Deployment deployment, Safeguards safeguards) {
		if (model.sharded() && safeguards.choice()) {
			new ShardMover(model, deployment, PlacementPolicies.balanced(), ShardMover.CHURN_BUDGET,
					new SplittableRandom(this.seed))
				.start();
		}
	}

	private void slow(ServiceModel model, int count) {
		IntStream.range(0, Math.min(count, model.targets().size()))
			.forEach((target) -> model.targets().get(target).slow(SLOW_FACTOR));
	}

	private List<Result> overload(Deployment deployment, Service service, Safeguards safeguards, double load) {
		ServiceModel model = new ServiceModel(deployment, service, safeguards, this.seed, WARM_UP);
		RunResult run = model.run(load * deployment.capacity(service), WARM_UP + this.measured);
		double goodput = run.goodput() / deployment.capacity(service);
		String name = service.name() + " load=" + load + " " + safeguards.name();
		Figures figures = new Figures(deployment, "overload", name, run, this.seed);
		return List.of(figures.of("goodput", goodput, "of capacity"),
				figures.of("added load", run.addedLoad(), "share"),
				figures.of("most running", model.mostRunning(), "requests"));
	}

	private List<Result> coldStart(Deployment deployment, Service service, Safeguards safeguards, Cold cold,
			boolean told) {
		ServiceModel model = new ServiceModel(deployment, service, safeguards, this.seed, WARM_UP);
		startMoves(model, deployment, safeguards);
		model.time().at(WARM_UP, () -> cold.targets(model).forEach((target) -> model.chill(target, told)));
		RunResult run = model.run(COLD_LOAD * deployment.capacity(service), WARM_UP + this.measured);
		String name = service.name() + " " + cold.name() + ((told) ? " told " : " sudden ") + safeguards.name();
		Figures figures = new Figures(deployment, "cold-start", name, run, this.seed);
		return List.of(figures.of("answered", run.answeredShare(), "share"),
				figures.of("recovery", run.recovery(WARM_UP, RECOVERED) / (double) VirtualTime.SECONDS, "s"),
				figures.of("failed by targets", model.failures(), "requests"),
				figures.of("overloaded while cold", model.coldOverloads(), "requests"));
	}

	private record Cold(String name, int count, int step) {

		IntStream targets(ServiceModel model) {
			return IntStream.range(0, this.count).map((i) -> (i * this.step) % model.targets().size());
		}

	}

}
