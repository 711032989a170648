package org.redwingramp.bench.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.random.RandomGenerator;

import org.HdrHistogram.Histogram;

/**
 * Compares one responsible gate for a target with slots that are leased to the entries.
 * Immutable and thread safe; each case is a run of its own.
 */
public final class SlotMeasures {

	private static final long WARM_UP = 2 * VirtualTime.SECONDS;

	private static final List<Double> LOADS = List.of(0.3, 0.6, 0.8);

	/** Long enough for the requests of a slowed target to occupy every slot. */
	private static final long FILL = 200 * VirtualTime.MILLIS;

	/** Requests of a target that is slowed this much outlast every lease. */
	private static final double FROZEN_FACTOR = 200;

	private final long seed;

	private final long measured;

	/**
	 * Creates the measures.
	 * @param seed the seed of every run
	 * @param seconds the measured virtual time of each run
	 */
	public SlotMeasures(long seed, int seconds) {
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
		for (Way way : Way.values()) {
			LOADS.forEach((load) -> cases.add(() -> steady(deployment, way, load)));
			cases.add(() -> loss(deployment, way));
		}
		return cases;
	}

	private List<Result> steady(Deployment deployment, Way way, double load) {
		Run run = new Run(deployment, way, this.seed);
		run.arrive(load * rate(deployment), WARM_UP + this.measured);
		run.time.run(WARM_UP + this.measured);
		String name = "load=" + load + " " + way.label;
		return List.of(result(deployment, name + " added p50", run.added.getValueAtPercentile(50) / 1e6, "ms", run),
				result(deployment, name + " added p99", run.added.getValueAtPercentile(99) / 1e6, "ms", run),
				result(deployment, name + " idle while requests wait",
						(double) run.idle / Math.max(1, run.waitingSamples) / deployment.slots(), "share of slots",
						run),
				result(deployment, name + " most running", run.target.mostRunning(), "requests", run));
	}

	private List<Result> loss(Deployment deployment, Way way) {
		Run run = new Run(deployment, way, this.seed);
		run.arrive(rate(deployment) / 2, WARM_UP + this.measured);
		run.time.at(WARM_UP, () -> run.target.slow(FROZEN_FACTOR));
		run.time.at(WARM_UP + FILL, run.sharing::loseWorstEntry);
		run.time.run(WARM_UP + this.measured);
		return List.of(
				result(deployment, "entry lost " + way.label + " most above the slots",
						Math.max(0, run.target.mostRunning() - deployment.slots()), "requests", run),
				result(deployment, "entry lost " + way.label + " work above the slots", run.over, "request-ms", run));
	}

	private double rate(Deployment deployment) {
		return (double) deployment.slots() * VirtualTime.SECONDS / ModelTarget.SERVICE_NANOS;
	}

	private Result result(Deployment deployment, String name, double value, String unit, Run run) {
		return new Result(deployment.name(), "slots", name, value, unit, run.added.getTotalCount(), this.seed);
	}

	private enum Way {

		GATE("one-gate"), HEARTBEAT("leased-by-heartbeat"), DEMAND("leased-on-demand");

		private final String label;

		Way(String label) {
			this.label = label;
		}

		SlotSharing create(VirtualTime time, Deployment deployment, SlotSharing.Sender sender) {
			return (this == GATE) ? new GatedSlots(time, deployment, sender)
					: new LeasedSlots(time, deployment, sender, this == DEMAND);
		}

	}

	private static final class Run {

		private final VirtualTime time = new VirtualTime();

		private final Histogram added = new Histogram(1000 * VirtualTime.SECONDS, 3);

		private final Map<Long, Long> arrivals = new HashMap<>();

		private final Deployment deployment;

		private final RandomGenerator random;

		private final ModelTarget target;

		private final SlotSharing sharing;

		private long nextId;

		private long idle;

		private long waitingSamples;

		private long over;

		Run(Deployment deployment, Way way, long seed) {
			SplittableRandom seeds = new SplittableRandom(seed);
			this.deployment = deployment;
			this.random = seeds.split();
			this.target = new ModelTarget(this.time, seeds.split(), deployment.slots());
			this.sharing = way.create(this.time, deployment, this::send);
			this.time.every(VirtualTime.MILLIS, this::sample);
		}

		private void send(long id, Runnable done) {
			this.time.after(this.deployment.hopNanos(), () -> {
				if (this.time.now() > WARM_UP) {
					this.added.recordValue(this.time.now() - this.arrivals.remove(id) + this.sharing.answerNanos());
				}
				this.target.serve(id, (result) -> this.time.after(this.deployment.hopNanos(), done));
			});
		}

		private void sample() {
			if (this.time.now() > WARM_UP && this.sharing.waiting() > 0) {
				this.waitingSamples++;
				this.idle += Math.max(0, this.deployment.slots() - this.target.running());
			}
			this.over += Math.max(0, this.target.running() - this.deployment.slots());
		}

		private void arrive(double rate, long end) {
			long gap = (long) (-Math.log(1 - this.random.nextDouble()) * VirtualTime.SECONDS / rate);
			this.time.after(gap, () -> {
				if (this.time.now() <= end) {
					this.arrivals.put(this.nextId, this.time.now());
					this.sharing.arrive(this.random.nextInt(this.deployment.entries()), this.nextId++);
					arrive(rate, end);
				}
			});
		}

	}

}
