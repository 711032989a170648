package org.redwingramp.core.model;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * The kinds of records that operators submit. Immutable and thread safe.
 */
public enum RecordKind {

	/** Defines a service and how its requests are handled. */
	SERVICE,

	/** States whether a failure domain accepts work. */
	DOMAIN,

	/** Pins keys to a target. */
	PIN;

	/**
	 * Returns the name used in records and on the command line.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Finds a kind by its name in records.
	 * @param label the name in lower case
	 * @return the kind, or empty if there is none
	 */
	public static Optional<RecordKind> find(String label) {
		return Arrays.stream(values()).filter((kind) -> kind.label().equals(label)).findFirst();
	}

}
