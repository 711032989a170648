package org.redwingramp.bench;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.LongStream;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

import org.redwingramp.bench.soak.Round;

/**
 * Runs simulated clusters under random faults and prints the violated invariants. The
 * output is determined by the seed and the number of rounds. Stateless and thread safe.
 */
public final class Soak {

	/**
	 * Spreads consecutive round numbers over all seeds (2^64 divided by the golden
	 * ratio).
	 */
	private static final long SEED_STEP = 0x9e3779b97f4a7c15L;

	private Soak() {
	}

	/**
	 * Runs the rounds.
	 * @param arguments the arguments {@code --seed N --rounds M}, or
	 * {@code --round-seed N} to repeat one round
	 */
	public static void main(String[] arguments) {
		Options options = new Options().addOption(number("seed", "seed of the run"))
			.addOption(number("rounds", "number of independent rounds"))
			.addOption(number("round-seed", "run only the round with this seed"));
		try {
			CommandLine line = new DefaultParser().parse(options, arguments);
			System.exit(run(line, System.out) ? 0 : 1);
		}
		catch (ParseException | NumberFormatException ex) {
			System.err.println("soak: " + ex.getMessage() + "; usage: --seed N --rounds M or --round-seed N");
			System.exit(2);
		}
	}

	private static boolean run(CommandLine line, PrintStream out) {
		if (line.hasOption("round-seed")) {
			return report(List.of(Round.run(Long.parseLong(line.getOptionValue("round-seed")))), out);
		}
		long seed = Long.parseLong(line.getOptionValue("seed", "1"));
		long rounds = Long.parseLong(line.getOptionValue("rounds", "20"));
		out.println("seed " + seed);
		return report(rounds(seed, rounds), out);
	}

	/**
	 * Runs independent rounds in parallel.
	 * @param seed the seed of the run
	 * @param rounds the number of rounds
	 * @return the results in the order of the rounds
	 */
	public static List<Round.Result> rounds(long seed, long rounds) {
		return LongStream.range(0, rounds).parallel().mapToObj((round) -> Round.run(roundSeed(seed, round))).toList();
	}

	private static long roundSeed(long seed, long round) {
		long mixed = (seed * 31 + round + 1) * SEED_STEP;
		return (mixed ^ (mixed >>> 32)) & Long.MAX_VALUE;
	}

	private static boolean report(List<Round.Result> results, PrintStream out) {
		Map<String, Long> work = sum(results, Round.Result::work);
		Map<String, Long> faults = sum(results, Round.Result::faults);
		List<Round.Result> violated = results.stream().filter((result) -> !result.violations().isEmpty()).toList();
		violated.forEach((result) -> describe(result, out));
		out.println("rounds " + results.size());
		out.println("events " + results.stream().mapToLong(Round.Result::events).sum());
		out.println("committed entries " + results.stream().mapToLong(Round.Result::committed).sum());
		work.forEach((kind, count) -> out.println("  " + kind + " " + count));
		out.println("faults " + faults.values().stream().mapToLong(Long::longValue).sum());
		faults.forEach((kind, count) -> out.println("  " + kind + " " + count));
		out.println("violations " + violated.stream().mapToLong((result) -> result.violations().size()).sum());
		return violated.isEmpty();
	}

	private static Map<String, Long> sum(List<Round.Result> results, Function<Round.Result, Map<String, Long>> counts) {
		Map<String, Long> sums = new TreeMap<>();
		results.forEach((result) -> counts.apply(result).forEach((kind, count) -> sums.merge(kind, count, Long::sum)));
		return sums;
	}

	private static void describe(Round.Result result, PrintStream out) {
		result.violations()
			.forEach(
					(violation) -> out.println("violation in the round with seed " + result.seed() + ": " + violation));
		result.trace().forEach((line) -> out.println("  " + line));
	}

	private static Option number(String name, String description) {
		return Option.builder().longOpt(name).hasArg().desc(description).get();
	}

}
