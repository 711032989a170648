package org.redwingramp.storage.internal;

import java.io.IOException;
import java.nio.file.Path;

import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.storage.CorruptStorageException;
import org.redwingramp.storage.StorageException;

/**
 * Creates the errors of the store. Stateless and thread safe.
 */
final class StoreErrors {

	private StoreErrors() {
	}

	static CorruptStorageException corrupt(Path file, long offset, String detail) {
		return new CorruptStorageException(file, offset, detail);
	}

	static StorageException unreadable(Path folder, IOException cause) {
		return new StorageException("Can't open the data folder " + folder + ": " + cause
				+ "; check that it exists, is on a local disk and belongs to this user", cause);
	}

	static StorageException unwritable(Path folder, IOException cause) {
		return new StorageException("Can't write to the data folder " + folder + ": " + cause
				+ "; the batch is not acknowledged; check the disk and its free space, then restart the replica",
				cause);
	}

	static StorageException inUse(Path lock) {
		return new StorageException(
				"The data folder is in use: " + lock + " is locked; stop the other process or use another folder");
	}

	static StorageException wrongReplica(Path file, ReplicaId found, String expected) {
		return new StorageException("The data folder belongs to replica " + found.name() + ", not to " + expected + " ("
				+ file + "); check the data folder and the instance name in the settings");
	}

	static StorageException wrongVersion(Path file, int found) {
		return new StorageException("The data folder has format version " + found + ", this program reads version "
				+ Formats.VERSION + " (" + file + "); use the program version that wrote it");
	}

	static StorageException unusable(Path folder) {
		return new StorageException("The store of " + folder
				+ " is closed or an earlier write failed; restart the replica to read back what is on the disk");
	}

	static StorageException misfit(Path folder, String problem) {
		return new StorageException("A batch doesn't fit the log in " + folder + ": " + problem
				+ "; this is a fault of the program, please report it");
	}

	static StorageException tooLarge(Path folder, String what, long size, long limit) {
		return new StorageException("A " + what + " of " + size + " bytes for " + folder + " is over the limit of "
				+ limit + " bytes; nothing was written");
	}

}
