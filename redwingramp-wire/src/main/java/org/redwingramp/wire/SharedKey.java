package org.redwingramp.wire;

import java.security.GeneralSecurityException;
import java.util.Arrays;

import javax.crypto.Mac;
import javax.crypto.SecretKey;
import javax.crypto.spec.SecretKeySpec;

/**
 * The secret key that all daemons of a deployment share. {@link #toString()} does not
 * reveal its bytes. Immutable and thread safe.
 */
public final class SharedKey {

	/** The minimum length of a key in bytes. */
	public static final int MIN_BYTES = 16;

	private static final String ALGORITHM = "HmacSHA256";

	private final SecretKey key;

	private SharedKey(SecretKey key) {
		this.key = key;
	}

	/**
	 * Creates a key.
	 * @param bytes the key's bytes, at least {@link #MIN_BYTES}
	 * @return the key
	 * @throws IllegalArgumentException if the key is too short
	 */
	public static SharedKey of(byte[] bytes) {
		if (bytes.length < MIN_BYTES) {
			throw new IllegalArgumentException(
					"The shared key must have at least " + MIN_BYTES + " bytes (was " + bytes.length + ")");
		}
		return new SharedKey(new SecretKeySpec(bytes, ALGORITHM));
	}

	/**
	 * Derives the key of one connection from this key.
	 * @param parts the values that make the connection unique, at most 255 bytes each
	 * @return the derived key
	 */
	public SharedKey derive(byte[]... parts) {
		Mac mac = mac();
		Arrays.stream(parts).forEach((part) -> {
			mac.update((byte) part.length);
			mac.update(part);
		});
		return new SharedKey(new SecretKeySpec(mac.doFinal(), ALGORITHM));
	}

	/**
	 * Creates an HMAC-SHA256 instance with this key.
	 * @return the MAC, not thread safe
	 */
	public Mac mac() {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(this.key);
			return mac;
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("This Java runtime does not support " + ALGORITHM, ex);
		}
	}

}
