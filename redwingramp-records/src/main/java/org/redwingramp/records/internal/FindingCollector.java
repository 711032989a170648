package org.redwingramp.records.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

import org.redwingramp.records.Finding;

/**
 * Collects the findings of a file and determines their locations. Not thread safe; use
 * one instance per file.
 */
public final class FindingCollector {

	/** Further findings would not help operators and would make responses large. */
	private static final int MAX_FINDINGS = 100;

	/**
	 * The minimum length of secrets, in characters. A shorter text can't be a complete
	 * secret.
	 */
	private static final int MIN_SECRET_LENGTH = 16;

	private static final Pattern IP_ADDRESS_AND_PORT = Pattern.compile("[0-9.]{1,20}:[0-9]{1,6}");

	private final String file;

	private final boolean containsSecrets;

	private final List<Finding> findings = new ArrayList<>();

	private final Map<String, Location> locations = new HashMap<>();

	private FindingCollector(String file, boolean containsSecrets) {
		this.file = file;
		this.containsSecrets = containsSecrets;
	}

	/**
	 * Creates a collector for a file that contains no secrets.
	 * @param file the name of the file
	 * @return the collector
	 */
	public static FindingCollector forFile(String file) {
		return new FindingCollector(file, false);
	}

	/**
	 * Creates a collector for a file that contains secrets. Its findings quote no text
	 * that may be a misplaced secret.
	 * @param file the name of the file
	 * @return the collector
	 */
	public static FindingCollector forFileWithSecrets(String file) {
		return new FindingCollector(file, true);
	}

	/**
	 * Returns whether a finding may contain the given text.
	 * @param text the text
	 * @return {@code false} if the text may be a secret
	 */
	boolean canShow(String text) {
		return !this.containsSecrets || text.length() < MIN_SECRET_LENGTH
				|| IP_ADDRESS_AND_PORT.matcher(text).matches();
	}

	/**
	 * Formats a text for a message.
	 * @param text the text
	 * @return the text in quotation marks, or only its length if it may be a secret
	 */
	String quote(String text) {
		return canShow(text) ? Texts.quote(text) : "a text of " + text.length() + " characters";
	}

	void addLocations(Map<String, Location> locationsByField) {
		this.locations.putAll(locationsByField);
	}

	/**
	 * Adds a finding about a field. If the field is missing, the finding has the location
	 * of the enclosing table.
	 * @param field the path of the field
	 * @param message describes the invalid value and the allowed values
	 */
	public void add(String field, String message) {
		add(location(field), field, message);
	}

	void add(Location location, String field, String message) {
		if (this.findings.size() < MAX_FINDINGS) {
			this.findings
				.add(new Finding(this.file, location.line(), location.column(), Texts.printable(field), message));
		}
	}

	/**
	 * Returns the location of a field. If it has none, returns the location of the
	 * innermost enclosing table or list that has one.
	 * @param field the path of the field
	 * @return the location
	 */
	Location location(String field) {
		String path = field;
		while (!path.isEmpty() && !this.locations.containsKey(path)) {
			path = path.substring(0, Math.max(0, Math.max(path.lastIndexOf('.'), path.lastIndexOf('['))));
		}
		return this.locations.getOrDefault(path, Location.UNKNOWN);
	}

	/**
	 * Returns whether there is a finding about a field.
	 * @param field the path of the field
	 * @return whether the path of a finding starts with the given path
	 */
	boolean hasFindingAt(String field) {
		return this.findings.stream().anyMatch((finding) -> finding.field().startsWith(field));
	}

	/**
	 * Returns whether there are no findings.
	 * @return {@code true} if there are none
	 */
	public boolean isEmpty() {
		return this.findings.isEmpty();
	}

	/**
	 * Returns the findings ordered by line and column.
	 * @return the ordered findings
	 */
	public List<Finding> sorted() {
		return this.findings.stream()
			.sorted(Comparator.comparingInt(Finding::line).thenComparingInt(Finding::column))
			.toList();
	}

}
