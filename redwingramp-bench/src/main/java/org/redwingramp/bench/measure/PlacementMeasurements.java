package org.redwingramp.bench.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.redwingramp.core.placement.PlacementPolicies;
import org.redwingramp.core.placement.PlacementPolicy;

/**
 * Measures the imbalance and churn of a deployment's sharded service over a series of
 * changes of hot keys and targets. Immutable and thread safe; each case is an independent
 * run.
 */
public final class PlacementMeasurements {

	/**
	 * Rounds last one second. docs/design.md requires changed hot keys to be balanced
	 * again within a minute.
	 */
	private static final int ROUNDS_PER_MINUTE = 60;

	private static final String RATIO_UNIT = "max/mean";

	private static final String KEY_SHARE_UNIT = "share of keys";

	private final long seed;

	/**
	 * Creates the measurements.
	 * @param seed the seed of every run
	 */
	public PlacementMeasurements(long seed) {
		this.seed = seed;
	}

	/**
	 * Returns the cases to run for one deployment.
	 * @param deployment the deployment
	 * @return the cases, independent of each other
	 */
	public List<Callable<List<Result>>> cases(Deployment deployment) {
		return List.of(
				() -> measureSeries(deployment, PlacementPolicies.balanced(), ShardMover.CHURN_BUDGET, true, "all"),
				() -> measureSeries(deployment, PlacementPolicies.hashModulo(), Integer.MAX_VALUE, false, "baseline"));
	}

	private List<Result> measureSeries(Deployment deployment, PlacementPolicy policy, int budget, boolean split,
			String name) {
		int targets = deployment.shardedService().targets();
		PlacedKeys keys = new PlacedKeys(policy, budget, split, targets, new SplittableRandom(this.seed));
		Set<Integer> domain = IntStream.range(0, targets)
			.filter((target) -> deployment.domain(target).equals(deployment.domains().get(0)))
			.boxed()
			.collect(Collectors.toSet());
		List<Result> results = new ArrayList<>();
		keys.runRounds(ROUNDS_PER_MINUTE);
		addResults(deployment, "first placement " + name, keys, results);
		keys.changeHotKeys();
		results.add(
				result(deployment, "imbalance", "hot keys changed " + name + " at once", keys.imbalance(), RATIO_UNIT));
		keys.runRounds(ROUNDS_PER_MINUTE);
		addResults(deployment, "hot keys changed " + name, keys, results);
		measureEvent(deployment, "target lost " + name, keys, Set.of(1), results);
		measureEvent(deployment, "target returned " + name, keys, Set.of(), results);
		measureEvent(deployment, "domain out " + name, keys, domain, results);
		measureEvent(deployment, "domain returned " + name, keys, Set.of(), results);
		return results;
	}

	private void measureEvent(Deployment deployment, String name, PlacedKeys keys, Set<Integer> outOfService,
			List<Result> results) {
		keys.takeOutOfService(outOfService);
		keys.runRounds(ROUNDS_PER_MINUTE);
		addResults(deployment, name, keys, results);
	}

	private void addResults(Deployment deployment, String name, PlacedKeys keys, List<Result> results) {
		results.add(result(deployment, "imbalance", name + " after a minute", keys.imbalance(), RATIO_UNIT));
		results.add(result(deployment, "churn", name + " keys moved", keys.churn(), KEY_SHARE_UNIT));
		results.add(result(deployment, "churn", name + " keys concerned", keys.affectedShare(), KEY_SHARE_UNIT));
		keys.resetChurn();
	}

	private Result result(Deployment deployment, String measure, String name, double value, String unit) {
		return new Result(deployment.name(), measure, deployment.shardedService().name() + " " + name, value, unit,
				PlacedKeys.KEYS, this.seed);
	}

}
