package org.redwingramp.records.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.redwingramp.records.Finding;

/**
 * Collects the findings of one file and looks up their places. Not thread safe; one
 * collector is used by one parse.
 */
public final class FindingCollector {

	/** More findings than this help nobody and would make answers large. */
	private static final int MAX_FINDINGS = 100;

	private final String file;

	private final List<Finding> findings = new ArrayList<>();

	private final Map<String, Location> locations = new HashMap<>();

	public FindingCollector(String file) {
		this.file = file;
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
