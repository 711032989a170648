package org.redwingramp.bench.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.redwingramp.bench.measure.Deployment.Service;
import org.redwingramp.core.placement.PlacementPolicies;
import org.redwingramp.core.placement.PlacementPolicy;

/**
 * Measures unavailable time after losses, and service while a failure domain leaves and
 * returns. Immutable and thread safe; each case is a run of its own.
 */
public final class FailureMeasures {

	private static final long WARM_UP = 2 * VirtualTime.SECONDS;

	private static final double LOAD = 0.4;

	private static final List<Setup> SETUPS = List.of(
			new Setup(Safeguards.ALL, PlacementPolicies.balanced(), ShardMover.CHURN_BUDGET),
			new Setup(Safeguards.NONE, PlacementPolicies.plainHash(), Integer.MAX_VALUE));

	private final long seed;

	private final long measured;

	/**
	 * Creates the measures.
	 * @param seed the seed of every run
	 * @param seconds the measured virtual time of each run
	 */
	public FailureMeasures(long seed, int seconds) {
		this.seed = seed;
		this.measured = seconds * VirtualTime.SECONDS;
	}

	/**
	 * Returns the cases of one deployment.
	 * @param deployment the deployment
	 * @return the cases, independent of each other
	 */
	public List<Callable<List<Result>>> cases(Deployment deployment) {
		List<Callable<List<Result>>> cases = new ArrayList<>();
		for (Service service : deployment.services()) {
			List<Integer> domain = IntStream.range(0, service.targets())
				.filter((target) -> deployment.domain(target).equals(deployment.domains().get(0)))
				.boxed()
				.toList();
			List<Integer> gates = IntStream.rangeClosed(0, service.targets() / deployment.entries()).boxed().toList();
			for (Setup setup : SETUPS) {
				cases.add(() -> loss(deployment, service, setup, "target lost", (mover) -> mover.lose(List.of(0))));
				cases.add(() -> loss(deployment, service, setup, "domain lost", (mover) -> mover.lose(domain)));
				cases.add(() -> leaveAndReturn(deployment, service, setup, domain));
			}
			cases.add(() -> loss(deployment, service, SETUPS.get(0), "entry lost", (mover) -> mover.loseGates(gates)));
		}
		return cases;
	}

	private List<Result> loss(Deployment deployment, Service service, Setup setup, String what,
			Consumer<ShardMover> loss) {
		ServiceModel model = new ServiceModel(deployment, service, setup.safeguards(), this.seed, WARM_UP);
		ShardMover mover = setup.mover(model, deployment, this.seed);
		model.time().at(WARM_UP, () -> loss.accept(mover));
		RunResult run = model.run(LOAD * deployment.capacity(service), WARM_UP + this.measured);
		String name = service.name() + " " + what + " " + setup.safeguards().name();
		return results(model, new Figures(deployment, "unavailable-time", name, run, this.seed), run);
	}

	private List<Result> leaveAndReturn(Deployment deployment, Service service, Setup setup, List<Integer> domain) {
		ServiceModel model = new ServiceModel(deployment, service, setup.safeguards(), this.seed, WARM_UP);
		ShardMover mover = setup.mover(model, deployment, this.seed);
		long back = WARM_UP + this.measured / 2;
		long[] lastWork = new long[1];
		model.time().at(WARM_UP, () -> mover.leave(domain));
		model.time().at(back, () -> {
			lastWork[0] = domain.stream()
				.mapToLong((target) -> model.targets().get(target).lastStart())
				.max()
				.orElse(0);
			mover.comeBack(domain);
		});
		RunResult run = model.run(LOAD * deployment.capacity(service), WARM_UP + this.measured);
		String name = service.name() + " leaves and returns " + setup.safeguards().name();
		Figures figures = new Figures(deployment, "failure-domain", name, run, this.seed);
		List<Result> results = new ArrayList<>(results(model, figures, run));
		results.add(figures.of("last new work", (lastWork[0] - WARM_UP) / (double) VirtualTime.SECONDS, "s"));
		results.add(figures.of("failed by targets", model.failures(), "requests"));
		return results;
	}

	private List<Result> results(ServiceModel model, Figures figures, RunResult run) {
		List<Result> results = new ArrayList<>();
		results.add(figures.of("answered", run.answeredShare(), "share"));
		results.add(figures.of("p99", run.millis(99), "ms"));
		results.add(figures.of("p99.9", run.millis(99.9), "ms"));
		if (model.sharded()) {
			results.add(figures.of("mean of slices", model.shards().meanUnavailableMillis(), "ms"));
			results.add(figures.of("longest", model.shards().longestUnavailableMillis(), "ms"));
			results.add(figures.of("slices moved", model.shards().moves(), "slices"));
		}
		return results;
	}

	private record Setup(Safeguards safeguards, PlacementPolicy policy, int budget) {

		ShardMover mover(ServiceModel model, Deployment deployment, long seed) {
			ShardMover mover = new ShardMover(model, deployment, this.policy, this.budget, new SplittableRandom(seed));
			mover.start();
			return mover;
		}

	}

}
