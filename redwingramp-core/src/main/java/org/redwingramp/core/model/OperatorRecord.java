package org.redwingramp.core.model;

/**
 * A record as submitted by an operator. Immutable and thread safe.
 *
 * @param schema the schema version of the submitted text
 * @param name the record's name, unique within its kind
 * @param version the record's version, at least 1
 * @param body the parsed content
 * @param digest the SHA-256 of the submitted text in lower-case hexadecimal, used to tell
 * equal content from different content under an equal version
 * @param text the submitted text
 */
public record OperatorRecord(int schema, String name, long version, RecordBody body, String digest, String text) {

	/**
	 * Returns the record's kind.
	 * @return the kind
	 */
	public RecordKind kind() {
		return this.body.kind();
	}

}
