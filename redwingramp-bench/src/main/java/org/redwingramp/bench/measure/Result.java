package org.redwingramp.bench.measure;

import java.util.Locale;

/**
 * One measured value. Immutable and thread safe.
 *
 * @param deployment the name of the deployment
 * @param measure the name of the measure
 * @param name the case, the setup and the figure, separated by spaces
 * @param value the measured value
 * @param unit the unit of the value
 * @param n the number of samples (requests, keys or shards) that the value is based on
 * @param seed the seed of the run
 */
public record Result(String deployment, String measure, String name, double value, String unit, long n, long seed) {

	/**
	 * Returns the result as one line of JSON. The names must not contain characters that
	 * need escaping in JSON.
	 * @return the line without a line terminator
	 */
	public String json() {
		return String.format(Locale.ROOT,
				"{\"deployment\":\"%s\",\"measure\":\"%s\",\"case\":\"%s\",\"value\":%.4f,\"unit\":\"%s\",\"n\":%d,"
						+ "\"seed\":%d}",
				this.deployment, this.measure, this.name, this.value, this.unit, this.n, this.seed);
	}

}
