package org.redwingramp.records.internal;

/**
 * A place in a text. Immutable and thread safe.
 *
 * @param line the line, counted from 1, or 0 if it is unknown
 * @param column the column in characters, counted from 1, or 0 if it is unknown
 */
public record Location(int line, int column) {

	/** The location of something that has no place in the text. */
	public static final Location UNKNOWN = new Location(0, 0);

}
