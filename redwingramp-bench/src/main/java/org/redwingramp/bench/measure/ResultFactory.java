package org.redwingramp.bench.measure;

/**
 * Creates the results of one run of the model. Immutable and thread safe after the run.
 */
final class ResultFactory {

	private final Deployment deployment;

	private final String measure;

	private final String caseName;

	private final RunResult run;

	private final long seed;

	ResultFactory(Deployment deployment, String measure, String caseName, RunResult run, long seed) {
		this.deployment = deployment;
		this.measure = measure;
		this.caseName = caseName;
		this.run = run;
		this.seed = seed;
	}

	Result create(String figure, double value, String unit) {
		return new Result(this.deployment.name(), this.measure, this.caseName + " " + figure, value, unit,
				this.run.requests(), this.seed);
	}

}
