package org.redwingramp.records.internal;

/**
 * A location in a text. Immutable and thread safe.
 *
 * @param line the line, counted from 1, or 0 if it is unknown
 * @param column the column in characters, counted from 1, or 0 if it is unknown
 */
public record Location(int line, int column) {

	/** The location of findings that concern no particular line. */
	public static final Location UNKNOWN = new Location(0, 0);

}
