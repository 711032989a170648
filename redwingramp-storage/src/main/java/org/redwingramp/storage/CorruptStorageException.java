package org.redwingramp.storage;

import java.nio.file.Path;

/**
 * Stored state that was acknowledged is damaged or missing. The replica must not take
 * part in the group with this state; see {@link ReplicaStore#reset}. Immutable and thread
 * safe.
 */
public final class CorruptStorageException extends StorageException {

	private final transient Path file;

	private final long offset;

	/**
	 * Creates an exception.
	 * @param file the damaged or missing file
	 * @param offset the offset of the damage in bytes, 0 if the file as a whole is
	 * damaged or missing
	 * @param detail what is wrong
	 */
	public CorruptStorageException(Path file, long offset, String detail) {
		super("Stored state is corrupt: " + file + " at offset " + offset + ": " + detail
				+ "; reset the data folder so that the replica rejoins under a new incarnation");
		this.file = file;
		this.offset = offset;
	}

	/**
	 * Returns the damaged file.
	 * @return the path of the file
	 */
	public Path file() {
		return this.file;
	}

	/**
	 * Returns where the damage begins.
	 * @return the offset in bytes
	 */
	public long offset() {
		return this.offset;
	}

}
