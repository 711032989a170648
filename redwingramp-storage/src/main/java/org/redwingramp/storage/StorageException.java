package org.redwingramp.storage;

/**
 * The data folder can't be used. The message names the file and what to do. Immutable and
 * thread safe.
 */
public class StorageException extends Exception {

	/**
	 * Creates an exception.
	 * @param message what happened, where, and what to do
	 */
	public StorageException(String message) {
		super(message);
	}

	/**
	 * Creates an exception with a cause.
	 * @param message what happened, where, and what to do
	 * @param cause the cause
	 */
	public StorageException(String message, Throwable cause) {
		super(message, cause);
	}

}
