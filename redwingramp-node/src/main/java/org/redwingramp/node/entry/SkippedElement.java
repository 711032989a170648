package org.redwingramp.node.entry;

import java.util.Objects;

/**
 * An element of a view that an entry instance left out because it can't be used.
 * Immutable and thread safe.
 *
 * @param kind what was left out
 * @param name the name of the element
 * @param reason why it can't be used
 */
record SkippedElement(Kind kind, String name, String reason) {

	/** Maximum length of a text in a log line. */
	private static final int MAX_CHARS = 200;

	static SkippedElement of(Kind kind, String name, Exception cause) {
		String reason = Objects.requireNonNullElse(cause.getMessage(), cause.getClass().getSimpleName());
		return new SkippedElement(kind, abbreviate(String.valueOf(name)), abbreviate(reason));
	}

	private static String abbreviate(String text) {
		return (text.length() <= MAX_CHARS) ? text : text.substring(0, MAX_CHARS) + "...";
	}

	/** The parts of a view. The constant names are written to the log. */
	enum Kind {

		/** The configuration. The former one stays in force. */
		CONFIGURATION,

		/** A target. No requests are sent to it. */
		TARGET,

		/** A range of keys. Its keys keep their owner. */
		KEY_RANGE,

		/** An observation of another entry instance. */
		OBSERVATION

	}

}
