package org.redwingramp.core.control;

/**
 * A target's response as stored in the ledger. Immutable by convention: the body array
 * must not be modified. Thread safe.
 *
 * @param status the HTTP status
 * @param contentType the content type, empty if there was none
 * @param body the body, empty if it was too large to store
 * @param length the length of the original body in bytes
 * @param bodyKept whether the body is stored
 */
public record StoredAnswer(int status, String contentType, byte[] body, long length, boolean bodyKept) {

	/** The maximum size of a stored body in bytes. */
	public static final int MAX_STORED_BODY_BYTES = 16 * 1024;

	private static final byte[] NO_BYTES = {};

	/**
	 * Creates the stored form of a response.
	 * @param status the HTTP status
	 * @param contentType the content type, empty if there was none
	 * @param body the body
	 * @return the stored form, without the body if it is larger than
	 * {@link #MAX_STORED_BODY_BYTES}
	 */
	public static StoredAnswer of(int status, String contentType, byte[] body) {
		boolean kept = body.length <= MAX_STORED_BODY_BYTES;
		return new StoredAnswer(status, contentType, kept ? body : NO_BYTES, body.length, kept);
	}

}
