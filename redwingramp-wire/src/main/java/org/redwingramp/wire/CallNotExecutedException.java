package org.redwingramp.wire;

/**
 * Thrown when a call certainly had no effect: it was not sent completely, or the peer
 * refused it. The call may safely be retried. Immutable and thread safe.
 */
public final class CallNotExecutedException extends Exception {

	/**
	 * Creates an exception.
	 * @param message the failure, the peer concerned and the remedy
	 */
	public CallNotExecutedException(String message) {
		super(message);
	}

	/**
	 * Creates an exception with a cause.
	 * @param message the failure, the peer concerned and the remedy
	 * @param cause the underlying failure
	 */
	public CallNotExecutedException(String message, Throwable cause) {
		super(message, cause);
	}

}
