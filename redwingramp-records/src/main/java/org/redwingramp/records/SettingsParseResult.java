package org.redwingramp.records;

import java.util.List;
import java.util.Optional;

/**
 * The result of parsing settings. Immutable and thread safe. The settings are present
 * exactly if there is no finding.
 *
 * @param settings the settings
 * @param findings all mistakes, ordered by place
 */
public record SettingsParseResult(Optional<Settings> settings, List<Finding> findings) {

	public SettingsParseResult {
		findings = List.copyOf(findings);
		if (settings.isPresent() != findings.isEmpty()) {
			throw new IllegalArgumentException("A parse result has either settings or findings, but this one has "
					+ findings.size() + " findings and " + (settings.isPresent() ? "a value" : "no value"));
		}
	}

}
