package org.redwingramp.node.api;

/**
 * A document that can't be read in full.
 */
public final class InvalidDocumentException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what is wrong and where
	 */
	public InvalidDocumentException(String message) {
		super(message);
	}

	/**
	 * Creates the exception.
	 * @param message what is wrong and where
	 * @param cause the cause
	 */
	public InvalidDocumentException(String message, Throwable cause) {
		super(message, cause);
	}

}
