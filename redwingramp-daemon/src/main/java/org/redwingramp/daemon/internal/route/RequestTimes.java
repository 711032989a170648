package org.redwingramp.daemon.internal.route;

import java.util.OptionalLong;

/**
 * Reads the time of first issue out of request identities. Stateless and thread safe.
 */
final class RequestTimes {

	private static final int UUID_LENGTH = 36;

	private static final int VERSION_INDEX = 14;

	private static final int TIME_HEX_DIGITS = 12;

	private RequestTimes() {
	}

	/**
	 * Returns the time that a UUIDv7 (RFC 9562) carries.
	 * @param key the idempotency key
	 * @return the time in milliseconds of the epoch, empty if the key isn't a UUIDv7
	 */
	static OptionalLong issuedMillis(String key) {
		if (key.length() != UUID_LENGTH || key.charAt(VERSION_INDEX) != '7') {
			return OptionalLong.empty();
		}
		try {
			String digits = key.replace("-", "").substring(0, TIME_HEX_DIGITS);
			return OptionalLong.of(Long.parseLong(digits, 16));
		}
		catch (NumberFormatException | StringIndexOutOfBoundsException ex) {
			return OptionalLong.empty();
		}
	}

}
