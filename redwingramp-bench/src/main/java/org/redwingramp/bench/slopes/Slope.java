package org.redwingramp.bench.slopes;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Values measured at several sizes, and the least-squares line through them. Immutable
 * and thread safe.
 *
 * @param name what was measured
 * @param per the unit of the size, for example a shard
 * @param unit the unit of the values
 * @param points the measured points
 */
public record Slope(String name, String per, String unit, List<Point> points) {

	public Slope {
		points = List.copyOf(points);
	}

	/**
	 * Returns by how much the value grows per unit of the size.
	 * @return the slope of the line
	 */
	public double slope() {
		double meanSize = meanSize();
		double meanValue = meanValue();
		double covariance = this.points.stream()
			.mapToDouble((point) -> (point.size() - meanSize) * (point.value() - meanValue))
			.sum();
		return covariance / this.points.stream().mapToDouble((point) -> square(point.size() - meanSize)).sum();
	}

	/**
	 * Returns the value at size 0.
	 * @return the intercept of the line
	 */
	public double intercept() {
		return meanValue() - slope() * meanSize();
	}

	/**
	 * Returns how well the line fits the points.
	 * @return the coefficient of determination, 1 for a perfect fit
	 */
	public double fit() {
		double slope = slope();
		double intercept = intercept();
		double meanValue = meanValue();
		double total = this.points.stream().mapToDouble((point) -> square(point.value() - meanValue)).sum();
		double residual = this.points.stream()
			.mapToDouble((point) -> square(point.value() - intercept - slope * point.size()))
			.sum();
		return (total > 0) ? 1 - residual / total : 1;
	}

	/**
	 * Returns the points and the line as one line of JSON.
	 * @return the line
	 */
	public String json() {
		String measured = this.points.stream()
			.map((point) -> String.format(Locale.ROOT, "[%.0f,%.4g]", point.size(), point.value()))
			.collect(Collectors.joining(","));
		return String.format(Locale.ROOT,
				"{\"measure\":\"%s\",\"per\":\"%s\",\"unit\":\"%s\",\"points\":[%s],\"slope\":%.4g,\"intercept\":%.4g,\"r2\":%.3f}",
				this.name, this.per, this.unit, measured, slope(), intercept(), fit());
	}

	static Slope of(String name, String per, String unit, int[] sizes, double[] values) {
		return new Slope(name, per, unit,
				IntStream.range(0, sizes.length).mapToObj((i) -> new Point(sizes[i], values[i])).toList());
	}

	private double meanSize() {
		return this.points.stream().mapToDouble(Point::size).average().orElseThrow();
	}

	private double meanValue() {
		return this.points.stream().mapToDouble(Point::value).average().orElseThrow();
	}

	private static double square(double value) {
		return value * value;
	}

	/**
	 * One measurement. Immutable and thread safe.
	 *
	 * @param size the size
	 * @param value the value measured at that size
	 */
	public record Point(double size, double value) {
	}

}
