package org.redwingramp.records;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * A token or key. {@link #toString()} never contains the value, and the duration of a
 * comparison does not depend on the position at which the values differ. Immutable and
 * thread safe.
 */
public final class Secret {

	private final byte[] value;

	private Secret(byte[] value) {
		this.value = value;
	}

	/**
	 * Creates a secret.
	 * @param value the value
	 * @return the secret
	 */
	public static Secret of(String value) {
		return new Secret(value.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Compares a presented value with this secret.
	 * @param presented the value, for example from a request header
	 * @return whether the values are equal
	 */
	public boolean matches(String presented) {
		return MessageDigest.isEqual(this.value, presented.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns the value in plain text. The value must be used only as a key or in a
	 * request header.
	 * @return the value
	 */
	public String reveal() {
		return new String(this.value, StandardCharsets.UTF_8);
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof Secret secret && MessageDigest.isEqual(this.value, secret.value);
	}

	@Override
	public int hashCode() {
		return Secret.class.hashCode();
	}

	@Override
	public String toString() {
		return "Secret[hidden]";
	}

}
