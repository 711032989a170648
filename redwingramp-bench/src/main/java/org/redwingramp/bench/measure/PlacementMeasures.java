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
 * Measures imbalance and churn over a series of events, for both deployments' sharded
 * services. Immutable and thread safe; each case is a run of its own.
 */
public final class PlacementMeasures {

	/** The design's time for a changed set of hot keys to be balanced again. */
	private static final int MINUTE_ROUNDS = 60;

	private static final String RATIO = "max/mean";

	private static final String KEYS = "share of keys";

	private final long seed;

	/**
	 * Creates the measures.
	 * @param seed the seed of every run
	 */
	public PlacementMeasures(long seed) {
		this.seed = seed;
	}

	/**
	 * Returns the cases of one deployment.
	 * @param deployment the deployment
	 * @return the cases, independent of each other
	 */
	public List<Callable<List<Result>>> cases(Deployment deployment) {
		return List.of(() -> series(deployment, PlacementPolicies.balanced(), ShardMover.CHURN_BUDGET, true, "all"),
				() -> series(deployment, PlacementPolicies.plainHash(), Integer.MAX_VALUE, false, "baseline"));
	}

	private List<Result> series(Deployment deployment, PlacementPolicy policy, int budget, boolean split, String name) {
		int targets = deployment.keyed().targets();
		PlacedKeys keys = new PlacedKeys(policy, budget, split, targets, new SplittableRandom(this.seed));
		Set<Integer> domain = IntStream.range(0, targets)
			.filter((target) -> deployment.domain(target).equals(deployment.domains().get(0)))
			.boxed()
			.collect(Collectors.toSet());
		List<Result> results = new ArrayList<>();
		keys.settle(MINUTE_ROUNDS);
		record(deployment, "first placement " + name, keys, results);
		keys.changeHotKeys();
		results.add(result(deployment, "imbalance", "hot keys changed " + name + " at once", keys.imbalance(), RATIO));
		keys.settle(MINUTE_ROUNDS);
		record(deployment, "hot keys changed " + name, keys, results);
		event(deployment, "target lost " + name, keys, Set.of(1), results);
		event(deployment, "target returned " + name, keys, Set.of(), results);
		event(deployment, "domain out " + name, keys, domain, results);
		event(deployment, "domain returned " + name, keys, Set.of(), results);
		return results;
	}

	private void event(Deployment deployment, String name, PlacedKeys keys, Set<Integer> out, List<Result> results) {
		keys.out(out);
		keys.settle(MINUTE_ROUNDS);
		record(deployment, name, keys, results);
	}

	private void record(Deployment deployment, String name, PlacedKeys keys, List<Result> results) {
		results.add(result(deployment, "imbalance", name + " after a minute", keys.imbalance(), RATIO));
		results.add(result(deployment, "churn", name + " keys moved", keys.churn(), KEYS));
		results.add(result(deployment, "churn", name + " keys concerned", keys.concerned(), KEYS));
		keys.mark();
	}

	private Result result(Deployment deployment, String measure, String name, double value, String unit) {
		return new Result(deployment.name(), measure, deployment.keyed().name() + " " + name, value, unit,
				PlacedKeys.KEYS, this.seed);
	}

}
