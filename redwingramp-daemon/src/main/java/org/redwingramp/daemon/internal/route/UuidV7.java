package org.redwingramp.daemon.internal.route;

import java.util.OptionalLong;

/**
 * Extracts the timestamp of version 7 UUIDs (RFC 9562). Stateless and thread safe.
 */
final class UuidV7 {

	private static final int LENGTH = 36;

	private static final int VERSION_INDEX = 14;

	private static final int TIMESTAMP_HEX_DIGITS = 12;

	private UuidV7() {
	}

	/**
	 * Returns the timestamp of a UUID.
	 * @param text the UUID in its text form
	 * @return the time in milliseconds since the epoch, empty if the text isn't a UUIDv7
	 */
	static OptionalLong timestampMillis(String text) {
		if (text.length() != LENGTH || text.charAt(VERSION_INDEX) != '7') {
			return OptionalLong.empty();
		}
		try {
			String digits = text.replace("-", "").substring(0, TIMESTAMP_HEX_DIGITS);
			return OptionalLong.of(Long.parseLong(digits, 16));
		}
		catch (NumberFormatException | StringIndexOutOfBoundsException ex) {
			return OptionalLong.empty();
		}
	}

}
