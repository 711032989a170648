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
 * A bar chart of one figure of a measure as SVG: a row for each case, a bar for each
 * setup. Immutable and thread safe.
 *
 * @param file the name of the file
 * @param measure the measure's name
 * @param figure the figure, the end of the cases' names
 * @param logarithmic whether the axis is logarithmic, from 1 up
 */
public record Plot(String file, String measure, String figure, boolean logarithmic) {

	/** The plots of docs/MEASUREMENTS.md. */
	public static final List<Plot> ALL = List.of(new Plot("imbalance.svg", "imbalance", "after a minute", false),
			new Plot("churn.svg", "churn", "keys moved", false),
			new Plot("unavailable-time.svg", "unavailable-time", "mean of slices", false),
			new Plot("failure-domain.svg", "failure-domain", "answered", false),
			new Plot("tail-latency.svg", "tail-latency", "p99", true),
			new Plot("tail-latency-p999.svg", "tail-latency", "p99.9", true),
			new Plot("overload.svg", "overload", "goodput", false),
			new Plot("cold-start.svg", "cold-start", "answered", false),
			new Plot("slots.svg", "slots", "added p99", true));

	private static final List<String> COLOURS = List.of("#1b6ca8", "#c8553d", "#8a8a8a", "#4d9a5b");

	private static final int LABEL_WIDTH = 330;

	private static final int BAR_WIDTH = 420;

	private static final int BAR_HEIGHT = 12;

	private static final int GAP = 8;

	private static final int TOP = 54;

	/**
	 * Writes the plot.
	 * @param directory the directory
	 * @param results all results; those of other measures and figures are left out
	 * @throws IOException if the file can't be written
	 */
	public void write(Path directory, List<Result> results) throws IOException {
		Map<String, Map<String, Double>> rows = rows(results);
		if (!rows.isEmpty()) {
			Files.createDirectories(directory);
			Files.writeString(directory.resolve(this.file), svg(rows, unit(results)));
		}
	}

	private boolean shown(Result result) {
		return result.measure().equals(this.measure) && result.name().endsWith(" " + this.figure);
	}

	private String unit(List<Result> results) {
		return results.stream().filter(this::shown).map(Result::unit).findFirst().orElse("");
	}

	private Map<String, Map<String, Double>> rows(List<Result> results) {
		Map<String, Map<String, Double>> rows = new LinkedHashMap<>();
		results.stream().filter(this::shown).forEach((result) -> {
			String name = result.name().substring(0, result.name().length() - this.figure.length() - 1);
			int split = name.lastIndexOf(' ');
			String row = result.deployment() + ": " + name.substring(0, split);
			rows.computeIfAbsent(row, (label) -> new LinkedHashMap<>()).put(name.substring(split + 1), result.value());
		});
		return rows;
	}

	private String svg(Map<String, Map<String, Double>> rows, String unit) {
		List<String> setups = List
			.copyOf(new TreeSet<>(rows.values().stream().flatMap((bars) -> bars.keySet().stream()).toList()));
		double most = rows.values()
			.stream()
			.flatMap((bars) -> bars.values().stream())
			.mapToDouble(Double::doubleValue)
			.max()
			.orElse(1);
		StringBuilder body = new StringBuilder();
		text(body, GAP, 18,
				this.measure + ", " + this.figure + " (" + unit + ((this.logarithmic) ? ", logarithmic)" : ")"));
		for (int i = 0; i < setups.size(); i++) {
			rect(body, GAP + i * 170, 28, BAR_HEIGHT, COLOURS.get(i));
			text(body, GAP + i * 170 + BAR_HEIGHT + 4, 38, setups.get(i));
		}
		int y = TOP;
		for (Map.Entry<String, Map<String, Double>> row : rows.entrySet()) {
			text(body, GAP, y + BAR_HEIGHT - 2, row.getKey());
			for (Map.Entry<String, Double> bar : row.getValue().entrySet()) {
				int width = (int) Math.round(BAR_WIDTH * part(bar.getValue(), most));
				rect(body, LABEL_WIDTH, y, Math.max(1, width), COLOURS.get(setups.indexOf(bar.getKey())));
				text(body, LABEL_WIDTH + width + 4, y + BAR_HEIGHT - 2,
						String.format(Locale.ROOT, "%.4g", bar.getValue()));
				y += BAR_HEIGHT;
			}
			y += GAP;
		}
		return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + (LABEL_WIDTH + BAR_WIDTH + 70) + "\" height=\""
				+ y
				+ "\" font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
				+ body + "</svg>\n";
	}

	private double part(double value, double most) {
		return (this.logarithmic) ? Math.log(Math.max(1, value)) / Math.log(Math.max(2, most)) : value / most;
	}

	private static void rect(StringBuilder body, int x, int y, int width, String colour) {
		body.append(String.format(Locale.ROOT, "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"%s\"/>\n", x,
				y, width, BAR_HEIGHT - 1, colour));
	}

	private static void text(StringBuilder body, int x, int y, String text) {
		body.append(String.format(Locale.ROOT, "<text x=\"%d\" y=\"%d\">%s</text>\n", x, y, text));
	}

}
