package org.redwingramp.storage.internal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;

/**
 * The file operations of the store. Tests substitute implementations that inject faults.
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
	 * @param limit the maximum size that is expected, in bytes
	 * @return the content, or the first {@code limit + 1} bytes of a larger file
	 * @throws IOException if it can't be read
	 */
	byte[] read(Path file, long limit) throws IOException;

	/**
	 * Opens a file for writing and creates it if it doesn't exist.
	 * @param file the file
	 * @return the open file
	 * @throws IOException if it can't be opened
	 */
	Output openForWriting(Path file) throws IOException;

	/**
	 * Renames a file atomically and replaces an existing one.
	 * @param from the current path
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
	 * Syncs a folder, so that the creation, renaming and deletion of files in it survives
	 * a power loss.
	 * @param folder the folder
	 * @throws IOException if it can't be synced
	 */
	void syncFolder(Path folder) throws IOException;

	/**
	 * Tries to acquire the lock that prevents other processes from using a folder.
	 * @param file the lock file
	 * @return the lock, released by closing it, or {@code null} if it is already held
	 * @throws IOException if the lock file can't be opened
	 */
	Closeable tryLock(Path file) throws IOException;

	/** A file open for writing. */
	interface Output extends Closeable {

		/**
		 * Writes all remaining bytes of a buffer.
		 * @param data the buffer
		 * @param position the offset in the file
		 * @throws IOException if not all bytes were written
		 */
		void write(ByteBuffer data, long position) throws IOException;

		/**
		 * Truncates the file.
		 * @param size the new size in bytes
		 * @throws IOException if it can't be truncated
		 */
		void truncate(long size) throws IOException;

		/**
		 * Waits until all written bytes are on the disk.
		 * @throws IOException if they may not be on the disk
		 */
		void sync() throws IOException;

	}

}
