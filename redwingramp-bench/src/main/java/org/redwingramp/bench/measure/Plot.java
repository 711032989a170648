package org.redwingramp.bench.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;

/**
 * An SVG bar chart of one figure of a measure, with a group of bars for each case and a
 * bar for each setup. Immutable and thread safe.
 *
 * @param file the name of the SVG file
 * @param measure the name of the measure
 * @param figure the figure, which the names of the results end with
 * @param logarithmic whether the axis is logarithmic and starts at 1
 */
public record Plot(String file, String measure, String figure, boolean logarithmic) {

	/** The plots that docs/MEASUREMENTS.md shows. */
	public static final List<Plot> ALL = List.of(new Plot("imbalance.svg", "imbalance", "after a minute", false),
			new Plot("churn.svg", "churn", "keys moved", false),
			new Plot("unavailable-time.svg", "unavailable-time", "mean of slices", false),
			new Plot("failure-domain.svg", "failure-domain", "answered", false),
			new Plot("tail-latency.svg", "tail-latency", "p99", true),
			new Plot("tail-latency-p999.svg", "tail-latency", "p99.9", true),
			new Plot("overload.svg", "overload", "goodput", false),
			new Plot("cold-start.svg", "cold-start", "answered", false),
			new Plot("slots.svg", "slots", "added p99", true));

	private static final List<String> BAR_COLOURS = List.of("#1b6ca8", "#c8553d", "#8a8a8a", "#4d9a5b");

	private static final int LABEL_WIDTH = 330;

	private static final int BAR_WIDTH = 420;

	private static final int BAR_HEIGHT = 12;

	private static final int ROW_GAP = 8;

	private static final int HEADER_HEIGHT = 54;

	/**
	 * Writes the plot unless there are no results for it.
	 * @param directory the directory that the file is written to
	 * @param results all results; those of other measures and figures are ignored
	 * @throws IOException if the file can't be written
	 */
	public void write(Path directory, List<Result> results) throws IOException {
		Map<String, Map<String, Double>> rows = rows(results);
		if (!rows.isEmpty()) {
			Files.createDirectories(directory);
			Files.writeString(directory.resolve(this.file), svg(rows, unit(results)));
		}
	}

	private boolean matches(Result result) {
		return result.measure().equals(this.measure) && result.name().endsWith(" " + this.figure);
	}

	private String unit(List<Result> results) {
		return results.stream().filter(this::matches).map(Result::unit).findFirst().orElse("");
	}

	private Map<String, Map<String, Double>> rows(List<Result> results) {
		Map<String, Map<String, Double>> rows = new LinkedHashMap<>();
		results.stream().filter(this::matches).forEach((result) -> {
			String name = result.name().substring(0, result.name().length() - this.figure.length() - 1);
			int setupSeparator = name.lastIndexOf(' ');
			String row = result.deployment() + ": " + name.substring(0, setupSeparator);
			rows.computeIfAbsent(row, (label) -> new LinkedHashMap<>())
				.put(name.substring(setupSeparator + 1), result.value());
		});
		return rows;
	}

	private String svg(Map<String, Map<String, Double>> rows, String unit) {
		List<String> setups = List
			.copyOf(new TreeSet<>(rows.values().stream().flatMap((bars) -> bars.keySet().stream()).toList()));
		double maxValue = rows.values()
			.stream()
			.flatMap((bars) -> bars.values().stream())
			.mapToDouble(Double::doubleValue)
			.max()
			.orElse(1);
		StringBuilder body = new StringBuilder();
		appendText(body, ROW_GAP, 18,
				this.measure + ", " + this.figure + " (" + unit + ((this.logarithmic) ? ", logarithmic)" : ")"));
		for (int i = 0; i < setups.size(); i++) {
			appendBar(body, ROW_GAP + i * 170, 28, BAR_HEIGHT, BAR_COLOURS.get(i));
			appendText(body, ROW_GAP + i * 170 + BAR_HEIGHT + 4, 38, setups.get(i));
		}
		int y = HEADER_HEIGHT;
		for (Map.Entry<String, Map<String, Double>> row : rows.entrySet()) {
			appendText(body, ROW_GAP, y + BAR_HEIGHT - 2, row.getKey());
			for (Map.Entry<String, Double> bar : row.getValue().entrySet()) {
				int width = (int) Math.round(BAR_WIDTH * relativeWidth(bar.getValue(), maxValue));
				appendBar(body, LABEL_WIDTH, y, Math.max(1, width), BAR_COLOURS.get(setups.indexOf(bar.getKey())));
				appendText(body, LABEL_WIDTH + width + 4, y + BAR_HEIGHT - 2,
						String.format(Locale.ROOT, "%.4g", bar.getValue()));
				y += BAR_HEIGHT;
			}
			y += ROW_GAP;
		}
		return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + (LABEL_WIDTH + BAR_WIDTH + 70) + "\" height=\""
				+ y
				+ "\" font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
				+ body + "</svg>\n";
	}

	private double relativeWidth(double value, double maxValue) {
		return (this.logarithmic) ? Math.log(Math.max(1, value)) / Math.log(Math.max(2, maxValue)) : value / maxValue;
	}

	private static void appendBar(StringBuilder body, int x, int y, int width, String colour) {
		body.append(String.format(Locale.ROOT, "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"%s\"/>\n", x,
				y, width, BAR_HEIGHT - 1, colour));
	}

	private static void appendText(StringBuilder body, int x, int y, String text) {
		body.append(String.format(Locale.ROOT, "<text x=\"%d\" y=\"%d\">%s</text>\n", x, y, text));
	}

}
