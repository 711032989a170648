package org.redwingramp.records;

import java.nio.file.Path;
import java.util.Optional;

import org.redwingramp.records.internal.FindingCollector;
import org.redwingramp.records.internal.SecretReader;
import org.redwingramp.records.internal.SettingsReader;
import org.redwingramp.records.internal.TomlDocument;

/**
 * Parses and validates the settings of a daemon. All validation errors are reported
 * together, and no finding contains a secret. Stateless and thread safe.
 */
public final class SettingsParser {

	/** The maximum size of a settings file in bytes. */
	public static final int MAX_BYTES = 64 * 1024;

	private SettingsParser() {
	}

	/**
	 * Parses settings. Files that contain secrets are read as well; their relative paths
	 * are resolved against the folder of the settings file.
	 * @param fileName the path of the settings file, also reported in findings
	 * @param text the TOML text in UTF-8
	 * @return the settings, or the findings if the text is invalid
	 */
	public static SettingsParseResult parse(String fileName, byte[] text) {
		FindingCollector findings = FindingCollector.forFileWithSecrets(fileName);
		SecretReader secrets = new SecretReader(Path.of(fileName).toAbsolutePath().getParent());
		Optional<Settings> settings = TomlDocument.parse(text, MAX_BYTES, findings)
			.flatMap((document) -> new SettingsReader(document.reader(findings), findings, secrets).read());
		return new SettingsParseResult(settings, findings.sorted());
	}

}
