package org.redwingramp.storage.internal;

/**
 * Identifies the snapshot that precedes the entries of the log. Immutable and thread
 * safe.
 *
 * @param index the index of the last entry that the snapshot includes, 0 if there is no
 * snapshot
 * @param term the term of that entry
 */
record SnapshotRef(long index, long term) {

	static final SnapshotRef NONE = new SnapshotRef(0, 0);

}
