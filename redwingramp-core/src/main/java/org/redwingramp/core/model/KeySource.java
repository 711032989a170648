package org.redwingramp.core.model;

/**
 * Where the key of a request stands. Immutable and thread safe.
 *
 * @param kind the kind of place
 * @param header the header's name, empty unless the kind is {@link Kind#HEADER}
 * @param pathSegment the zero-based index of the path segment after the service's name,
 * used if the kind is {@link Kind#PATH}
 */
public record KeySource(Kind kind, String header, int pathSegment) {

	/** The source of services that are not divided by key. */
	public static final KeySource NONE = new KeySource(Kind.NONE, "", 0);

	/**
	 * Creates a source that reads a request header.
	 * @param name the header's name
	 * @return the source
	 */
	public static KeySource header(String name) {
		return new KeySource(Kind.HEADER, name, 0);
	}

	/**
	 * Creates a source that reads a path segment.
	 * @param index the zero-based index of the segment after the service's name
	 * @return the source
	 */
	public static KeySource path(int index) {
		return new KeySource(Kind.PATH, "", index);
	}

	/**
	 * Returns whether the service is divided by key.
	 * @return {@code false} for {@link Kind#NONE}
	 */
	public boolean keyed() {
		return this.kind != Kind.NONE;
	}

	/** The kinds of place. */
	public enum Kind {

		/** The service is not divided by key. */
		NONE,

		/** The key is the value of a header. */
		HEADER,

		/** The key is a segment of the path. */
		PATH

	}

}
