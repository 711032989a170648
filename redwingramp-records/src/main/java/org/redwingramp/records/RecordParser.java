package org.redwingramp.records;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

import org.redwingramp.core.model.OperatorRecord;
import org.redwingramp.core.model.RecordBody;
import org.redwingramp.records.internal.FindingCollector;
import org.redwingramp.records.internal.RecordReader;
import org.redwingramp.records.internal.TomlDocument;

/**
 * Parses and validates the records that operators write. A TOML file contains one record:
 * the fields {@code schema}, {@code kind}, {@code name} and {@code version}, followed by
 * the tables of that kind. All validation errors of a file are reported together.
 * Stateless and thread safe.
 */
public final class RecordParser {

	/** The maximum size of a record in bytes. */
	public static final int MAX_BYTES = 64 * 1024;

	private RecordParser() {
	}

	/**
	 * Parses one record.
	 * @param fileName the file name to report in findings
	 * @param text the TOML text in UTF-8
	 * @return the record, or the findings if the text is invalid
	 */
	public static RecordParseResult parse(String fileName, byte[] text) {
		FindingCollector findings = FindingCollector.forFile(fileName);
		Optional<OperatorRecord> record = TomlDocument.parse(text, MAX_BYTES, findings)
			.map((document) -> read(document, text, findings))
			.filter((parsed) -> findings.isEmpty());
		return new RecordParseResult(record, findings.sorted());
	}

	/**
	 * Computes the digest that identifies the content of a record.
	 * @param text the text of a record in UTF-8
	 * @return the SHA-256 of the text in lower-case hexadecimal
	 */
	public static String digest(byte[] text) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(
					"The Java platform does not provide SHA-256, which every platform must support", ex);
		}
	}

	/**
	 * Returns the supported schema versions.
	 * @return the schema versions in ascending order
	 */
	public static List<Integer> supportedSchemas() {
		return RecordReader.SUPPORTED_SCHEMAS;
	}

	private static OperatorRecord read(TomlDocument document, byte[] text, FindingCollector findings) {
		RecordReader reader = new RecordReader(document.reader(findings), findings);
		Optional<RecordBody> body = reader.body();
		return body
			.map((recordBody) -> new OperatorRecord(reader.schema(), reader.name(), reader.version(), recordBody,
					digest(text), new String(text, StandardCharsets.UTF_8)))
			.orElse(null);
	}

}
