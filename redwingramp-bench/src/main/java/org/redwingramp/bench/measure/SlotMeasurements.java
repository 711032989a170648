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
 * Compares two ways of limiting the concurrent requests to a target: one gate that admits
 * all requests, and slots that are leased to the entries. Immutable and thread safe; each
 * case is an independent run.
 */
public final class SlotMeasurements {

	private static final long WARM_UP_NANOS = 2 * VirtualTime.SECONDS;

	private static final List<Double> LOAD_FACTORS = List.of(0.3, 0.6, 0.8);

	/** Long enough for the requests to a slowed target to occupy every slot. */
	private static final long FILL_NANOS = 200 * VirtualTime.MILLIS;

	/** Requests to a target that is slowed by this factor outlast every lease. */
	private static final double STALL_FACTOR = 200;

	private final long seed;

	private final long measuredNanos;

	/**
	 * Creates the measurements.
	 * @param seed the seed of every run
	 * @param seconds the measured virtual time of each run
	 */
	public SlotMeasurements(long seed, int seconds) {
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
		for (Strategy strategy : Strategy.values()) {
			LOAD_FACTORS.forEach((load) -> cases.add(() -> measureSteadyLoad(deployment, strategy, load)));
			cases.add(() -> measureEntryLoss(deployment, strategy));
		}
		return cases;
	}

	private List<Result> measureSteadyLoad(Deployment deployment, Strategy strategy, double load) {
		Run run = new Run(deployment, strategy, this.seed);
		run.scheduleArrivals(load * capacity(deployment), WARM_UP_NANOS + this.measuredNanos);
		run.time.run(WARM_UP_NANOS + this.measuredNanos);
		String name = "load=" + load + " " + strategy.label;
		return List.of(
				result(deployment, name + " added p50", run.addedNanos.getValueAtPercentile(50) / 1e6, "ms", run),
				result(deployment, name + " added p99", run.addedNanos.getValueAtPercentile(99) / 1e6, "ms", run),
				result(deployment, name + " idle while requests wait",
						(double) run.idleSlotSamples / Math.max(1, run.waitingSamples) / deployment.slots(),
						"share of slots", run),
				result(deployment, name + " most running", run.target.maxRunning(), "requests", run));
	}

	private List<Result> measureEntryLoss(Deployment deployment, Strategy strategy) {
		Run run = new Run(deployment, strategy, this.seed);
		run.scheduleArrivals(capacity(deployment) / 2, WARM_UP_NANOS + this.measuredNanos);
		run.time.at(WARM_UP_NANOS, () -> run.target.setSlowFactor(STALL_FACTOR));
		run.time.at(WARM_UP_NANOS + FILL_NANOS, run.sharing::loseEntryWithMostSlots);
		run.time.run(WARM_UP_NANOS + this.measuredNanos);
		return List.of(
				result(deployment, "entry lost " + strategy.label + " most above the slots",
						Math.max(0, run.target.maxRunning() - deployment.slots()), "requests", run),
				result(deployment, "entry lost " + strategy.label + " work above the slots", run.excessRequestMillis,
						"request-ms", run));
	}

	private double capacity(Deployment deployment) {
		return (double) deployment.slots() * VirtualTime.SECONDS / ModelTarget.MEAN_SERVICE_NANOS;
	}

	private Result result(Deployment deployment, String name, double value, String unit, Run run) {
		return new Result(deployment.name(), "slots", name, value, unit, run.addedNanos.getTotalCount(), this.seed);
	}

	private enum Strategy {

		GATE("one-gate"), HEARTBEAT("leased-by-heartbeat"), DEMAND("leased-on-demand");

		private final String label;

		Strategy(String label) {
			this.label = label;
		}

		SlotSharing create(VirtualTime time, Deployment deployment, SlotSharing.Sender sender) {
			return (this == GATE) ? new GatedSlots(time, deployment, sender)
					: new LeasedSlots(time, deployment, sender, this == DEMAND);
		}

	}

	private static final class Run {

		private final VirtualTime time = new VirtualTime();

		private final Histogram addedNanos = new Histogram(1000 * VirtualTime.SECONDS, 3);

		private final Map<Long, Long> arrivals = new HashMap<>();

		private final Deployment deployment;

		private final RandomGenerator random;

		private final ModelTarget target;

		private final SlotSharing sharing;

		private long nextId;

		private long idleSlotSamples;

		private long waitingSamples;

		private long excessRequestMillis;

		Run(Deployment deployment, Strategy strategy, long seed) {
			SplittableRandom seeds = new SplittableRandom(seed);
			this.deployment = deployment;
			this.random = seeds.split();
			this.target = new ModelTarget(this.time, seeds.split(), deployment.slots());
			this.sharing = strategy.create(this.time, deployment, this::send);
			this.time.every(VirtualTime.MILLIS, this::sample);
		}

		private void send(long id, Runnable done) {
			this.time.after(this.deployment.hopNanos(), () -> {
				if (this.time.now() > WARM_UP_NANOS) {
					this.addedNanos
						.recordValue(this.time.now() - this.arrivals.remove(id) + this.sharing.responseNanos());
				}
				this.target.serve(id, (result) -> this.time.after(this.deployment.hopNanos(), done));
			});
		}

		private void sample() {
			if (this.time.now() > WARM_UP_NANOS && this.sharing.waiting() > 0) {
				this.waitingSamples++;
				this.idleSlotSamples += Math.max(0, this.deployment.slots() - this.target.running());
			}
			this.excessRequestMillis += Math.max(0, this.target.running() - this.deployment.slots());
		}

		private void scheduleArrivals(double rate, long end) {
			long gap = (long) (-Math.log(1 - this.random.nextDouble()) * VirtualTime.SECONDS / rate);
			this.time.after(gap, () -> {
				if (this.time.now() <= end) {
					this.arrivals.put(this.nextId, this.time.now());
					this.sharing.arrive(this.random.nextInt(this.deployment.entries()), this.nextId++);
					scheduleArrivals(rate, end);
				}
			});
		}

	}

}
