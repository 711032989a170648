package org.redwingramp.wire;

/**
 * Thrown when data can't be decoded, or a value can't be encoded within the size limit.
 * Immutable and thread safe.
 */
public final class CodecException extends Exception {

	/**
	 * Creates an exception.
	 * @param message the failure and the type or position concerned
	 */
	public CodecException(String message) {
		super(message);
	}

	/**
	 * Creates an exception with a cause.
	 * @param message the failure and the type or position concerned
	 * @param cause the underlying failure
	 */
	public CodecException(String message, Throwable cause) {
		super(message, cause);
	}

}
