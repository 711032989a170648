package org.redwingramp.records.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

import org.redwingramp.records.Finding;

/**
 * Collects the findings of one file and looks up their places. Not thread safe; one
 * collector is used by one parse.
 */
public final class FindingCollector {

	/** More findings than this help nobody and would make answers large. */
	private static final int MAX_FINDINGS = 100;

	/**
	 * A text shorter than this can't be a whole secret, since the shortest secret has
	 * this many characters.
	 */
	private static final int MIN_SECRET = 16;

	private static final Pattern ADDRESS = Pattern.compile("[0-9.]{1,20}:[0-9]{1,6}");

	private final String file;

	private final boolean confidential;

	private final List<Finding> findings = new ArrayList<>();

	private final Map<String, Location> locations = new HashMap<>();

	private FindingCollector(String file, boolean confidential) {
		this.file = file;
		this.confidential = confidential;
	}

	/**
	 * Creates a collector for a file without secrets.
	 * @param file the file's name
	 * @return the collector
	 */
	public static FindingCollector open(String file) {
		return new FindingCollector(file, false);
	}

	/**
	 * Creates a collector for a file with secrets. Its findings quote no text that may be
	 * a secret in the wrong place.
	 * @param file the file's name
	 * @return the collector
	 */
	public static FindingCollector confidential(String file) {
		return new FindingCollector(file, true);
	}

	/**
	 * Returns whether a text may be shown.
	 * @param text the text
	 * @return {@code false} if it may be a secret
	 */
	boolean shows(String text) {
		return !this.confidential || text.length() < MIN_SECRET || ADDRESS.matcher(text).matches();
	}

	String quote(String text) {
		return shows(text) ? Texts.quote(text) : "a text of " + text.length() + " characters";
	}

	void locate(Map<String, Location> places) {
		this.locations.putAll(places);
	}

	/**
	 * Adds a finding at the place of a field. A missing field has the place of its table.
	 * @param field the field's path
	 * @param message what was found and what is allowed
	 */
	public void add(String field, String message) {
		add(location(field), field, message);
	}

	void add(Location place, String field, String message) {
		if (this.findings.size() < MAX_FINDINGS) {
			this.findings.add(new Finding(this.file, place.line(), place.column(), Texts.printable(field), message));
		}
	}

	/**
	 * Returns the place of a field, or of the nearest enclosing table that has one.
	 * @param field the field's path
	 * @return the place
	 */
	Location location(String field) {
		String path = field;
		while (!path.isEmpty() && !this.locations.containsKey(path)) {
			path = path.substring(0, Math.max(0, Math.max(path.lastIndexOf('.'), path.lastIndexOf('['))));
		}
		return this.locations.getOrDefault(path, Location.UNKNOWN);
	}

	boolean has(String field) {
		return this.findings.stream().anyMatch((finding) -> finding.field().startsWith(field));
	}

	/**
	 * Returns whether nothing was found.
	 * @return {@code true} if there is no finding
	 */
	public boolean isEmpty() {
		return this.findings.isEmpty();
	}

	/**
	 * Returns the findings.
	 * @return the findings ordered by place
	 */
	public List<Finding> sorted() {
		return this.findings.stream()
			.sorted(Comparator.comparingInt(Finding::line).thenComparingInt(Finding::column))
			.toList();
	}

}
