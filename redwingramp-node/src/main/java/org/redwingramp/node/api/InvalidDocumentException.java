package org.redwingramp.node.api;

/**
 * Thrown when a document, such as a configuration, can't be parsed completely.
 */
public final class InvalidDocumentException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what is invalid and where
	 */
	public InvalidDocumentException(String message) {
		super(message);
	}

	/**
	 * Creates the exception.
	 * @param message what is invalid and where
	 * @param cause the cause
	 */
	public InvalidDocumentException(String message, Throwable cause) {
		super(message, cause);
	}

}
