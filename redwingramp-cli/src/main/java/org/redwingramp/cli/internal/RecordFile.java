package org.redwingramp.cli.internal;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.redwingramp.core.model.OperatorRecord;
import org.redwingramp.records.Finding;
import org.redwingramp.records.RecordParseResult;
import org.redwingramp.records.RecordParser;
import org.redwingramp.records.SettingsParser;

/**
 * A file of a record or of daemon settings, with the result of its validation. Thread
 * safe as long as the text isn't modified.
 *
 * @param name the path of the file as given on the command line
 * @param text the content of the file
 * @param record the record; empty if there are findings or the file contains settings
 * @param findings the validation errors; empty if the file is valid
 */
record RecordFile(String name, byte[] text, Optional<OperatorRecord> record, List<Finding> findings) {

	private static final int MAX_SHORT_NAME_LENGTH = 255;

	static RecordFile readRecord(String name) {
		return read(name, (text) -> {
			RecordParseResult result = RecordParser.parse(name, text);
			return new RecordFile(name, text, result.record(), result.findings());
		});
	}

	static RecordFile readSettings(String name) {
		return read(name,
				(text) -> new RecordFile(name, text, Optional.empty(), SettingsParser.parse(name, text).findings()));
	}

	private static RecordFile read(String name, Function<byte[], RecordFile> validator) {
		try (InputStream content = Files.newInputStream(Path.of(name))) {
			return validator.apply(content.readNBytes(RecordParser.MAX_BYTES + 1));
		}
		catch (IOException | InvalidPathException ex) {
			Finding finding = new Finding(name, 0, 0, "",
					"the file can't be read (" + ex.getClass().getSimpleName() + "); it must exist and be readable");
			return new RecordFile(name, new byte[0], Optional.empty(), List.of(finding));
		}
	}

	boolean valid() {
		return this.findings.isEmpty();
	}

	/**
	 * Returns the file name that the instance puts into its findings.
	 * @return the last part of the path, truncated to 255 characters; other characters
	 * than printable ASCII are replaced
	 */
	String shortName() {
		String last = Path.of(this.name).getFileName().toString().replaceAll("[^ -~]", "?");
		return last.substring(0, Math.min(MAX_SHORT_NAME_LENGTH, last.length()));
	}

	/**
	 * Returns a text that identifies the content in messages.
	 * @return the kind, name and version of the record, or "settings"
	 */
	String label() {
		return this.record.map((record) -> record.kind().label() + " " + record.name() + " version " + record.version())
			.orElse("settings");
	}

}
