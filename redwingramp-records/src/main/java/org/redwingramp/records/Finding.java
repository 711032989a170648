package org.redwingramp.records;

/**
 * One mistake in a record or in settings, with its place. Immutable and thread safe. A
 * finding never contains a secret.
 *
 * @param file the file's name as the invoking code gave it
 * @param line the line, counted from 1, or 0 if it is unknown
 * @param column the column in characters, counted from 1, or 0 if it is unknown
 * @param field the path of the field, for example {@code route[1].class}, empty for the
 * whole file
 * @param message what was found and what is allowed
 */
public record Finding(String file, int line, int column, String field, String message) {

	/**
	 * Returns the form that is shown to operators, for example
	 * {@code taller.toml:7:1: service.slots: 0 is out of range}.
	 * @return the finding in one line
	 */
	public String text() {
		String place = (this.line > 0) ? this.file + ":" + this.line + ":" + this.column : this.file;
		return place + ": " + (this.field.isEmpty() ? "" : this.field + ": ") + this.message;
	}

}
