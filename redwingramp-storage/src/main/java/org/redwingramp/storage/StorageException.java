package org.redwingramp.storage;

/**
 * Thrown if a data folder can't be used. The message names the file or folder and the
 * action for the operator. Immutable and thread safe.
 */
public class StorageException extends Exception {

	/**
	 * Creates an exception.
	 * @param message the failure, the file or folder, and the action for the operator
	 */
	public StorageException(String message) {
		super(message);
	}

	/**
	 * Creates an exception with a cause.
	 * @param message the failure, the file or folder, and the action for the operator
	 * @param cause the cause
	 */
	public StorageException(String message, Throwable cause) {
		super(message, cause);
	}

}
