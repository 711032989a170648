package org.redwingramp.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Function;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

import org.redwingramp.bench.measure.Deployment;
import org.redwingramp.bench.measure.FailureMeasures;
import org.redwingramp.bench.measure.LoadMeasures;
import org.redwingramp.bench.measure.PlacementMeasures;
import org.redwingramp.bench.measure.Plot;
import org.redwingramp.bench.measure.Result;
import org.redwingramp.bench.measure.SlotMeasures;

/**
 * Measures the routing and placement decisions in virtual time and prints one JSON line
 * for each figure. The same seed gives the same output.
 */
public final class Measure {

	private static final String DEFAULT_SEED = "20261204";

	private static final int QUICK_SECONDS = 6;

	private static final int SECONDS = 30;

	/** Leaves most of the machine to others. */
	private static final int THREADS = 4;

	private static final Options OPTIONS = new Options().addOption(null, "quick", false, "short runs")
		.addOption(null, "plots", true, "the directory that the plots are written to")
		.addOption(null, "only", true, "the measures whose names contain this")
		.addOption(null, "seed", true, "the seed of every run");

	private Measure() {
	}

	/**
	 * Runs all measures.
	 * @param args {@code --quick} for short runs, {@code --seed N} for another seed,
	 * {@code --only NAME} for one kind of measure, {@code --plots DIRECTORY} to write the
	 * plots
	 * @throws IOException if a plot can't be written
	 * @throws ParseException if an argument is unknown or lacks its value
	 * @throws InterruptedException if the run is interrupted
	 * @throws ExecutionException if a case fails
	 */
	public static void main(String[] args)
			throws IOException, ParseException, InterruptedException, ExecutionException {
		CommandLine line = new DefaultParser().parse(OPTIONS, args);
		long seed = Long.parseLong(line.getOptionValue("seed", DEFAULT_SEED));
		int seconds = (line.hasOption("quick")) ? QUICK_SECONDS : SECONDS;
		List<Callable<List<Result>>> cases = families(seed, seconds).entrySet()
			.stream()
			.filter((family) -> family.getKey().contains(line.getOptionValue("only", "")))
			.flatMap((family) -> Deployment.ALL.stream().map(family.getValue()))
			.flatMap(List::stream)
			.toList();
		List<Result> results = run(cases);
		results.forEach((result) -> System.out.println(result.json()));
		if (line.hasOption("plots")) {
			for (Plot plot : Plot.ALL) {
				plot.write(Path.of(line.getOptionValue("plots")), results);
			}
		}
	}

	private static Map<String, Function<Deployment, List<Callable<List<Result>>>>> families(long seed, int seconds) {
		LoadMeasures load = new LoadMeasures(seed, seconds);
		Map<String, Function<Deployment, List<Callable<List<Result>>>>> families = new LinkedHashMap<>();
		families.put("placement", new PlacementMeasures(seed)::cases);
		families.put("failures", new FailureMeasures(seed, 2 * seconds)::cases);
		families.put("tail-latency", load::tailCases);
		families.put("overload", load::overloadCases);
		families.put("cold-start", load::coldStartCases);
		families.put("slots", new SlotMeasures(seed, 2 * seconds)::cases);
		return families;
	}

	// The cases share nothing, so their order of execution doesn't change the results.
	private static List<Result> run(List<Callable<List<Result>>> cases)
			throws InterruptedException, ExecutionException {
		ExecutorService executor = Executors.newFixedThreadPool(THREADS);
		try {
			List<Result> results = new ArrayList<>();
			for (Future<List<Result>> future : executor.invokeAll(cases)) {
				results.addAll(future.get());
			}
			return results;
		}
		finally {
			executor.shutdown();
		}
	}

}
