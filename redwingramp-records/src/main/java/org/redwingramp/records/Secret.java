package org.redwingramp.records;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * A token or key. Immutable and thread safe. {@link #toString()} never shows the value,
 * and comparisons take the same time wherever the values differ.
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
	 * Returns whether a presented value is this secret.
	 * @param presented the value, for example from a header
	 * @return whether both are equal
	 */
	public boolean matches(String presented) {
		return MessageDigest.isEqual(this.value, presented.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns the value, for use as a key or in a header only.
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
