package org.redwingramp.core.control;

/**
 * A target's answer as the ledger keeps it. Immutable by convention. Thread safe.
 *
 * @param status the HTTP status
 * @param contentType the content type, empty if there was none
 * @param body the body, empty if it was too large to keep
 * @param length the body's length in bytes
 * @param bodyKept whether the body is kept
 */
public record StoredAnswer(int status, String contentType, byte[] body, long length, boolean bodyKept) {

	/** The largest body that is kept, in bytes. */
	public static final int MAX_KEPT_BYTES = 16 * 1024;

	private static final byte[] NO_BYTES = {};

	/**
	 * Creates the stored form of an answer.
	 * @param status the HTTP status
	 * @param contentType the content type, empty if there was none
	 * @param body the body
	 * @return the stored form, without the body if that is larger than
	 * {@link #MAX_KEPT_BYTES}
	 */
	public static StoredAnswer of(int status, String contentType, byte[] body) {
		boolean kept = body.length <= MAX_KEPT_BYTES;
		return new StoredAnswer(status, contentType, kept ? body : NO_BYTES, body.length, kept);
	}

}
