package org.redwingramp.wire;

/**
 * Bytes can't be decoded, or a value can't be encoded within the limits. Immutable and
 * thread safe.
 */
public final class CodecException extends Exception {

	/**
	 * Creates an exception.
	 * @param message what happened and where
	 */
	public CodecException(String message) {
		super(message);
	}

	/**
	 * Creates an exception with a cause.
	 * @param message what happened and where
	 * @param cause the cause
	 */
	public CodecException(String message, Throwable cause) {
		super(message, cause);
	}

}
