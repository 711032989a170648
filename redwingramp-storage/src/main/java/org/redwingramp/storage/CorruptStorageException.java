package org.redwingramp.storage;

import java.nio.file.Path;

/**
 * Thrown if acknowledged state is damaged or missing. The replica must not rejoin its
 * group with this state, since it may have lost a vote or log entries that other replicas
 * count on; see {@link ReplicaStore#reset}. Immutable and thread safe.
 */
public final class CorruptStorageException extends StorageException {

	private final transient Path file;

	private final long offset;

	/**
	 * Creates an exception.
	 * @param file the damaged or missing file
	 * @param offset the offset in the file at which the damage starts, in bytes; 0 if the
	 * whole file is damaged or missing
	 * @param detail a description of the damage
	 */
	public CorruptStorageException(Path file, long offset, String detail) {
		super("Stored state is corrupt: " + file + " at offset " + offset + ": " + detail
				+ "; reset the data folder so that the replica rejoins under a new incarnation");
		this.file = file;
		this.offset = offset;
	}

	/**
	 * Returns the damaged or missing file.
	 * @return the path of the file
	 */
	public Path file() {
		return this.file;
	}

	/**
	 * Returns the offset in the file at which the damage starts.
	 * @return the offset in bytes, 0 if the whole file is damaged or missing
	 */
	public long offset() {
		return this.offset;
	}

}
