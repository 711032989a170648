package org.redwingramp.core.model;

/**
 * Where a request carries its key. Immutable and thread safe.
 *
 * @param kind the part of the request that contains the key
 * @param header the name of the header, empty unless the kind is {@link Kind#HEADER}
 * @param pathSegment the zero-based index of the path segment after the service's name,
 * used if the kind is {@link Kind#PATH}
 */
public record KeySource(Kind kind, String header, int pathSegment) {

	/** The source for services that are not partitioned by key. */
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
	 * Returns whether the service is partitioned by key.
	 * @return {@code false} for {@link Kind#NONE}
	 */
	public boolean keyed() {
		return this.kind != Kind.NONE;
	}

	/** The parts of a request that can contain a key. */
	public enum Kind {

		/** The service is not partitioned by key. */
		NONE,

		/** The key is the value of a header field. */
		HEADER,

		/** The key is a segment of the path. */
		PATH

	}

}
