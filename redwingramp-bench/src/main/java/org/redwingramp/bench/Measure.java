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
import org.redwingramp.bench.measure.FailureMeasurements;
import org.redwingramp.bench.measure.LoadMeasurements;
import org.redwingramp.bench.measure.PlacementMeasurements;
import org.redwingramp.bench.measure.Plot;
import org.redwingramp.bench.measure.Result;
import org.redwingramp.bench.measure.SlotMeasurements;

/**
 * Measures the routing and placement decisions in virtual time and prints one line of
 * JSON for each result. The output is determined by the seed.
 */
public final class Measure {

	private static final String DEFAULT_SEED = "20261204";

	private static final int QUICK_RUN_SECONDS = 6;

	private static final int RUN_SECONDS = 30;

	/** A small fixed number, so that other processes can use the remaining cores. */
	private static final int THREADS = 4;

	private static final Options OPTIONS = new Options()
		.addOption(null, "quick", false, "run each case for a short time only")
		.addOption(null, "plots", true, "write the plots to this directory")
		.addOption(null, "only", true, "run only the measures whose names contain this")
		.addOption(null, "seed", true, "the seed of every run");

	private Measure() {
	}

	/**
	 * Runs the measures.
	 * @param args {@code --quick} for short runs, {@code --seed N} for another seed,
	 * {@code --only NAME} for the measures whose names contain NAME,
	 * {@code --plots DIRECTORY} to write the plots
	 * @throws IOException if a plot can't be written
	 * @throws ParseException if an argument is unknown or lacks its value
	 * @throws InterruptedException if the run is interrupted
	 * @throws ExecutionException if a case fails
	 */
	public static void main(String[] args)
			throws IOException, ParseException, InterruptedException, ExecutionException {
		CommandLine line = new DefaultParser().parse(OPTIONS, args);
		long seed = Long.parseLong(line.getOptionValue("seed", DEFAULT_SEED));
		int seconds = (line.hasOption("quick")) ? QUICK_RUN_SECONDS : RUN_SECONDS;
		List<Callable<List<Result>>> cases = measures(seed, seconds).entrySet()
			.stream()
			.filter((measure) -> measure.getKey().contains(line.getOptionValue("only", "")))
			.flatMap((measure) -> Deployment.ALL.stream().map(measure.getValue()))
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

	private static Map<String, Function<Deployment, List<Callable<List<Result>>>>> measures(long seed, int seconds) {
		LoadMeasurements load = new LoadMeasurements(seed, seconds);
		Map<String, Function<Deployment, List<Callable<List<Result>>>>> measures = new LinkedHashMap<>();
		measures.put("placement", new PlacementMeasurements(seed)::cases);
		measures.put("failures", new FailureMeasurements(seed, 2 * seconds)::cases);
		measures.put("tail-latency", load::tailCases);
		measures.put("overload", load::overloadCases);
		measures.put("cold-start", load::coldStartCases);
		measures.put("slots", new SlotMeasurements(seed, 2 * seconds)::cases);
		return measures;
	}

	// The cases share no state, so their order of execution doesn't affect the results.
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
