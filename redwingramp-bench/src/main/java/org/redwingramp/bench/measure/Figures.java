package org.redwingramp.bench.measure;

/**
 * Names the figures of one run. Immutable and thread safe once the run is over.
 */
final class Figures {

	private final Deployment deployment;

	private final String measure;

	private final String name;

	private final RunResult run;

	private final long seed;

	Figures(Deployment deployment, String measure, String name, RunResult run, long seed) {
		this.deployment = deployment;
		this.measure = measure;
		this.name = name;
		this.run = run;
		this.seed = seed;
	}

	Result of(String figure, double value, String unit) {
		return new Result(this.deployment.name(), this.measure, this.name + " " + figure, value, unit,
				this.run.requests(), this.seed);
	}

}
