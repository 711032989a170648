package org.redwingramp.wire;

/**
 * Thrown by a {@link PeerHandler} to refuse a call that had no effect and will have none.
 * The caller may safely retry it with another peer. Immutable and thread safe.
 */
public final class CallRefusedException extends Exception {

	/**
	 * Creates an exception.
	 * @param message the failure, the peer concerned and the remedy
	 */
	public CallRefusedException(String message) {
		super(message);
	}

	/**
	 * Creates an exception with a cause.
	 * @param message the failure, the peer concerned and the remedy
	 * @param cause the underlying failure
	 */
	public CallRefusedException(String message, Throwable cause) {
		super(message, cause);
	}

}
