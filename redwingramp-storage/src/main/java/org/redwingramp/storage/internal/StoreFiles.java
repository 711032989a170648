package org.redwingramp.storage.internal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;

/**
 * The file operations that the store uses, so that tests can make them fail.
 * Implementations need not be thread safe.
 */
public interface StoreFiles {

	/**
	 * Lists the names of the files and folders in a folder.
	 * @param folder the folder
	 * @return the names in ascending order
	 * @throws IOException if the folder can't be read
	 */
	List<String> list(Path folder) throws IOException;

	/**
	 * Reads a file.
	 * @param file the file
	 * @param limit the largest size that the file should have, in bytes
	 * @return the content, of a larger file the first {@code limit + 1} bytes
	 * @throws IOException if it can't be read
	 */
	byte[] read(Path file, long limit) throws IOException;

	/**
	 * Opens a file for writing and creates it if it doesn't exist.
	 * @param file the file
	 * @return the open file
	 * @throws IOException if it can't be opened
	 */
	Output write(Path file) throws IOException;

	/**
	 * Renames a file atomically and replaces an existing one.
	 * @param from the present path
	 * @param to the new path
	 * @throws IOException if it can't be renamed
	 */
	void rename(Path from, Path to) throws IOException;

	/**
	 * Deletes a file.
	 * @param file the file
	 * @throws IOException if it can't be deleted
	 */
	void delete(Path file) throws IOException;

	/**
	 * Creates a folder and its parents and syncs the parent folder.
	 * @param folder the folder
	 * @throws IOException if it can't be created
	 */
	void createFolder(Path folder) throws IOException;

	/**
	 * Syncs a folder, so that files created, renamed or deleted in it stay so.
	 * @param folder the folder
	 * @throws IOException if it can't be synced
	 */
	void syncFolder(Path folder) throws IOException;

	/**
	 * Takes the lock that keeps other processes off a folder.
	 * @param file the lock file
	 * @return the lock, released by closing it, or {@code null} if it is taken
	 * @throws IOException if the lock file can't be opened
	 */
	Closeable lock(Path file) throws IOException;

	/** A file open for writing. */
	interface Output extends Closeable {

		/**
		 * Writes all remaining bytes.
		 * @param data the bytes
		 * @param position the offset in the file
		 * @throws IOException if not all were written
		 */
		void write(ByteBuffer data, long position) throws IOException;

		/**
		 * Cuts the file.
		 * @param size the new size in bytes
		 * @throws IOException if it can't be cut
		 */
		void truncate(long size) throws IOException;

		/**
		 * Waits until all that was written is on the disk.
		 * @throws IOException if it may not be
		 */
		void sync() throws IOException;

	}

}
