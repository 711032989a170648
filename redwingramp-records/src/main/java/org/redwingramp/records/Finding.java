package org.redwingramp.records;

/**
 * A validation error in a record or settings file, with its location. A finding never
 * contains a secret. Immutable and thread safe.
 *
 * @param file the file name that was passed to the parser
 * @param line the line, counted from 1, or 0 if it is unknown
 * @param column the column in characters, counted from 1, or 0 if it is unknown
 * @param field the path of the field, for example {@code route[1].class}, or empty if the
 * finding concerns the file as a whole
 * @param message describes the invalid value and the allowed values
 */
public record Finding(String file, int line, int column, String field, String message) {

	/**
	 * Formats this finding as a line for operators, for example
	 * {@code taller.toml:7:1: service.slots: found 0; allowed: an integer from 1 to 1024}.
	 * @return the finding as a single line
	 */
	public String text() {
		String location = (this.line > 0) ? this.file + ":" + this.line + ":" + this.column : this.file;
		return location + ": " + (this.field.isEmpty() ? "" : this.field + ": ") + this.message;
	}

}
