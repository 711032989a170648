package org.redwingramp.records;

import java.nio.file.Path;
import java.util.Optional;

import org.redwingramp.records.internal.FindingCollector;
import org.redwingramp.records.internal.SecretReader;
import org.redwingramp.records.internal.SettingsReader;
import org.redwingramp.records.internal.TomlDocument;

/**
 * Parses the settings of a daemon. All mistakes are reported together, and no finding
 * contains a secret. Stateless and thread safe.
 */
public final class SettingsParser {

	/** The largest size of a settings file in bytes. */
	public static final int MAX_BYTES = 64 * 1024;

	private SettingsParser() {
	}

	/**
	 * Parses settings. Secrets that the settings name as files are read; relative paths
	 * start at the folder of the settings file.
	 * @param fileName the path of the settings file, which findings carry
	 * @param text the TOML text in UTF-8
	 * @return the settings, or the findings
	 */
	public static SettingsParseResult parse(String fileName, byte[] text) {
		FindingCollector findings = FindingCollector.confidential(fileName);
		SecretReader secrets = new SecretReader(Path.of(fileName).toAbsolutePath().getParent());
		Optional<Settings> settings = TomlDocument.parse(text, MAX_BYTES, findings)
			.flatMap((document) -> new SettingsReader(document.reader(findings), findings, secrets).read());
		return new SettingsParseResult(settings, findings.sorted());
	}

}
