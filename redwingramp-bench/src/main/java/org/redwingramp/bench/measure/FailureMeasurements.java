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
 * Measures how long slices are unavailable after the loss of targets or entries, and the
 * share of answered requests while a failure domain is taken out of service and returns.
 * Immutable and thread safe; each case is an independent run.
 */
public final class FailureMeasurements {

	private static final long WARM_UP_NANOS = 2 * VirtualTime.SECONDS;

	private static final double LOAD_SHARE = 0.4;

	private static final List<Setup> SETUPS = List.of(
			new Setup(Safeguards.ALL, PlacementPolicies.balanced(), ShardMover.CHURN_BUDGET),
			new Setup(Safeguards.NONE, PlacementPolicies.hashModulo(), Integer.MAX_VALUE));

	private final long seed;

	private final long measuredNanos;

	/**
	 * Creates the measurements.
	 * @param seed the seed of every run
	 * @param seconds the measured virtual time of each run
	 */
	public FailureMeasurements(long seed, int seconds) {
		this.seed = seed;
		this.measuredNanos = seconds * VirtualTime.SECONDS;
	}

	/**
	 * Returns the cases to run for one deployment.
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
			List<Integer> entryGates = IntStream.rangeClosed(0, service.targets() / deployment.entries())
				.boxed()
				.toList();
			for (Setup setup : SETUPS) {
				cases.add(() -> measureLoss(deployment, service, setup, "target lost",
						(mover) -> mover.loseTargets(List.of(0))));
				cases.add(() -> measureLoss(deployment, service, setup, "domain lost",
						(mover) -> mover.loseTargets(domain)));
				cases.add(() -> measureDomainOutage(deployment, service, setup, domain));
			}
			cases.add(() -> measureLoss(deployment, service, SETUPS.get(0), "entry lost",
					(mover) -> mover.loseGates(entryGates)));
		}
		return cases;
	}

	private List<Result> measureLoss(Deployment deployment, Service service, Setup setup, String caseName,
			Consumer<ShardMover> loss) {
		ServiceModel model = new ServiceModel(deployment, service, setup.safeguards(), this.seed, WARM_UP_NANOS);
		ShardMover mover = setup.startMover(model, deployment, this.seed);
		model.time().at(WARM_UP_NANOS, () -> loss.accept(mover));
		RunResult run = model.run(LOAD_SHARE * deployment.capacity(service), WARM_UP_NANOS + this.measuredNanos);
		String fullName = service.name() + " " + caseName + " " + setup.safeguards().name();
		return commonResults(model, new ResultFactory(deployment, "unavailable-time", fullName, run, this.seed), run);
	}

	private List<Result> measureDomainOutage(Deployment deployment, Service service, Setup setup,
			List<Integer> domain) {
		ServiceModel model = new ServiceModel(deployment, service, setup.safeguards(), this.seed, WARM_UP_NANOS);
		ShardMover mover = setup.startMover(model, deployment, this.seed);
		long returnTime = WARM_UP_NANOS + this.measuredNanos / 2;
		long[] lastStart = new long[1];
		model.time().at(WARM_UP_NANOS, () -> mover.takeOutOfService(domain));
		model.time().at(returnTime, () -> {
			lastStart[0] = domain.stream()
				.mapToLong((target) -> model.targets().get(target).lastStart())
				.max()
				.orElse(0);
			mover.returnToService(domain);
		});
		RunResult run = model.run(LOAD_SHARE * deployment.capacity(service), WARM_UP_NANOS + this.measuredNanos);
		String fullName = service.name() + " leaves and returns " + setup.safeguards().name();
		ResultFactory factory = new ResultFactory(deployment, "failure-domain", fullName, run, this.seed);
		List<Result> results = new ArrayList<>(commonResults(model, factory, run));
		results
			.add(factory.create("last new work", (lastStart[0] - WARM_UP_NANOS) / (double) VirtualTime.SECONDS, "s"));
		results.add(factory.create("failed by targets", model.failureCount(), "requests"));
		return results;
	}

	private List<Result> commonResults(ServiceModel model, ResultFactory factory, RunResult run) {
		List<Result> results = new ArrayList<>();
		results.add(factory.create("answered", run.answeredShare(), "share"));
		results.add(factory.create("p99", run.latencyMillis(99), "ms"));
		results.add(factory.create("p99.9", run.latencyMillis(99.9), "ms"));
		if (model.sharded()) {
			results.add(factory.create("mean of slices", model.shards().meanUnavailableMillis(), "ms"));
			results.add(factory.create("longest", model.shards().maxUnavailableMillis(), "ms"));
			results.add(factory.create("slices moved", model.shards().moveCount(), "slices"));
		}
		return results;
	}

	private record Setup(Safeguards safeguards, PlacementPolicy policy, int budget) {

		ShardMover startMover(ServiceModel model, Deployment deployment, long seed) {
			ShardMover mover = new ShardMover(model, deployment, this.policy, this.budget, new SplittableRandom(seed));
			mover.start();
			return mover;
		}

	}

}
