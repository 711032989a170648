package org.redwingramp.storage.internal;

import java.io.IOException;
import java.nio.file.Path;

import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.storage.CorruptStorageException;
import org.redwingramp.storage.StorageException;

/**
 * Creates the exceptions of the store. Stateless and thread safe.
 */
final class StoreErrors {

	private StoreErrors() {
	}

	static CorruptStorageException corrupt(Path file, long offset, String detail) {
		return new CorruptStorageException(file, offset, detail);
	}

	static StorageException openFailed(Path folder, IOException cause) {
		return new StorageException("Can't open the data folder " + folder + ": " + cause
				+ "; check that it exists, is on a local disk and belongs to this user", cause);
	}

	static StorageException writeFailed(Path folder, IOException cause) {
		return new StorageException("Can't write to the data folder " + folder + ": " + cause
				+ "; the batch was not acknowledged; check the disk and its free space, then restart the replica",
				cause);
	}

	static StorageException folderInUse(Path lock) {
		return new StorageException("The data folder is in use: " + lock
				+ " is locked; stop the process that uses it or configure another folder");
	}

	static StorageException wrongReplica(Path file, ReplicaId found, String expected) {
		return new StorageException("The data folder belongs to replica " + found.name() + ", not to " + expected + " ("
				+ file + "); check the data folder and the instance name in the settings");
	}

	static StorageException wrongVersion(Path file, int found) {
		return new StorageException(
				"The data folder has format version " + found + ", but this program supports only version "
						+ Formats.VERSION + " (" + file + "); use the program version that wrote the folder");
	}

	static StorageException storeUnusable(Path folder) {
		return new StorageException("The store for the data folder " + folder
				+ " is closed or an earlier write failed; restart the replica to recover its state from the disk");
	}

	static StorageException inconsistentBatch(Path folder, String inconsistency) {
		return new StorageException("Batch is inconsistent with the log in " + folder + ": " + inconsistency
				+ "; this is a bug in the program, please report it");
	}

	static StorageException tooLarge(Path folder, String what, long size, long limit) {
		return new StorageException("Encoded " + what + " for the data folder " + folder + " must not exceed " + limit
				+ " bytes (was " + size + "); nothing was written");
	}

}
