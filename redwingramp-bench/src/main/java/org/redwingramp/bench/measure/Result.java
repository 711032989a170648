package org.redwingramp.bench.measure;

import java.util.Locale;

/**
 * One measured figure. Immutable and thread safe.
 *
 * @param deployment the deployment's name
 * @param measure the measure's name
 * @param name what was varied
 * @param value the figure
 * @param unit its unit
 * @param n the number of requests, keys or shards behind it
 * @param seed the seed of the run
 */
public record Result(String deployment, String measure, String name, double value, String unit, long n, long seed) {

	/**
	 * Returns the figure as one JSON line. The names hold no characters that JSON
	 * escapes.
	 * @return the line without its end
	 */
	public String json() {
		return String.format(Locale.ROOT,
				"{\"deployment\":\"%s\",\"measure\":\"%s\",\"case\":\"%s\",\"value\":%.4f,\"unit\":\"%s\",\"n\":%d,"
						+ "\"seed\":%d}",
				this.deployment, this.measure, this.name, this.value, this.unit, this.n, this.seed);
	}

}
