package org.redwingramp.records;

import java.util.List;
import java.util.Optional;

/**
 * The result of parsing settings. Immutable and thread safe. The settings are present if
 * and only if there are no findings.
 *
 * @param settings the parsed settings, or empty if there are findings
 * @param findings all validation errors, ordered by line and column
 */
public record SettingsParseResult(Optional<Settings> settings, List<Finding> findings) {

	public SettingsParseResult {
		findings = List.copyOf(findings);
		if (settings.isPresent() != findings.isEmpty()) {
			throw new IllegalArgumentException("A parse result must contain either settings or findings (was: "
					+ findings.size() + " findings and " + (settings.isPresent() ? "a value)" : "no value)"));
		}
	}

}
