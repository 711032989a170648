package org.redwingramp.bench.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LoadMeasurementsTests {

	private static final long SEED = 7;

	/**
	 * The retry budget of 10%; a run may exceed it by the ten retries that it starts
	 * with.
	 */
	private static final double MAX_ADDED_LOAD = 0.1;

	private static List<Result> overload;

	@BeforeAll
	static void measureOverload() throws Exception {
		overload = run(new LoadMeasurements(SEED, 2).overloadCases(Deployment.GUATE_CENTRAL));
	}

	/** Guards against results that depend on anything except the seed. */
	@Test
	void shouldGiveTheSameResultsForTheSameSeed() throws Exception {
		assertThat(run(new LoadMeasurements(SEED, 2).overloadCases(Deployment.GUATE_CENTRAL))).isEqualTo(overload);
		assertThat(run(new LoadMeasurements(SEED + 1, 2).overloadCases(Deployment.GUATE_CENTRAL)))
			.isNotEqualTo(overload);
	}

	/** Guards against more concurrent requests at a target than it has slots. */
	@Test
	void shouldNeverExceedTheSlotsUnderOverload() {
		assertThat(resultsEndingWith("all most running")).hasSize(8)
			.allMatch((result) -> result.value() <= Deployment.GUATE_CENTRAL.slots());
		assertThat(resultsEndingWith("baseline most running"))
			.anyMatch((result) -> result.value() > Deployment.GUATE_CENTRAL.slots());
	}

	/**
	 * Guards against goodput that collapses under overload; steady goodput under overload
	 * is the goal of the design.
	 */
	@Test
	void shouldKeepGoodputWithinATenthOfItsPeak() {
		for (Deployment.Service service : Deployment.GUATE_CENTRAL.services()) {
			List<Double> goodput = resultsEndingWith("all goodput").stream()
				.filter((result) -> result.name().startsWith(service.name()))
				.filter((result) -> !result.name().contains("load=0.5"))
				.map(Result::value)
				.toList();
			double peak = goodput.stream().mapToDouble(Double::doubleValue).max().orElseThrow();
			assertThat(goodput).hasSize(3).allMatch((value) -> value >= 0.9 * peak);
		}
	}

	/** Guards against retries and hedges that add more than 10% to the load. */
	@Test
	void shouldAddAtMostATenthOfTheLoad() {
		assertThat(resultsEndingWith("all added load")).hasSize(8)
			.allMatch((result) -> result.value() <= MAX_ADDED_LOAD + 10.0 / result.n());
	}

	private static List<Result> resultsEndingWith(String suffix) {
		return overload.stream().filter((result) -> result.name().endsWith(" " + suffix)).toList();
	}

	private static List<Result> run(List<Callable<List<Result>>> cases) throws Exception {
		List<Result> results = new ArrayList<>();
		for (Callable<List<Result>> single : cases) {
			results.addAll(single.call());
		}
		return results;
	}

}
